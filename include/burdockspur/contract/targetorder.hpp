#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstdint>
#include <string>

namespace Burdockspur
{
/// @brief Identifies one message to a worker; a reply with an older id is ignored.
struct DispatchId {
    std::uint64_t m_exchange = 0;
    std::uint32_t m_sequence = 0; ///< increases with each message of the exchange

    [[nodiscard]] auto operator==(const DispatchId &) const noexcept -> bool = default;
};

/// @brief Address at which a worker accepts requests.
struct TargetAddress {
    std::string m_worker;
    std::string m_address; ///< IP number
    std::uint16_t m_port = 0;
};

/// @brief Sends a request to a worker.
struct ForwardOrder {
    DispatchId m_dispatch;
    TargetAddress m_target;
    std::string m_requestId;
    std::string m_service;
    std::string m_idempotencyKey; ///< empty when there is none
    std::string m_expectedIncarnation; ///< only this process of the worker may run it; empty for any
    std::string m_body;
    Milliseconds m_deadline{0}; ///< time within which the worker has to answer
    Duration m_timeout{0}; ///< time after which the answer counts as lost
    bool m_retry = false; ///< the request was sent before
};

/// @brief Queries a worker about the outcome of a request; a worker that never started it leaves a tombstone.
///
/// Exchange number 0 marks a probe: its request id is unused, and only the worker's incarnation is of interest.
struct SettleOrder {
    DispatchId m_dispatch;
    TargetAddress m_target;
    std::string m_requestId;
    Duration m_timeout{0};
};
}
