#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace Burdockspur
{
class FleetWorker;
struct FleetLimits;

/// @brief What a worker that takes new tasks has free.
struct WorkerRoom {
    FleetWorker *m_worker = nullptr;
    Resources m_free;
    std::int64_t m_fillRoom = 0; ///< see FleetWorker::fillRoom()
    bool m_isTrusted = false;
};

/// @brief The workers that take new tasks in one round of placement, by pool and in the order of their addition.
///
/// What a search looks at for every worker lies side by side, so that a search over hundreds of full workers takes microseconds.
class PoolRooms
{
public:
    /// @param limits outlive the rooms
    PoolRooms(const FleetLimits &limits, TimePoint now);

    /// @brief Adds a worker if it takes new tasks.
    /// @param worker outlives the rooms
    auto add(FleetWorker &worker) -> void;

    [[nodiscard]] auto roomsOf(std::string_view pool) noexcept -> std::span<WorkerRoom>;

    /// @brief Reads again what a worker has free, after its runs have changed.
    auto update(const FleetWorker &worker) noexcept -> void;

private:
    auto read(WorkerRoom &room) const noexcept -> void;

    const FleetLimits &m_limits;
    TimePoint m_now;
    std::vector<std::pair<std::string_view, std::vector<WorkerRoom>>> m_pools; ///< few, so a list is enough
};
}
