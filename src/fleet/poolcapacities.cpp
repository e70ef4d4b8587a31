#include "burdockspur/fleet/poolcapacities.hpp"

#include "burdockspur/core/invariant.hpp"
#include "burdockspur/fleet/evacuation/zoneevacuation.hpp"
#include "burdockspur/fleet/fleetlimits.hpp"
#include "burdockspur/fleet/fleetworker.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
PoolCapacities::PoolCapacities(const FleetLimits &limits, const ZoneEvacuation &evacuation, TimePoint now)
    : m_limits(limits)
    , m_evacuation(evacuation)
    , m_now(now)
{
}

auto PoolCapacities::add(FleetWorker &worker) -> void
{
    auto &pool = findPool(worker.m_record.m_pool);
    if (worker.m_isListed && worker.isDescribed() && !m_evacuation.isClosed(worker)) {
        pool.m_total += worker.m_record.m_capacity;
        pool.m_unreserved += worker.freeResources();
        ++m_listed;
    }
    if (!worker.acceptsTasks(m_limits, m_now) || !m_evacuation.mayStart(worker, m_now)) {
        pool.m_unavailable += worker.m_isListed ? 1 : 0;
        return;
    }
    FreeCapacity capacity;
    capacity.m_worker = &worker;
    refresh(capacity);
    pool.m_capacities.push_back(capacity);
}

auto PoolCapacities::findPool(std::string_view name) noexcept -> Pool &
{
    const auto pool = std::ranges::find(m_pools, name, &Pool::m_name);
    return pool == m_pools.end() ? m_pools.emplace_back(Pool{.m_name = name}) : *pool;
}

auto PoolCapacities::freeCapacitiesOf(std::string_view pool) noexcept -> std::span<FreeCapacity>
{
    const auto entry = std::ranges::find(m_pools, pool, &Pool::m_name);
    return entry == m_pools.end() ? std::span<FreeCapacity>() : std::span(entry->m_capacities);
}

auto PoolCapacities::find(std::string_view pool, std::string_view worker) noexcept -> FreeCapacity *
{
    const auto idOf = [](const FreeCapacity &capacity) -> std::string_view {
        return capacity.m_worker->m_record.m_id;
    };
    const auto capacities = freeCapacitiesOf(pool);
    const auto found = std::ranges::lower_bound(capacities, worker, {}, idOf);
    return found == capacities.end() || idOf(*found) != worker ? nullptr : &*found;
}

auto PoolCapacities::totalOf(std::string_view pool) const noexcept -> Resources
{
    const auto entry = std::ranges::find(m_pools, pool, &Pool::m_name);
    return entry == m_pools.end() ? Resources{} : entry->m_total;
}

auto PoolCapacities::meanWorker() const noexcept -> Resources
{
    Resources mean;
    for (const auto &pool : m_pools) {
        mean += pool.m_total;
    }
    const auto workers = std::max(m_listed, std::int64_t{1});
    return {mean.m_cpuMillis / workers, mean.m_memoryMb / workers, mean.m_accelerators / workers};
}

auto PoolCapacities::isMostlyFree(std::string_view pool) const noexcept -> bool
{
    const auto entry = std::ranges::find(m_pools, pool, &Pool::m_name);
    if (entry == m_pools.end()) {
        return false;
    }
    // Tasks that need accelerators are held back by the room for these.
    constexpr std::array resources{&Resources::m_cpuMillis, &Resources::m_memoryMb};
    return std::ranges::all_of(resources, [this, &entry](auto resource) {
        const auto total = static_cast<double>(entry->m_total.*resource);
        return total <= 0 || total - static_cast<double>(entry->m_unreserved.*resource) < m_limits.m_mostlyFreeUse * total;
    });
}

auto PoolCapacities::unavailableWorkersOf(std::string_view pool) const noexcept -> std::uint32_t
{
    const auto entry = std::ranges::find(m_pools, pool, &Pool::m_name);
    return entry == m_pools.end() ? 0 : entry->m_unavailable;
}

auto PoolCapacities::reserve(std::string_view worker, const Resources &demand) noexcept -> void
{
    for (auto &pool : m_pools) {
        auto &capacities = pool.m_capacities;
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

auto PoolCapacities::update(const FleetWorker &worker) noexcept -> const FreeCapacity &
{
    const auto capacities = freeCapacitiesOf(worker.m_record.m_pool);
    const auto capacity = std::ranges::find(capacities, &worker, &FreeCapacity::m_worker);
    requireInvariant(capacity != capacities.end(), "assigned_worker_accepts_tasks", worker.m_record.m_id);
    refresh(*capacity);
    return *capacity;
}

auto PoolCapacities::refresh(FreeCapacity &capacity) const noexcept -> void
{
    capacity.m_free = capacity.m_worker->freeResources();
    capacity.m_free -= capacity.m_reserved;
    capacity.m_freeFillingCpu = capacity.m_worker->freeFillingCpu(m_limits);
    capacity.m_isTrusted = capacity.m_worker->m_health.isTrusted(m_now);
}
}
