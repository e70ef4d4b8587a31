#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace Burdockspur
{
class FleetWorker;
class ZoneEvacuation;
struct FleetLimits;

/// @brief Free capacity of a worker that accepts new tasks.
struct FreeCapacity {
    FleetWorker *m_worker = nullptr;
    Resources m_free; ///< without m_reserved; negative while what is reserved has not become free yet
    Resources m_reserved; ///< kept for waiting tasks, see PoolCapacities::reserve()
    std::int64_t m_freeFillingCpu = 0; ///< thousandths of a core, see FleetWorker::freeFillingCpu()
    bool m_isTrusted = false; ///< see WorkerHealth::isTrusted()
};

/// @brief Free capacities of the workers that accept new tasks in one round of placement, by pool and in the order of addition.
///
/// The workers of a closed zone are no part of the capacity, free or in use.
///
/// The figures that a search compares for every worker are contiguous in memory, so that a search over hundreds of full workers
/// takes microseconds.
class PoolCapacities
{
public:
    /// @param limits must outlive the object
    /// @param evacuation must outlive the object
    PoolCapacities(const FleetLimits &limits, const ZoneEvacuation &evacuation, TimePoint now);

    /// @brief Adds a worker if it accepts new tasks.
    /// @param worker must outlive the object
    auto add(FleetWorker &worker) -> void;

    [[nodiscard]] auto freeCapacitiesOf(std::string_view pool) noexcept -> std::span<FreeCapacity>;

    /// @brief Number of listed workers of a pool that accept no tasks now.
    [[nodiscard]] auto unavailableWorkersOf(std::string_view pool) const noexcept -> std::uint32_t;

    /// @brief True if less than FleetLimits::m_mostlyFreeUse of the processors and of the memory of a pool's listed workers in open zones
    /// was reserved when these were added.
    [[nodiscard]] auto isMostlyFree(std::string_view pool) const noexcept -> bool;

    /// @brief Keeps capacity of a worker for a waiting task, so that smaller tasks do not use up what becomes free.
    /// @param worker id of a worker; ignored if the worker accepts no tasks
    auto reserve(std::string_view worker, const Resources &demand) noexcept -> void;

    /// @brief Recomputes the free capacity of a worker that accepts new tasks, after its runs have changed.
    /// @returns the entry of freeCapacitiesOf()
    auto update(const FleetWorker &worker) noexcept -> const FreeCapacity &;

private:
    struct Pool {
        std::string_view m_name;
        std::vector<FreeCapacity> m_capacities;
        std::uint32_t m_unavailable = 0; ///< listed workers that accept no tasks
        Resources m_total; ///< of the listed workers in open zones
        Resources m_unreserved; ///< part of m_total
    };

    [[nodiscard]] auto findPool(std::string_view name) noexcept -> Pool &;
    auto refresh(FreeCapacity &capacity) const noexcept -> void;

    const FleetLimits &m_limits;
    const ZoneEvacuation &m_evacuation;
    TimePoint m_now;
    std::vector<Pool> m_pools; ///< few pools, so a linear search is fast enough
};
}
