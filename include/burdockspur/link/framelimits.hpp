#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace Burdockspur
{
/// @brief Bounds and periods of framed links.
struct FrameLimits {
    std::uint32_t m_maxFrameBytes = 1024 * 1024;
    std::size_t m_maxSendBuffer = std::size_t{8} * 1024 * 1024; ///< bytes waiting towards one peer
    std::size_t m_maxLinks = 64;
    Milliseconds m_heartbeat{500};
    Milliseconds m_silence{3'000}; ///< a link that receives nothing for so long is closed
    Milliseconds m_reconnectMin{100};
    Milliseconds m_reconnectMax{2'000};
};
}
