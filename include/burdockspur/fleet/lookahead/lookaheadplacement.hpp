#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/lookahead/demandshapes.hpp"
#include "burdockspur/fleet/lookahead/lookaheadcounters.hpp"
#include "burdockspur/fleet/lookahead/roomclaim.hpp"
#include "burdockspur/fleet/lookahead/roomreservations.hpp"
#include "burdockspur/fleet/placementrefusal.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace Burdockspur
{
class PoolCapacities;
class RunDurations;
struct FreeCapacity;
struct LookAheadLimits;
struct PlacementGroup;

/// @brief What placement asks about the work that waits and the runs that end soon.
///
/// Reserves room for large steps and gangs, lets other work use it only until it is needed, and tells which worker a task should leave to larger work.
/// Everything is recomputed from the waiting jobs and the runs, so a successor needs nothing that is not stored anyway. Switched off, it changes
/// no decision.
class LookAheadPlacement
{
public:
    /// How well a worker suits a counted task; the larger, the better.
    struct Fit {
        std::int64_t m_keptRoom = 0; ///< whether the room is reserved, and large work that still fits there afterwards
        std::int64_t m_closeness = 0; ///< how little room the task leaves
    };

    /// @param limits must outlive the object
    /// @param durations must outlive the object
    LookAheadPlacement(const LookAheadLimits &limits, const RunDurations &durations) noexcept;

    [[nodiscard]] auto isOn() const noexcept -> bool;

    /// @brief Updates what is known before a round.
    /// @param groups all waiting groups; some get a better rank
    auto beginRound(std::span<PlacementGroup> groups, PoolCapacities &pools, TimePoint now) -> void;

    /// @brief Makes reservations after a round.
    /// @param groups all waiting groups, of which some were placed in the round
    auto endRound(std::span<const PlacementGroup> groups, PoolCapacities &pools, TimePoint now) -> void;

    /// @brief What the tasks of a group want of a worker.
    [[nodiscard]] auto claimOf(const PlacementGroup &group, TimePoint now) const -> RoomClaim;

    /// @brief True if a task may use the free room of a worker.
    [[nodiscard]] auto mayUse(const FreeCapacity &capacity, const RoomClaim &claim) -> bool
    {
        return m_reservations.mayUse(capacity, claim);
    }

    /// @brief True if a search for a claim that asks no more was refused in this round because of reserved room.
    [[nodiscard]] auto isKnownRefused(const RoomClaim &claim) const noexcept -> bool;

    /// @brief Records a search that found no worker.
    auto recordRefusal(const RoomClaim &claim, const PlacementRefusal &refusal) -> void;

    /// @brief The refusal that isKnownRefused() rests on.
    [[nodiscard]] auto lastRefusal() const noexcept -> const PlacementRefusal &
    {
        return m_lastRefusal;
    }

    /// @brief Records that a task was placed on a worker.
    /// @param capacity entry of the worker, with its new run
    auto recordAssignment(const FreeCapacity &capacity, const RoomClaim &claim, TimePoint now) -> void;

    /// @brief How well a worker suits a counted task, by what it leaves.
    [[nodiscard]] auto fitOf(const FreeCapacity &capacity, const RoomClaim &claim) const noexcept -> Fit;

    /// @brief Ids of the workers that keep room for a job.
    [[nodiscard]] auto workersFor(std::string_view job) const -> std::vector<std::string>
    {
        return m_reservations.workersFor(job);
    }

    /// @brief Room that is kept for waiting tasks at present.
    [[nodiscard]] auto reservedRoom() const noexcept -> Resources
    {
        return m_reservations.reservedRoom();
    }

    [[nodiscard]] auto reservationCount() const noexcept -> std::size_t
    {
        return m_reservations.count();
    }

    [[nodiscard]] auto counters() const noexcept -> LookAheadCounters
    {
        return m_reservations.counters();
    }

    /// @brief Forgets the reservations; called when the ownership ends.
    auto clear() -> void;

private:
    auto recordNewShapes(std::span<const PlacementGroup> groups, TimePoint now) -> void;
    /// @brief Moves large groups that have waited for long to the front of their priority and lateness.
    auto age(std::span<PlacementGroup> groups, TimePoint now) const -> void;

    const LookAheadLimits &m_limits;
    const RunDurations &m_durations;
    DemandShapes m_shapes;
    RoomReservations m_reservations;
    std::vector<RoomClaim> m_refused; ///< of this round
    PlacementRefusal m_lastRefusal;
    TimePoint m_shapesAt; ///< newest waiting task whose shape was recorded
};
}
