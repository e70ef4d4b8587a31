#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace Burdockspur
{
/// @brief Limits of the connections of one server.
struct PortLimits {
    std::size_t m_maxConnections = 1024;
    std::uint32_t m_maxTurnover = 500; ///< new connections per second that a full server accepts; the others wait
    Milliseconds m_shortestIdle{250}; ///< time after which a new connection may take the place of one that waits for its next request
};
}
