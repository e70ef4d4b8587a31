#include "burdockspur/fleet/poolrooms.hpp"

#include "burdockspur/fleet/fleetlimits.hpp"
#include "burdockspur/fleet/fleetworker.hpp"

#include <algorithm>

namespace Burdockspur
{
PoolRooms::PoolRooms(const FleetLimits &limits, TimePoint now)
    : m_limits(limits)
    , m_now(now)
{
}

auto PoolRooms::add(FleetWorker &worker) -> void
{
    if (!worker.acceptsTasks(m_limits, m_now)) {
        return;
    }
    WorkerRoom room;
    room.m_worker = &worker;
    read(room);
    const std::string_view name = worker.m_record.m_pool;
    auto pool = std::ranges::find(m_pools, name, &std::pair<std::string_view, std::vector<WorkerRoom>>::first);
    if (pool == m_pools.end()) {
        pool = m_pools.emplace(m_pools.end(), name, std::vector<WorkerRoom>{});
    }
    pool->second.push_back(room);
}

auto PoolRooms::roomsOf(std::string_view pool) noexcept -> std::span<WorkerRoom>
{
    const auto entry = std::ranges::find(m_pools, pool, &std::pair<std::string_view, std::vector<WorkerRoom>>::first);
    return entry == m_pools.end() ? std::span<WorkerRoom>() : std::span(entry->second);
}

auto PoolRooms::update(const FleetWorker &worker) noexcept -> void
{
    const auto rooms = roomsOf(worker.m_record.m_pool);
    const auto room = std::ranges::find(rooms, &worker, &WorkerRoom::m_worker);
    if (room != rooms.end()) {
        read(*room);
    }
}

auto PoolRooms::read(WorkerRoom &room) const noexcept -> void
{
    room.m_free = room.m_worker->freeResources();
    room.m_fillRoom = room.m_worker->freeFillingCpu(m_limits);
    room.m_isTrusted = room.m_worker->m_health.isTrusted(m_now);
}
}
