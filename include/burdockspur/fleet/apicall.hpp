#pragma once

#include "burdockspur/contract/taskjob.hpp"

#include <string>
#include <variant>

namespace Burdockspur
{
/// @brief A caller submits a job.
struct SubmitCall {
    TaskJob m_job;
};

/// @brief A caller requests the state of a job.
struct StateCall {
    std::string m_job;
};

/// @brief A caller cancels a job.
struct CancelCall {
    std::string m_job;
};

/// @brief A caller requests the number of jobs of a queue without a started task.
struct PendingCall {
    std::string m_queue;
};

/// @brief A decoded request of a caller to the HTTP API.
using ApiCall = std::variant<SubmitCall, StateCall, CancelCall, PendingCall>;
}
