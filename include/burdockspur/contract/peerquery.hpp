#pragma once

#include "burdockspur/contract/targetorder.hpp"
#include "burdockspur/core/error.hpp"

#include <cstdint>
#include <string>

namespace Burdockspur
{
/// @brief Query to another entry daemon about a request.
struct PeerQuery {
    DispatchId m_dispatch;
    std::string m_peer;
    std::string m_address; ///< IP number
    std::uint16_t m_port = 0; ///< callers' port
    std::string m_requestId;
    std::uint64_t m_generation = 0; ///< generation of the sender's key map; the peer no longer sends requests by an older one
    Duration m_timeout{0};
};

/// @brief An entry daemon's state of a request, in reply to a PeerQuery.
struct PeerReply {
    enum class Status : std::uint8_t {
        NeverSent,
        Running, ///< sent, no answer yet
        Unknown, ///< may have been sent; the outcome is unknown
        Answered,
        Failed,
        Conflict, ///< the key was used with another body or service
        NoReply, ///< no valid answer; the query may be repeated
    };

    DispatchId m_dispatch;
    std::string m_peer;
    Status m_status = Status::NoReply;
    std::string m_body; ///< Answered and Failed
    std::string m_incarnation; ///< incarnation of the daemon that replied
    std::uint64_t m_generation = 0; ///< generation of its key map
    Error m_error; ///< NoReply: why
};
}
