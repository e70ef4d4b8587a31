#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace Burdockspur
{
/// @brief Bounds that keep one caller from exhausting a server.
struct HttpLimits {
    std::size_t m_maxConnections = 1024;
    std::uint32_t m_maxHeaderBytes = 16 * 1024;
    std::uint64_t m_maxBodyBytes = std::uint64_t{1024} * 1024;
    std::size_t m_maxPipelined = 16; ///< requests of one connection without an answer; reading pauses beyond
    Milliseconds m_requestTimeout{10'000}; ///< from the first byte of a request to its last
    Milliseconds m_idleTimeout{60'000}; ///< a kept connection without a request
    Milliseconds m_writeTimeout{10'000}; ///< a caller that does not read its answer
};
}
