#pragma once

#include "burdockspur/contract/taskid.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/fleet/jobprogress.hpp"
#include "burdockspur/fleet/silentworker.hpp"
#include "burdockspur/fleet/waitingjobs.hpp"
#include "burdockspur/link/httpclient.hpp"
#include "burdockspur/port/tablestore.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Burdockspur
{
/// @brief Destination and fencing epoch of an order.
struct WorkerAddress {
    std::string m_worker; ///< id
    HttpEndpoint m_endpoint;
    std::uint64_t m_incarnation = 0; ///< incarnation that may carry out the order
    Epoch m_epoch = 0;
};

/// @brief Requests a worker's report of its runs, and renews its lease.
struct ReportOrder {
    WorkerAddress m_address;
    std::uint64_t m_ackedEnd = 0; ///< sequence number up to which the worker may drop ends
    std::optional<Milliseconds> m_leaseUntil; ///< on the worker's clock; empty does not renew the lease
    Milliseconds m_wait{0}; ///< how long the worker may delay the report while nothing changes
};

/// @brief Starts a run.
struct RunStartOrder {
    WorkerAddress m_address;
    TaskId m_task;
    RunNumber m_run = 0;
    std::string m_payload;
    std::string m_checkpoint; ///< empty for none
    Milliseconds m_leaseUntil{0}; ///< on the worker's clock
};

/// @brief Stops a run, or prevents that it ever starts.
struct RunStopOrder {
    WorkerAddress m_address;
    TaskId m_task;
    RunNumber m_run = 0;
};

/// @brief Limits the pace of a run.
struct RunPaceOrder {
    WorkerAddress m_address;
    TaskId m_task;
    RunNumber m_run = 0;
    int m_percent = 100;
};

/// @brief Stores changes of jobs in one transaction together with the owner's row.
struct CommitOrder {
    std::uint64_t m_number = 0; ///< unique within the epoch, starting at 1
    Epoch m_epoch = 0;
    std::vector<RowPut> m_puts;
    std::vector<std::string> m_deletes;
    std::optional<WaitingJobs> m_waiting; ///< empty until the list of jobs is complete
    std::vector<SilentWorker> m_silentWorkers; ///< see FleetOwnerRow
};

/// @brief A job whose final phase is stored in its progress row.
struct FinalJob {
    std::string m_id;
    JobPhase m_phase = JobPhase::Completed;
};

/// @brief Moves ended jobs to the table of ended jobs; see JobArchive.
struct ArchiveOrder {
    Epoch m_epoch = 0;
    std::vector<FinalJob> m_jobs;
};

/// @brief Reports that the scheduler has resigned because a worker has fenced it: a later owner exists.
struct OwnershipResigned {
    Epoch m_epoch = 0;
};

/// @brief A command of the scheduler, carried out by other duties.
using FleetCommand = std::variant<ReportOrder, RunStartOrder, RunStopOrder, RunPaceOrder, CommitOrder, ArchiveOrder, OwnershipResigned>;
}
