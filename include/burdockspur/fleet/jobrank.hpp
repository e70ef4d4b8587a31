#pragma once

#include "burdockspur/core/clock.hpp"

#include <compare>
#include <cstdint>

namespace Burdockspur
{
/// @brief How a job stands among those that wait.
struct JobRank {
    std::uint32_t m_priority = 0;
    bool m_yields = false; ///< work that ends goes first, because it frees its room again
    std::uint8_t m_lateness = 0; ///< 0 can keep its objective, 1 is late, 2 is worth nothing any more
    double m_cost = 0; ///< work that is left for the worth of the job
    TimePoint m_deadline;

    [[nodiscard]] auto operator<=>(const JobRank &) const noexcept = default;
};
}
