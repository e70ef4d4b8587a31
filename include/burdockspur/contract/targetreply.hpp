#pragma once

#include "burdockspur/contract/targetorder.hpp"
#include "burdockspur/core/error.hpp"

#include <cstdint>
#include <string>

namespace Burdockspur
{
/// @brief What became of a ForwardOrder.
struct TargetReply {
    enum class Status : std::uint8_t {
        Answered, ///< the complete answer of this request
        Failed, ///< the worker ran the request and it failed
        SlotsExhausted, ///< did not run
        Leaving, ///< did not run
        Tombstoned, ///< did not run and never will under this request id
        OtherIncarnation, ///< did not run: the worker process is not the one that the order expects
        NotSent, ///< no byte reached the worker
        Lost, ///< sent, but there is no valid answer
    };

    DispatchId m_dispatch;
    Status m_status = Status::Lost;
    std::string m_body; ///< Answered and Failed
    Error m_error; ///< NotSent and Lost: why
    std::string m_incarnation; ///< of the worker process that replied; empty when not told
};

/// @brief What became of a SettleOrder.
struct SettleReply {
    enum class Status : std::uint8_t {
        NeverStarted, ///< did not run and never will under this request id
        Running,
        Answered,
        Failed,
        NoReply, ///< no valid answer; may be asked again
    };

    DispatchId m_dispatch;
    Status m_status = Status::NoReply;
    std::string m_body; ///< Answered and Failed
    Error m_error; ///< NoReply: why
    std::string m_incarnation; ///< of the worker process that replied; empty when not told
};
}
