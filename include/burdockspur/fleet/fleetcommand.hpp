#pragma once

#include "burdockspur/contract/taskid.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/fleet/jobprogress.hpp"
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
/// @brief Where an order goes, and with which authority.
struct WorkerAddress {
    std::string m_worker; ///< id
    HttpEndpoint m_endpoint;
    std::uint64_t m_incarnation = 0; ///< that the order is meant for
    Epoch m_epoch = 0;
};

/// @brief Asks a worker for its runs and extends its lease.
struct ReportOrder {
    WorkerAddress m_address;
    std::uint64_t m_ackedEnd = 0; ///< the worker may forget ends up to this one
    std::optional<Milliseconds> m_leaseUntil; ///< on the worker's clock
    Milliseconds m_wait{0}; ///< the worker may wait this long for news
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

/// @brief Stops a run; a run that has not begun can never begin after that.
struct RunStopOrder {
    WorkerAddress m_address;
    TaskId m_task;
    RunNumber m_run = 0;
};

/// @brief Limits a run to a share of its work.
struct RunPaceOrder {
    WorkerAddress m_address;
    TaskId m_task;
    RunNumber m_run = 0;
    int m_percent = 100;
};

/// @brief Stores changes of jobs in one transaction with the owner's row.
struct CommitOrder {
    std::uint64_t m_number = 0; ///< within the epoch, from 1
    Epoch m_epoch = 0;
    std::vector<RowPut> m_puts;
    std::vector<std::string> m_deletes;
    std::optional<WaitingJobs> m_waiting; ///< nothing while they are not counted
};

/// @brief A job whose final state is stored as its progress.
struct FinalJob {
    std::string m_id;
    JobPhase m_phase = JobPhase::Completed;
};

/// @brief Moves jobs out of the table of jobs; see JobArchive.
struct ArchiveOrder {
    Epoch m_epoch = 0;
    std::vector<FinalJob> m_jobs;
};

/// @brief The scheduler has stopped, because a worker takes the orders of a later owner.
struct OwnershipResigned {
    Epoch m_epoch = 0;
};

/// @brief What the scheduler wants done.
using FleetCommand = std::variant<ReportOrder, RunStartOrder, RunStopOrder, RunPaceOrder, CommitOrder, ArchiveOrder, OwnershipResigned>;
}
