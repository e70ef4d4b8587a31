#pragma once

#include "burdockspur/contract/configuration.hpp"
#include "burdockspur/contract/jobpage.hpp"
#include "burdockspur/core/error.hpp"
#include "burdockspur/host/routercommand.hpp"

#include <variant>

namespace Burdockspur
{
/// @brief Returns the result of a command about one job to its caller.
struct AnswerJob {
    CallerTicket m_ticket = 0;
    Result<Job> m_result;
    bool m_mayHaveTakenEffect = false; ///< with an error: whether a scheduler may have carried out the command
};

/// @brief Returns a list of jobs to its caller.
struct AnswerJobList {
    CallerTicket m_ticket = 0;
    Result<JobPage> m_result;
};

/// @brief Returns the result of a configuration change to its caller.
struct AnswerConfigChange {
    CallerTicket m_ticket = 0;
    Result<ConfigVersion> m_result;
};

/// @brief Messages that CallerDuty reads from its ring.
using CallerMessage = std::variant<AnswerCaller, AnswerJob, AnswerJobList, AnswerConfigChange, AnswerPeer, ConfigurationChanged, DrainRequested>;
}
