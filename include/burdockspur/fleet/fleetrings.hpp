#pragma once

#include "burdockspur/contract/fleetconfiguration.hpp"
#include "burdockspur/core/boundedring.hpp"
#include "burdockspur/fleet/fleetanswer.hpp"
#include "burdockspur/fleet/fleetcommand.hpp"
#include "burdockspur/fleet/fleetscheduler.hpp"
#include "burdockspur/fleet/gatecall.hpp"
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
    GateCall m_call;
};

/// @brief The host is about to stop.
struct DrainBegun {
};

using FleetStoreInput = std::variant<StoreRequest, CommitOrder, ArchiveOrder, OwnershipResigned, DrainBegun>;

/// @brief The configuration in force, confirmed by the store.
struct ConfigurationConfirmed {
    std::shared_ptr<const FleetConfiguration> m_configuration;
    TimePoint m_confirmedAt; ///< the store had no later one at this time
};

/// @brief What the owner said of the jobs that wait.
struct PendingCounts {
    std::optional<WaitingJobs> m_waiting; ///< nothing when the age of the counts is not known
    std::string m_countedBy; ///< host whose row holds the counts
    Epoch m_epoch = 0; ///< of that row
};

/// @brief Answer to a StoreRequest.
struct StoreReply {
    std::uint64_t m_ticket = 0;
    Result<JobPhase> m_result; ///< Queued for an accepted submission, Cancelled for a cancellation
};

/// @brief The host may stop: no call to the store is open that a caller waits for, and the ownership is released.
struct StoreDrained {
};

using GateInput = std::variant<ConfigurationConfirmed, PendingCounts, StoreReply, DrainBegun, StoreDrained>;

/// @brief This host has become the owner.
struct OwnershipTaken {
    Epoch m_epoch = 0;
    std::vector<StoredJob> m_jobs;
    TimePoint m_asOf; ///< every job stored before this time is among them
    std::vector<std::string> m_archived; ///< jobs that a former owner moved, and whose progress it did not delete
};

/// @brief This host is the owner no more.
struct OwnershipEnded {
    Epoch m_epoch = 0;
};

/// @brief Jobs and cancellations that were stored.
struct JobsStored {
    std::vector<TaskJob> m_jobs;
    std::vector<std::string> m_cancelled;
    TimePoint m_asOf; ///< with these, every job stored before this time is known
};

/// @brief Jobs whose rows stand in the table of ended jobs and not in the table of jobs.
struct JobsArchived {
    Epoch m_epoch = 0; ///< of the owner that moved them
    std::vector<std::string> m_ids;
};

/// @brief What a previous owner had learned.
struct PressuresStored {
    std::vector<InterferencePair> m_pairs;
};

/// @brief Changes of the list of workers.
struct WorkersChanged {
    std::vector<WorkerRecord> m_changed;
    std::vector<std::string> m_removed;
};

using FleetInput = std::variant<OwnershipTaken,
                                OwnershipEnded,
                                JobsStored,
                                JobsArchived,
                                PressuresStored,
                                WorkersChanged,
                                ConfigurationConfirmed,
                                CommitAnswer,
                                ReportAnswer,
                                StartAnswer,
                                StopAnswer,
                                PaceAnswer>;

using WorkerOrder = std::variant<ReportOrder, RunStartOrder, RunStopOrder, RunPaceOrder>;

/// @brief The rings between the duties of one host.
struct FleetRings {
    /// Entries of one ring: at 1,000 workers, one report each and the starts of a second.
    static constexpr std::size_t capacity = 4'096;

    BoundedRing<GateInput> m_gate{capacity};
    BoundedRing<FleetStoreInput> m_store{capacity};
    BoundedRing<FleetInput> m_scheduler{capacity};
    BoundedRing<WorkerOrder> m_workers{capacity};
};
}
