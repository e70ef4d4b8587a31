#pragma once

#include "burdockspur/core/eventloopduty.hpp"
#include "burdockspur/fleet/fleetrings.hpp"
#include "burdockspur/fleet/fleetsettings.hpp"
#include "burdockspur/fleet/handover.hpp"
#include "burdockspur/fleet/jobload.hpp"
#include "burdockspur/fleet/ownercommit.hpp"
#include "burdockspur/fleet/ownershipcandidate.hpp"
#include "burdockspur/fleet/ownershipclaim.hpp"
#include "burdockspur/port/changestore.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Burdockspur
{
class ArchiveCalls;
class FleetCodec;
class FleetPlatform;
class HttpClient;
class JobStore;
class PollTimer;
class TableFollower;
template<typename T>
class RingOutbox;

/// @brief Thread that talks to the store: the configuration, callers' jobs, the ownership, and the owner's rows.
class FleetStoreDuty final : public EventLoopDuty
{
public:
    /// @param settings of the host
    /// @param platform outlives the duty
    /// @param incarnation distinguishes restarts of this host
    /// @param rings outlive the duty
    FleetStoreDuty(const FleetSettings &settings, const FleetPlatform &platform, std::string_view incarnation, FleetRings &rings);
    ~FleetStoreDuty() override;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    auto takeInputs() -> void;
    auto on(StoreRequest &&request) -> void;
    auto on(CommitOrder &&order) -> void;
    auto on(ArchiveOrder &&order) -> void;
    auto on(OwnershipResigned &&resigned) -> void;
    auto on(DrainBegun &&drain) -> void;
    auto later(Milliseconds pause, std::function<void()> call) -> void;

    // Configuration
    auto takeConfiguration(const RowPage &page, TimePoint confirmedAt) -> void;

    // Ownership
    auto watchOwner() -> void;
    auto readOwner() -> void;
    auto takeOwnerRow(Result<std::vector<TableRow>> &&rows, TimePoint sentAt) -> void;
    auto claim(const ClaimAttempt &attempt) -> void;
    auto beginOwnership(const FleetOwnerRow &row, std::uint64_t version) -> void;
    auto jobsLoaded(JobLoad::Jobs &&loaded) -> void;
    auto loadFailed(const Error &error) -> void;
    auto followFleet(std::uint64_t version) -> void;
    auto takeReloaded(JobLoad::Jobs &&loaded, TimePoint sentAt) -> void;
    auto takeModel(Epoch epoch, Result<std::vector<TableRow>> &&rows) -> void;
    auto reloadJobs() -> void;
    auto endOwnership() -> void;
    auto commitWaiting() -> void;
    auto releaseWhenIdle() -> void;
    auto forgetFleet() -> void;

    // Hand-over
    auto volunteer(const FleetOwnerRow &row) -> void;
    auto offer(const CandidateAttempt &attempt) -> void;
    auto pollWhileExpecting() -> void;
    auto lookForSuccessor() -> void;
    auto giveUp(OwnershipRelease &&release) -> void;

    // What the owner follows
    auto takeJobs(const RowPage &page, TimePoint confirmedAt) -> void;
    auto takeWorkers(const RowPage &page, bool isWhole) -> void;

    FleetSettings m_settings;
    const FleetPlatform &m_platform;
    std::string m_incarnation;
    FleetRings &m_rings;
    OwnershipClaim m_claim;
    OwnershipCandidate m_candidate;
    HandOver m_handOver;
    std::unique_ptr<RingOutbox<GateInput>> m_toGate;
    std::unique_ptr<RingOutbox<FleetInput>> m_toScheduler;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<ChangeStore> m_store;
    std::unique_ptr<HttpClient> m_ownerClient; ///< for the owner's row only
    std::unique_ptr<ChangeStore> m_ownerStore;
    std::unique_ptr<FleetCodec> m_codec;
    std::unique_ptr<JobStore> m_jobStore;
    std::unique_ptr<OwnerCommit> m_commits;
    std::unique_ptr<ArchiveCalls> m_archive; ///< of the owner's ended jobs
    std::unique_ptr<JobLoad> m_jobLoad; ///< of a takeover, or after the history of the jobs was lost
    std::unique_ptr<TableFollower> m_configurationRows;
    std::unique_ptr<TableFollower> m_jobRows;
    std::unique_ptr<TableFollower> m_workerRows;
    std::unique_ptr<PollTimer> m_ownerTimer;
    std::shared_ptr<const FleetConfiguration> m_configuration;
    std::set<std::string, std::less<>> m_listedWorkers;
    std::shared_ptr<bool> m_alive; ///< guards delayed calls against a duty that has ended
    TimePoint m_jobsAsOf; ///< every job stored before this time was passed to the scheduler
    std::optional<CommitOrder> m_waitingCommit; ///< came while another was in flight
    bool m_isClaiming = false;
    bool m_isBegun = false; ///< the scheduler has the jobs
    bool m_isDraining = false;
    std::optional<OwnershipRelease> m_release; ///< to be written as soon as no commit is in flight
    bool m_isExpecting = false; ///< polls fast for a hand-over
    bool m_isReleased = false;
    std::vector<FleetStoreInput> m_inputs;
};
}
