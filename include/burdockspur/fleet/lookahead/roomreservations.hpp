#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/lookahead/lookaheadcounters.hpp"
#include "burdockspur/fleet/lookahead/roomreservation.hpp"
#include "burdockspur/fleet/lookahead/roomsearch.hpp"
#include "burdockspur/fleet/placementgroup.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Burdockspur
{
class DemandShapes;
class PoolCapacities;
class RunDurations;
struct FreeCapacity;
struct LookAheadLimits;
struct RoomClaim;

/// @brief Room that is kept for large steps and gangs, with the bounds of it, and the decision which other work may use it meanwhile.
///
/// Reservations are kept from round to round. Only work that does not rank before the reservation by priority and lateness is held back, and no serving
/// task and no task of an idle job. A reservation ends when it was used, when its step no longer waits, after LookAheadLimits::m_maxHold, and when its
/// room was late too often.
class RoomReservations
{
public:
    /// @param limits must outlive the object
    /// @param durations must outlive the object
    RoomReservations(const LookAheadLimits &limits, const RunDurations &durations) noexcept;

    /// @brief Updates the reservations at the beginning of a round: ends those that are over, forecasts their room again, and marks the workers.
    /// @param groups all waiting groups; those whose room is there go first among work of their priority and lateness
    auto refresh(std::span<PlacementGroup> groups, PoolCapacities &pools, TimePoint now) -> void;

    /// @brief True if a task may use the free room of a worker.
    [[nodiscard]] auto mayUse(const FreeCapacity &capacity, const RoomClaim &claim) -> bool;

    /// @brief Preference of a worker whose room is reserved: positive for the step that it is reserved for, negative for work that may use it, e.g.
    /// tasks that last, and should go elsewhere if it can; 0 for any other worker.
    [[nodiscard]] static auto preferenceOf(const FreeCapacity &capacity, const RoomClaim &claim) noexcept -> std::int64_t;

    /// @brief Records that a task was placed. Its reservation, if any, then keeps room for one task less.
    /// @returns true if room became free for others
    auto recordAssignment(const FreeCapacity &capacity, const RoomClaim &claim, TimePoint now) -> bool;

    /// @brief Makes and moves reservations at the end of a round.
    /// @param groups all waiting groups, of which some were placed in the round
    auto plan(std::span<const PlacementGroup> groups, PoolCapacities &pools, const DemandShapes &shapes, TimePoint now) -> void;

    [[nodiscard]] auto hasReservation(const RoomClaim &claim) const -> bool;

    [[nodiscard]] auto count() const noexcept -> std::size_t
    {
        return m_reservations.size();
    }

    /// @brief Ids of the workers that keep room for a job.
    [[nodiscard]] auto workersFor(std::string_view job) const -> std::vector<std::string>;

    /// @brief Room that is kept for waiting tasks at present.
    [[nodiscard]] auto reservedRoom() const noexcept -> Resources;

    [[nodiscard]] auto counters() const noexcept -> LookAheadCounters;

    auto clear() -> void;

private:
    using Key = std::tuple<std::string, std::uint32_t, std::uint32_t>;
    using KeyView = std::tuple<std::string_view, std::uint32_t, std::uint32_t>;

    /// A step that wants room.
    struct Wish {
        const PlacementGroup *m_group = nullptr;
        std::uint32_t m_tasks = 0; ///< tasks without reserved room
        TimePoint m_since;
        bool m_isMove = false; ///< the step has a reservation that lacks room

        [[nodiscard]] auto sortKey() const noexcept
        {
            return std::tuple(!m_isMove, m_group->m_rank.m_priority, m_group->m_rank.m_lateness, m_since);
        }
    };

    [[nodiscard]] static auto keyOf(const PlacementGroup &group) noexcept -> KeyView;
    auto markWanted(std::span<PlacementGroup> groups) -> void;
    /// @brief Forecasts the room of each slot again, and gives up slots on workers that can no longer give it.
    auto updateSlots(RoomReservation &reservation, PoolCapacities &pools, TimePoint now) -> void;
    auto forecastSlot(RoomSlot &slot, const FreeCapacity &capacity, TimePoint now) -> bool;
    /// @brief Gives up the slots whose room is late, so that they are searched again.
    auto dropLateSlots(RoomReservation &reservation, PoolCapacities &pools) -> void;
    [[nodiscard]] auto wishOf(const PlacementGroup &group, const DemandShapes &shapes, TimePoint now) const -> Wish;
    auto reserve(const Wish &wish, PoolCapacities &pools, TimePoint now) -> void;
    /// @brief What may still be reserved in a pool.
    [[nodiscard]] auto allowanceOf(std::string_view pool, const PoolCapacities &pools) const noexcept -> Resources;
    auto logRoom(const RoomReservation &reservation, std::string_view outcome, TimePoint now) const -> void;
    /// @brief Tells the job of the group where room is reserved.
    static auto tell(const PlacementGroup &group, const RoomReservation &reservation) -> void;

    const LookAheadLimits &m_limits;
    const RunDurations &m_durations;
    RoomSearch m_search;
    std::map<Key, RoomReservation, std::less<>> m_reservations;
    std::map<Key, TimePoint, std::less<>> m_pausedUntil; ///< steps that may not get another reservation before a time
    TimePoint m_nextPlan; ///< when reservations may be made or moved again
    LookAheadCounters m_counters;
};
}
