#pragma once

#include "burdockspur/contract/job.hpp"
#include "burdockspur/contract/jobpage.hpp"
#include "burdockspur/contract/shardownership.hpp"
#include "burdockspur/core/error.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Burdockspur
{
/// @brief First message on a link in both directions.
struct Hello {
    std::string m_host; ///< name of the entry host
    std::string m_program; ///< `entry` or `scheduler`
};

/// @brief Sent when nothing else was sent for a heartbeat period.
struct Heartbeat {
};

/// @brief The shards that a scheduler owns; sent after Hello and at each change.
struct OwnershipReport {
    std::vector<ShardOwnership> m_shards;
    bool m_draining = false;
};

/// @brief Asks the owner to accept a job; idempotent.
struct SubmitJob {
    std::string m_job;
    JobSpec m_spec;
};

/// @brief Asks the owner to cancel a job; idempotent.
struct CancelJob {
    std::string m_job;
};

/// @brief Asks for one job.
struct QueryJob {
    std::string m_job;
};

/// @brief Asks for the jobs of all shards that the scheduler owns, in id order.
struct ListJobs {
    static constexpr std::uint32_t longest = 500; ///< most jobs of one list; their frame stays below the largest

    std::string m_state; ///< name of a state, or empty for all
    std::string m_after; ///< last id of the previous page
    std::uint32_t m_limit = 100;
};

/// @brief Answer to SubmitJob, CancelJob and QueryJob.
struct JobReply {
    Job m_job;
};

/// @brief Answer to ListJobs.
struct JobListReply {
    JobPage m_page;
};

/// @brief Answer to any request that failed.
struct ErrorReply {
    Error m_error;
};

/// @brief A message between two processes of the system, apart from its encoding.
struct PeerMessage {
    using Body = std::variant<Hello, Heartbeat, OwnershipReport, SubmitJob, CancelJob, QueryJob, ListJobs, JobReply, JobListReply, ErrorReply>;

    ConfigVersion m_configVersion = 0; ///< highest that the sender knows
    std::uint64_t m_correlation = 0; ///< the answer carries the number of its request
    Body m_body;
};
}
