#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <string>

namespace Burdockspur
{
/// @brief What a waiting job is told of the room that is reserved for one of its steps.
struct ReservedRoom {
    std::string m_worker; ///< worker whose room is expected last
    std::size_t m_workers = 0; ///< number of workers that keep room
    TimePoint m_at; ///< when the room is expected there
    TimePoint m_until; ///< when the reservation ends if it is not used
};
}
