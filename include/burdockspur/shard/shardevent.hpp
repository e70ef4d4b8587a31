#pragma once

#include "burdockspur/contract/workerlease.hpp"
#include "burdockspur/machine/hostrecord.hpp"
#include "burdockspur/port/workerport.hpp"
#include "burdockspur/shard/shardcommand.hpp"
#include "burdockspur/shard/storeevents.hpp"

#include <string>
#include <variant>
#include <vector>

namespace Burdockspur
{
/// @brief A caller submits a job.
struct JobSubmitted {
    EntryTicket m_ticket;
    std::string m_job;
    JobSpec m_spec;
};

/// @brief A caller cancels a job.
struct CancelRequested {
    EntryTicket m_ticket;
    std::string m_job;
};

/// @brief A caller requests the state of a job.
struct JobQueried {
    EntryTicket m_ticket;
    std::string m_job;
};

/// @brief The workers of the shard, as last listed by the platform.
struct WorkersListed {
    std::vector<HostRecord> m_workers;
};

/// @brief The part of the configuration that a shard needs has changed.
struct PolicyChanged {
    Resources m_reservation; ///< amount reserved for services on each worker
    bool m_acceptBatch = true;
};

/// @brief A worker's answer to a lease renewal.
struct LeaseAnswered {
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
    std::string m_worker;
    Result<LeaseReport> m_report;
};

/// @brief A worker's answer to a start.
struct StartAnswered {
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
    std::string m_worker;
    AttemptId m_attempt;
    StartResult m_result;
};

/// @brief A worker's answer to a stop.
struct StopAnswered {
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
    std::string m_worker;
    AttemptId m_attempt;
    Result<AttemptReport> m_report;
};

/// @brief A worker's answer to a checkpoint.
struct CheckpointAnswered {
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
    std::string m_worker;
    AttemptId m_attempt;
    Result<AttemptReport> m_report;
};

/// @brief Events that a ShardScheduler handles; tick() handles the passing of time.
using ShardEvent = std::variant<JobSubmitted,
                                CancelRequested,
                                JobQueried,
                                WorkersListed,
                                PolicyChanged,
                                LeaseAnswered,
                                StartAnswered,
                                StopAnswered,
                                CheckpointAnswered,
                                RowWritten,
                                RowRead,
                                SnapshotStored>;
}
