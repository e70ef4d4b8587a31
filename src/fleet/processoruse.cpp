#include "burdockspur/fleet/processoruse.hpp"

#include "burdockspur/core/duty.hpp"

#include <array>
#include <utility>

#include <time.h>

namespace Burdockspur
{
namespace
{
struct DutyField {
    const Duty *HostDuties::*m_duty;
    Duration ProcessorTimes::*m_time;
};

constexpr std::array<DutyField, 4> dutyFields{{
    {&HostDuties::m_gate, &ProcessorTimes::m_gate},
    {&HostDuties::m_store, &ProcessorTimes::m_store},
    {&HostDuties::m_scheduler, &ProcessorTimes::m_scheduler},
    {&HostDuties::m_workers, &ProcessorTimes::m_workers},
}};

[[nodiscard]] auto processTime() noexcept -> Duration
{
    timespec used{};
    return ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) == 0 ? std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec)
                                                                 : Duration::zero();
}
}

auto ProcessorUse::watch(const HostDuties &duties) noexcept -> void
{
    m_duties = duties;
}

auto ProcessorUse::take() noexcept -> ProcessorTimes
{
    ProcessorTimes total{.m_process = processTime()};
    for (const auto &field : dutyFields) {
        const auto *const duty = m_duties.*field.m_duty;
        total.*field.m_time = duty == nullptr ? Duration::zero() : duty->processorTime().value_or(m_total.*field.m_time);
    }
    const auto previous = std::exchange(m_total, total);
    ProcessorTimes used{.m_process = total.m_process - previous.m_process};
    for (const auto &field : dutyFields) {
        used.*field.m_time = total.*field.m_time - previous.*field.m_time;
    }
    return used;
}
}
