#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstdint>
#include <string>

namespace Burdockspur
{
struct RoomReservation;

/// @brief Room of one worker that is kept for tasks of a step.
struct RoomSlot {
    const RoomReservation *m_reservation = nullptr;
    std::string m_worker; ///< id
    std::uint32_t m_tasks = 0; ///< tasks that the room is kept for; 0 once they have been placed
    TimePoint m_plannedAt; ///< when the room was expected when the slot was made or moved
    TimePoint m_at; ///< when the room is expected by the latest forecast
    TimePoint m_neededAt; ///< when the tasks will start: with the last slot for a gang
    Resources m_spare; ///< what is left beside the reserved room at that time
    TimePoint m_spareAt; ///< time that m_spare was computed for
    TimePoint m_forecastAt; ///< when the worker's runs were last read
    Resources m_free; ///< free resources of the worker at that time
    Resources m_kept; ///< what the forecast was made for
    bool m_isThere = false; ///< the room is free now
    bool m_isSure = false; ///< see RoomForecast::m_isSure
};
}
