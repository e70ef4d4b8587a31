#include "burdockspur/fleet/poolcapacities.hpp"

#include "burdockspur/fleet/fleetlimits.hpp"
#include "burdockspur/fleet/fleetworker.hpp"

#include <algorithm>

namespace Burdockspur
{
PoolCapacities::PoolCapacities(const FleetLimits &limits, TimePoint now)
    : m_limits(limits)
    , m_now(now)
{
}

auto PoolCapacities::add(FleetWorker &worker) -> void
{
    if (!worker.acceptsTasks(m_limits, m_now)) {
        return;
    }
    FreeCapacity capacity;
    capacity.m_worker = &worker;
    refresh(capacity);
    const std::string_view name = worker.m_record.m_pool;
    auto pool = std::ranges::find(m_pools, name, &std::pair<std::string_view, std::vector<FreeCapacity>>::first);
    if (pool == m_pools.end()) {
        pool = m_pools.emplace(m_pools.end(), name, std::vector<FreeCapacity>{});
    }
    pool->second.push_back(capacity);
}

auto PoolCapacities::freeCapacitiesOf(std::string_view pool) noexcept -> std::span<FreeCapacity>
{
    const auto entry = std::ranges::find(m_pools, pool, &std::pair<std::string_view, std::vector<FreeCapacity>>::first);
    return entry == m_pools.end() ? std::span<FreeCapacity>() : std::span(entry->second);
}

auto PoolCapacities::reserve(std::string_view worker, const Resources &demand) noexcept -> void
{
    for (auto &[name, capacities] : m_pools) {
        const auto capacity = std::ranges::find(capacities, worker, [](const FreeCapacity &candidate) -> std::string_view {
            return candidate.m_worker->m_record.m_id;
        });
        if (capacity != capacities.end()) {
            capacity->m_reserved += demand;
            refresh(*capacity);
            return;
        }
    }
}

auto PoolCapacities::update(const FleetWorker &worker) noexcept -> void
{
    const auto capacities = freeCapacitiesOf(worker.m_record.m_pool);
    const auto capacity = std::ranges::find(capacities, &worker, &FreeCapacity::m_worker);
    if (capacity != capacities.end()) {
        refresh(*capacity);
    }
}

auto PoolCapacities::refresh(FreeCapacity &capacity) const noexcept -> void
{
    capacity.m_free = capacity.m_worker->freeResources();
    capacity.m_free -= capacity.m_reserved;
    capacity.m_freeFillingCpu = capacity.m_worker->freeFillingCpu(m_limits);
    capacity.m_isTrusted = capacity.m_worker->m_health.isTrusted(m_now);
}
}
