#pragma once

#include <cstdint>

namespace Burdockspur
{
/// @brief Counts the work done by an owner's placement, so that tests can bound its cost without measuring time.
struct PlacementCounters {
    std::uint64_t m_rounds = 0; ///< rounds of placement
    std::uint64_t m_jobsUpdated = 0; ///< recomputed backlogs
    std::uint64_t m_tasksTried = 0; ///< tasks for which a worker was searched
    std::uint64_t m_truncatedRounds = 0; ///< rounds that ended at the bound and left the rest to the next one
};
}
