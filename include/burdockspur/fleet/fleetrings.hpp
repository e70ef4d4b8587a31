#pragma once

#include "burdockspur/contract/fleetconfiguration.hpp"
#include "burdockspur/core/boundedring.hpp"
#include "burdockspur/fleet/apicall.hpp"
#include "burdockspur/fleet/evacuation/closedzones.hpp"
#include "burdockspur/fleet/fleetanswer.hpp"
#include "burdockspur/fleet/fleetcommand.hpp"
#include "burdockspur/fleet/fleetscheduler.hpp"
#include "burdockspur/fleet/formerowner.hpp"
#include "burdockspur/fleet/refusals/storecondition.hpp"
#include "burdockspur/fleet/waitingjobs.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Burdockspur
{
/// @brief A caller's request for the store duty.
struct StoreRequest {
    std::uint64_t m_ticket = 0;
    ApiCall m_call;
};

/// @brief A planned stop of the host has started.
struct DrainStarted {
};

/// @brief A message to the store duty.
using FleetStoreInput = std::variant<StoreRequest, CommitOrder, ArchiveOrder, OwnershipResigned, DrainStarted>;

/// @brief The configuration in force, confirmed by the store.
struct ConfigurationConfirmed {
    std::shared_ptr<const FleetConfiguration> m_configuration;
    TimePoint m_confirmedAt; ///< at this time the store had no later version
};

/// @brief Counts of waiting jobs from the owner's row.
struct PendingCounts {
    std::optional<WaitingJobs> m_waiting; ///< nothing when the age of the counts is not known
    std::string m_countedBy; ///< owner that wrote the counts
    Epoch m_epoch = 0; ///< epoch of the row
};

/// @brief Answer to a StoreRequest.
struct StoreReply {
    std::uint64_t m_ticket = 0;
    Result<JobPhase> m_result; ///< Queued for an accepted submission, Cancelled for a cancellation
};

/// @brief The store duty has finished its drain: the ownership is released, or this host had none.
struct StoreDrained {
};

/// @brief The store has begun or ceased to answer this host.
struct StoreConditionChanged {
    StoreReport m_report;
};

/// @brief A message to the duty that serves the callers.
using ApiInput = std::variant<ConfigurationConfirmed, PendingCounts, StoreReply, StoreConditionChanged, DrainStarted, StoreDrained>;

/// @brief This host has become the owner, and reads the jobs now.
struct OwnershipClaimed {
    Epoch m_epoch = 0;
    TimePoint m_claimedAt; ///< when the claim was sent
    FormerOwner m_former;
};

/// @brief This host is the owner and has read the jobs.
struct OwnershipTaken {
    Epoch m_epoch = 0;
    std::vector<StoredJob> m_jobs;
    TimePoint m_asOf; ///< every job stored before this time is among them
    std::vector<std::string> m_archived; ///< names of the progress rows that a former owner has not deleted after the move of their jobs
};

/// @brief This host is no longer the owner, or is about to release the ownership.
struct OwnershipEnded {
    Epoch m_epoch = 0;
};

/// @brief Jobs and cancellations read from the store.
struct JobsStored {
    std::vector<TaskJob> m_jobs;
    std::vector<std::string> m_cancelled; ///< ids of cancelled jobs
    TimePoint m_asOf; ///< with this message, every job stored before this time is known
};

/// @brief Jobs whose rows were moved from the table of jobs to the table of final rows.
struct JobsArchived {
    Epoch m_epoch = 0; ///< epoch of the owner that moved them
    std::vector<std::string> m_ids;
};

/// @brief Interference model that a previous owner has stored.
struct InterferencePairsStored {
    std::vector<InterferencePair> m_pairs;
};

/// @brief Changes of the list of workers.
struct WorkersChanged {
    std::vector<WorkerRecord> m_changed;
    std::vector<std::string> m_removed; ///< ids of removed workers
};

/// @brief The zones that the operator has closed, as this host knows them now.
struct ZonesConfirmed {
    ClosedZones m_zones;
};

/// @brief A message to the scheduler's duty.
using FleetInput = std::variant<OwnershipClaimed,
                                OwnershipTaken,
                                OwnershipEnded,
                                JobsStored,
                                JobsArchived,
                                InterferencePairsStored,
                                WorkersChanged,
                                ConfigurationConfirmed,
                                ZonesConfirmed,
                                CommitAnswer,
                                ReportAnswer,
                                StartAnswer,
                                StopAnswer,
                                PaceAnswer>;

/// @brief An order to a worker, a message to the duty that calls the workers.
using WorkerOrder = std::variant<ReportOrder, RunStartOrder, RunStopOrder, RunPaceOrder>;

/// @brief The rings between the duties of one host.
struct FleetRings {
    /// Entries of each ring; sufficient for one report from each of 1,000 workers and the starts of one second.
    static constexpr std::size_t capacity = 4'096;

    BoundedRing<ApiInput> m_api{capacity};
    BoundedRing<FleetStoreInput> m_store{capacity};
    BoundedRing<FleetInput> m_scheduler{capacity};
    BoundedRing<WorkerOrder> m_workers{capacity};
};
}
