#include "burdockspur/placement/classspread.hpp"

#include "burdockspur/core/invariant.hpp"

namespace Burdockspur
{
auto ClassSpread::add(std::string_view jobClass, const Place &place) -> void
{
    auto &jobs = m_classes[std::string(jobClass)];
    ++jobs.m_total;
    ++jobs.m_zones[place.m_zone];
    ++jobs.m_racks[place.m_rack];
}

auto ClassSpread::remove(std::string_view jobClass, const Place &place) -> void
{
    const auto found = m_classes.find(jobClass);
    requireInvariant(found != m_classes.end(), "spread_counts_each_job", jobClass);
    --found->second.m_zones[place.m_zone];
    --found->second.m_racks[place.m_rack];
    if (--found->second.m_total == 0) {
        m_classes.erase(found);
    }
}

auto ClassSpread::concentration(std::string_view jobClass, const Place &place) const noexcept -> double
{
    const auto found = m_classes.find(jobClass);
    if (found == m_classes.end()) {
        return 0.0;
    }
    const auto &jobs = found->second;
    const auto zone = jobs.m_zones.find(place.m_zone);
    const auto rack = jobs.m_racks.find(place.m_rack);
    const auto count = (zone == jobs.m_zones.end() ? 0 : zone->second) + (rack == jobs.m_racks.end() ? 0 : rack->second);
    return static_cast<double>(count) / static_cast<double>(jobs.m_total);
}
}
