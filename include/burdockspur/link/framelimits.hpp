#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/link/machinememory.hpp"

#include <cstddef>
#include <cstdint>

namespace Burdockspur
{
/// @brief Size limits and periods of framed links.
struct FrameLimits {
    std::uint32_t m_maxFrameBytes = 1024 * 1024; ///< largest envelope, without the length prefix
    std::size_t m_maxSendBufferBytes = std::size_t{8} * 1024 * 1024; ///< bytes queued for one peer; further messages are refused
    std::size_t m_maxLinks = 64; ///< open links of one server; at this number it closes one for each new one, see PortAdmission
    std::size_t m_maxHeldBytes = MachineMemory().share(MachineMemory::clientPercent); ///< held by all links of a server; beyond it, links are closed
    Milliseconds m_heartbeatInterval{500}; ///< a heartbeat is sent when nothing else was sent for this long
    Milliseconds m_silenceTimeout{3'000}; ///< a link that receives nothing for this long is closed; also limits a connection attempt
    Milliseconds m_minReconnectDelay{100}; ///< initial backoff between connection attempts
    Milliseconds m_maxReconnectDelay{2'000}; ///< limit of the backoff
};
}
