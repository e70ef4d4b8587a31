#pragma once

#include "burdockspur/core/clock.hpp"

namespace Burdockspur
{
/// @brief When a worker is expected to have room.
struct RoomForecast {
    TimePoint m_at;
    bool m_isSure = false; ///< see RunForecast::m_isSure; true if no run has to end first
};
}
