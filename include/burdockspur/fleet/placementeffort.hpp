#pragma once

#include <cstdint>

namespace Burdockspur
{
/// @brief Work that the placement of an owner has done, counted so that its cost can be bounded without a clock.
struct PlacementEffort {
    std::uint64_t m_rounds = 0; ///< in which waiting tasks were placed
    std::uint64_t m_jobsUpdated = 0; ///< backlogs computed again
    std::uint64_t m_tasksTried = 0; ///< for which a worker was sought
    std::uint64_t m_cutRounds = 0; ///< that left the rest to the next one
};
}
