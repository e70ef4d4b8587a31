#pragma once

#include <cstddef>
#include <cstdint>

namespace Burdockspur
{
/// @brief What a connection of a client waits for.
enum class ClientStage : std::uint8_t {
    Incomplete, ///< its first complete request
    Unread, ///< the client, which has not read an answer that was sent
    Idle, ///< the next request, of which a part may have arrived
    Busy, ///< the answer to a request that was handed in
};

/// @brief Number of stages.
constexpr std::size_t clientStages = 4;
}
