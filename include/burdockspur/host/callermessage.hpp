#pragma once

#include "burdockspur/contract/configuration.hpp"
#include "burdockspur/contract/jobpage.hpp"
#include "burdockspur/core/error.hpp"
#include "burdockspur/host/routercommand.hpp"

#include <variant>

namespace Burdockspur
{
/// @brief Result of a job command that concerns one job.
struct AnswerJob {
    CallerTicket m_ticket = 0;
    Result<Job> m_result;
    bool m_mayHaveTakenEffect = false; ///< on failure: the command was sent
};

/// @brief Result of a list of jobs.
struct AnswerJobList {
    CallerTicket m_ticket = 0;
    Result<JobPage> m_result;
};

/// @brief Result of a change of the configuration.
struct AnswerConfigChange {
    CallerTicket m_ticket = 0;
    Result<ConfigVersion> m_result;
};

/// @brief Everything that the callers' duty takes from its ring.
using CallerMessage = std::variant<AnswerCaller, AnswerJob, AnswerJobList, AnswerConfigChange, AnswerPeer, ConfigurationChanged, DrainRequested>;
}
