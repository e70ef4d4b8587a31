#pragma once

#include "burdockspur/contract/targetorder.hpp"
#include "burdockspur/core/error.hpp"

#include <cstdint>
#include <string>

namespace Burdockspur
{
/// @brief Result of a ForwardOrder.
struct TargetReply {
    enum class Status : std::uint8_t {
        Answered, ///< the complete answer of this request
        Failed, ///< the worker ran the request and it failed
        SlotsExhausted, ///< did not run
        Leaving, ///< did not run
        Tombstoned, ///< did not run and never will under this request id
        OtherIncarnation, ///< did not run: the order expects another process of the worker
        NotSent, ///< no byte reached the worker
        Lost, ///< sent, but there is no valid answer
    };

    DispatchId m_dispatch;
    Status m_status = Status::Lost;
    std::string m_body; ///< Answered and Failed
    Error m_error; ///< NotSent and Lost: why
    std::string m_incarnation; ///< incarnation of the worker that replied; empty if the reply has none
};

/// @brief Result of a SettleOrder.
struct SettleReply {
    enum class Status : std::uint8_t {
        NeverStarted, ///< did not run and never will under this request id
        Running,
        Answered,
        Failed,
        NoReply, ///< no valid answer; the order may be repeated
    };

    DispatchId m_dispatch;
    Status m_status = Status::NoReply;
    std::string m_body; ///< Answered and Failed
    Error m_error; ///< NoReply: why
    std::string m_incarnation; ///< incarnation of the worker that replied; empty if the reply has none
};
}
