#pragma once

#include "burdockspur/contract/targetorder.hpp"
#include "burdockspur/core/error.hpp"

#include <cstdint>
#include <string>

namespace Burdockspur
{
/// @brief Asks another entry daemon what it knows of a request.
struct PeerQuestion {
    DispatchId m_dispatch;
    std::string m_peer;
    std::string m_address; ///< IP number
    std::uint16_t m_port = 0; ///< callers' port
    std::string m_requestId;
    std::uint64_t m_generation = 0; ///< of the asker's key map; the peer sends nothing more by an older one
    Duration m_timeout{0};
};

/// @brief What an entry daemon knows of a request.
struct PeerReply {
    enum class Status : std::uint8_t {
        NeverSent,
        Running, ///< sent, and the answer is awaited
        Unknown, ///< may have been sent, and the outcome is not known
        Answered,
        Failed,
        Conflict, ///< the key was used with another body or service
        NoReply, ///< no valid answer; may be asked again
    };

    DispatchId m_dispatch;
    std::string m_peer;
    Status m_status = Status::NoReply;
    std::string m_body; ///< Answered and Failed
    std::string m_incarnation; ///< of the daemon that replied
    std::uint64_t m_generation = 0; ///< of its key map
    Error m_error; ///< NoReply: why
};
}
