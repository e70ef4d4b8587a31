#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/link/clientstage.hpp"

#include <cstddef>

namespace Burdockspur
{
/// @brief What one connection of a client holds.
struct ClientUse {
    std::size_t m_bytes = 0; ///< allocated for the connection, its input and its unread answers; freed when it is closed
    std::size_t m_bytesUnderWay = 0; ///< allocated for requests that were handed in and are not answered; stays when the connection is closed
    TimePoint m_progressAt; ///< latest time at which the connection opened, a request became complete, or a larger part of one arrived
    ClientStage m_stage = ClientStage::Incomplete;
    TimePoint m_servedAt; ///< latest time at which the connection opened, a request became complete, or the client read of an answer
};
}
