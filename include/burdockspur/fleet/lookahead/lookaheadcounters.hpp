#pragma once

#include <cstdint>

namespace Burdockspur
{
/// @brief Counts what became of reservations, and the work of look-ahead placement.
struct LookAheadCounters {
    std::uint64_t m_reserved = 0; ///< reservations made
    std::uint64_t m_used = 0; ///< tasks that were placed in reserved room
    std::uint64_t m_moved = 0; ///< slots that were given up because their room was late or their worker was lost
    std::uint64_t m_expired = 0; ///< reservations that ended unused
    std::uint64_t m_heldBack = 0; ///< searches in which reserved room was refused to other work
    std::uint64_t m_searches = 0; ///< searches for room to reserve
    std::uint64_t m_forecasts = 0; ///< workers whose runs were read
};
}
