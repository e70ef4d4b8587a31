#include "burdockspur/operations/burnreport.hpp"

#include <algorithm>

namespace Burdockspur
{
auto ServiceBurn::burnRate(const BurnCount &count) const noexcept -> double
{
    constexpr double hundredPercent = 100.0;
    const double allowedShare = 1.0 - m_objectivePercent / hundredPercent;
    if (count.m_requests == 0 || allowedShare <= 0.0) {
        return 0.0;
    }
    return static_cast<double>(count.bad()) / static_cast<double>(count.m_requests) / allowedShare;
}

auto ServiceBurn::budgetLeftPercent() const noexcept -> double
{
    constexpr double hundredPercent = 100.0;
    return hundredPercent * (1.0 - burnRate(m_long));
}

auto ServiceBurn::merge(const ServiceBurn &other) -> void
{
    m_short += other.m_short;
    m_long += other.m_long;
    m_periods.resize(std::max(m_periods.size(), other.m_periods.size()));
    for (std::size_t i = 0; i < other.m_periods.size(); ++i) {
        m_periods[i] += other.m_periods[i];
    }
    for (const auto &cause : other.m_causes) {
        const auto known = std::ranges::find_if(m_causes, [&cause](const BurnCause &own) {
            return own.m_kind == cause.m_kind && own.m_name == cause.m_name;
        });
        if (known == m_causes.end()) {
            m_causes.push_back(cause);
        } else {
            known->m_count += cause.m_count;
        }
    }
    std::ranges::stable_sort(m_causes, std::ranges::greater(), [](const BurnCause &cause) {
        return cause.m_count.bad();
    });
}

auto BurnReport::merge(const BurnReport &other) -> void
{
    m_shortWindow = std::max(m_shortWindow, other.m_shortWindow);
    m_longWindow = std::max(m_longWindow, other.m_longWindow);
    for (const auto &service : other.m_services) {
        const auto known = std::ranges::find(m_services, service.m_service, &ServiceBurn::m_service);
        if (known == m_services.end()) {
            m_services.push_back(service);
        } else {
            known->merge(service);
        }
    }
}
}
