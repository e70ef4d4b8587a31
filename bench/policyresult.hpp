#pragma once

#include <cstdint>

namespace Burdockspur::Bench
{
/// @brief Measures of one simulated run.
struct PolicyResult {
    double m_p50 = 0.0; ///< service latency, milliseconds
    double m_p99 = 0.0;
    double m_p999 = 0.0;
    double m_withinTarget = 0.0; ///< share of the requests
    double m_batchWork = 0.0; ///< finished core hours
    double m_wastedWork = 0.0; ///< core hours that were lost
    std::uint64_t m_evictions = 0; ///< ordered by the controller, and tasks that ran out of memory
    std::uint64_t m_placements = 0;
    double m_placementMicros = 0.0; ///< mean of search and choice
};
}
