#pragma once

#include <cstddef>
#include <cstdint>

namespace Burdockspur
{
/// @brief What the clients of a process hold, and what was done about it since the process started.
struct ClientCounts {
    std::size_t m_heldBytes = 0;
    std::size_t m_connections = 0;
    std::uint64_t m_closedForMemory = 0; ///< connections closed because memory was short
    std::uint64_t m_closedForDescriptor = 0; ///< connections closed in favour of a new one
    std::uint64_t m_refusedConnections = 0; ///< new connections refused at the limit of a server
    std::uint64_t m_refusedRequests = 0; ///< complete requests refused before anything ran, because memory was short
};
}
