#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/host/routerevent.hpp"
#include "burdockspur/link/peermessage.hpp"

#include <variant>

namespace Burdockspur
{
/// @brief Command of a caller about one job or a list of jobs.
struct JobCommand {
    using Body = std::variant<SubmitJob, CancelJob, QueryJob, ListJobs>;

    CallerTicket m_ticket = 0;
    TimePoint m_deadline;
    Body m_body;
};

/// @brief Messages that SchedulerLinkDuty reads from its ring.
using LinkMessage = std::variant<JobCommand, HostsChanged, ConfigurationChanged>;
}
