#pragma once

#include "latencyrecorder.hpp"

#include <cstdint>

namespace Burdockspur::Bench
{
/// @brief Request counts and latencies of one phase.
struct LoadResult {
    LatencyRecorder m_latency; ///< latency of the requests that were answered correctly
    LatencyRecorder m_sendDelay; ///< delay between the scheduled and the actual send time
    std::uint64_t m_sent = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_refused = 0; ///< requests answered with an HTTP error
    std::uint64_t m_lost = 0; ///< requests without a response
    std::uint64_t m_different = 0; ///< answers that do not match the request
};
}
