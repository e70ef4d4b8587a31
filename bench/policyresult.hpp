#pragma once

#include <cstdint>

namespace Burdockspur::Bench
{
/// @brief Results of one simulation.
struct PolicyResult {
    double m_p50 = 0.0; ///< median service latency, in milliseconds
    double m_p99 = 0.0;
    double m_p999 = 0.0;
    double m_withinTarget = 0.0; ///< share of the requests within the latency target
    double m_batchWork = 0.0; ///< core hours of finished batch work
    double m_wastedWork = 0.0; ///< core hours of batch work that has to be repeated
    std::uint64_t m_evictions = 0; ///< evictions by the interference controller, and tasks stopped because a worker ran out of memory
    std::uint64_t m_placements = 0;
    double m_placementMicros = 0.0; ///< mean time to find candidates and to choose one, in microseconds
};
}
