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
/// @brief Introduces the sender; the first message on a link in each direction.
struct Hello {
    std::string m_host; ///< name of the entry host
    std::string m_program; ///< `entry` or `scheduler`
};

/// @brief Keeps an idle link open; sent when nothing else was sent for FrameLimits::m_heartbeatInterval.
struct Heartbeat {
};

/// @brief Reports the shards that a scheduler owns; sent after Hello and after each change.
struct OwnershipReport {
    std::vector<ShardOwnership> m_shards;
    bool m_draining = false;
};

/// @brief Requests that the shard's owner accept a job; idempotent.
struct SubmitJob {
    std::string m_job;
    JobSpec m_spec;
};

/// @brief Requests that the shard's owner cancel a job; idempotent.
struct CancelJob {
    std::string m_job;
};

/// @brief Requests the state of one job.
struct QueryJob {
    std::string m_job;
};

/// @brief Requests a page of the jobs in all shards that the scheduler owns, in id order.
struct ListJobs {
    static constexpr std::uint32_t maxLimit = 500; ///< most jobs in one page, so that its frame stays below FrameLimits::m_maxFrameBytes

    std::string m_state; ///< lists only jobs in the state of this name; empty for all states
    std::string m_after; ///< last job id of the previous page, or empty for the first page
    std::uint32_t m_limit = 100;
};

/// @brief Response to SubmitJob, CancelJob and QueryJob.
struct JobReply {
    Job m_job;
};

/// @brief Response to ListJobs.
struct JobListReply {
    JobPage m_page;
};

/// @brief Response to any request that failed.
struct ErrorReply {
    Error m_error;
};

/// @brief A message between two processes of the system, independent of its encoding.
struct PeerMessage {
    using Body = std::variant<Hello, Heartbeat, OwnershipReport, SubmitJob, CancelJob, QueryJob, ListJobs, JobReply, JobListReply, ErrorReply>;

    ConfigVersion m_configVersion = 0; ///< highest configuration version that the sender has received
    std::uint64_t m_correlation = 0; ///< number of a request, repeated in its response
    Body m_body;
};
}
