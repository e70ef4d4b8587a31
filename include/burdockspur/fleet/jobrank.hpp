#pragma once

#include "burdockspur/core/clock.hpp"

#include <compare>
#include <cstdint>

namespace Burdockspur
{
/// @brief Sort key of a waiting job; the lowest rank is placed first.
struct JobRank {
    std::uint32_t m_priority = 0;
    bool m_isDeferred = false; ///< serving tasks go after finite work, which frees its capacity again
    std::uint8_t m_lateness = 0; ///< 0: can meet its objective, 1: misses it, 2: misses its expiry, see FleetJob::expiry()
    double m_cost = 0; ///< remaining core seconds divided by the weight of the job
    TimePoint m_deadline;

    [[nodiscard]] auto operator<=>(const JobRank &) const noexcept = default;
};
}
