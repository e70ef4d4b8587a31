#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstdint>
#include <string>

namespace Burdockspur
{
/// @brief Names one message to a worker; a reply with an older name is ignored.
struct DispatchId {
    std::uint64_t m_exchange = 0;
    std::uint32_t m_sequence = 0; ///< grows with each message of the exchange

    [[nodiscard]] auto operator==(const DispatchId &) const noexcept -> bool = default;
};

/// @brief Where a worker accepts requests.
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
    Milliseconds m_deadline{0}; ///< time the worker has
    Duration m_timeout{0}; ///< until the answer counts as lost
    bool m_retry = false; ///< the request was sent before
};

/// @brief Asks a worker what became of a request; leaves a tombstone when it never started.
///
/// Exchange number 0 stands for no request: the id is unused and only the incarnation of the worker is wanted.
struct SettleOrder {
    DispatchId m_dispatch;
    TargetAddress m_target;
    std::string m_requestId;
    Duration m_timeout{0};
};
}
