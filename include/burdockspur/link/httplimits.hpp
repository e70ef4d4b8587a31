#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/link/machinememory.hpp"
#include "burdockspur/link/portlimits.hpp"

#include <cstddef>
#include <cstdint>

namespace Burdockspur
{
/// @brief Limits and timeouts that keep a caller from exhausting a server.
struct HttpLimits {
    std::size_t m_maxConnections = 1024;
    std::uint32_t m_maxTurnover = PortLimits{}.m_maxTurnover; ///< new connections per second that a full server accepts; the others wait
    std::uint32_t m_maxHeaderBytes = 16 * 1024; ///< request line and all fields of one request
    std::uint64_t m_maxBodyBytes = std::uint64_t{1024} * 1024;
    std::size_t m_maxHeldBytes = MachineMemory().share(MachineMemory::clientPercent); ///< held by all connections of a server that has a budget of its own
    std::size_t m_maxRejected = 64; ///< connections above the limit that may stay open to read an error response; further ones are closed at once
    std::size_t m_maxPipelined = 16; ///< unanswered requests of one connection; at this number, reading pauses
    Milliseconds m_requestTimeout{10'000}; ///< from the first byte of a request to the last
    Milliseconds m_idleTimeout{60'000}; ///< a connection without a request is closed after this time
    Milliseconds m_writeTimeout{10'000}; ///< a connection is closed when the caller has not read its response in this time
};
}
