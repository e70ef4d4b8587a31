#pragma once

#include <cstdint>

namespace Burdockspur
{
/// @brief Counts the copies of an owner and what they cost.
struct CopyCounters {
    std::uint64_t m_started = 0; ///< copies that were assigned
    std::uint64_t m_won = 0; ///< copies that have succeeded before the original run
    double m_wastedCoreSeconds = 0; ///< declared work of copies and original runs until they were stopped for the other one or for other work
};
}
