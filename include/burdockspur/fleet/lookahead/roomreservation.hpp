#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/lookahead/roomslot.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstdint>
#include <list>
#include <string>

namespace Burdockspur
{
/// @brief Room that is kept on one or several workers for the waiting tasks of a step.
struct RoomReservation {
    std::string m_job;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    std::string m_pool;
    std::uint32_t m_priority = 0;
    std::uint8_t m_lateness = 0; ///< see JobRank::m_lateness
    Resources m_demand; ///< of one task
    bool m_isGang = false; ///< the tasks start together
    std::list<RoomSlot> m_slots;
    TimePoint m_madeAt;
    TimePoint m_nextSearch; ///< when room for further tasks may be searched
    TimePoint m_loggedAt; ///< when it was last logged
    TimePoint m_until; ///< when the reservation ends if it is not used
    std::uint32_t m_firstTasks = 0; ///< tasks that wanted room when the reservation was made
    std::uint32_t m_moves = 0; ///< moves of a task's room because it was late
    bool m_isWanted = true; ///< tasks of the step still wait

    /// @brief Number of tasks that room is kept for.
    [[nodiscard]] auto taskCount() const noexcept -> std::uint32_t
    {
        std::uint32_t tasks = 0;
        for (const auto &slot : m_slots) {
            tasks += slot.m_tasks;
        }
        return tasks;
    }

    /// @brief True if tasks can start in the reserved room now: all of them for a gang, one of them otherwise.
    [[nodiscard]] auto isThere() const noexcept -> bool
    {
        bool isAny = false;
        bool isAll = true;
        for (const auto &slot : m_slots) {
            if (slot.m_tasks > 0) {
                isAny = isAny || slot.m_isThere;
                isAll = isAll && slot.m_isThere;
            }
        }
        return isAny && (isAll || !m_isGang);
    }
};
}
