#pragma once

#include "latencyrecorder.hpp"

#include <cstdint>

namespace Burdockspur::Bench
{
/// @brief Counts and latencies of one phase.
struct LoadResult {
    LatencyRecorder m_latency; ///< of complete answers
    LatencyRecorder m_sendDelay; ///< how late the generator sent against its schedule
    std::uint64_t m_sent = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_refused = 0; ///< an HTTP error was received
    std::uint64_t m_lost = 0; ///< no response
    std::uint64_t m_different = 0; ///< an answer that belongs to another request
};
}
