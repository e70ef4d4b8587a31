#pragma once

#include "burdockspur/core/eventloopduty.hpp"
#include "burdockspur/fleet/fleetrings.hpp"
#include "burdockspur/fleet/fleetsettings.hpp"
#include "burdockspur/fleet/handover.hpp"
#include "burdockspur/fleet/jobload.hpp"
#include "burdockspur/fleet/ownercommit.hpp"
#include "burdockspur/fleet/ownershipcandidate.hpp"
#include "burdockspur/fleet/ownershipclaim.hpp"
#include "burdockspur/fleet/refusals/storereachability.hpp"
#include "burdockspur/operations/logthrottle.hpp"
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
class FleetMetrics;
class FleetPlatform;
class HttpClient;
class JobStore;
class ObservedStore;
class PollTimer;
class TableFollower;
class ZoneRequestReader;
template<typename T>
class RingOutbox;

/// @brief Thread for all calls to the store.
///
/// It follows the configuration, stores and reads the jobs of callers, competes for the ownership of the fleet, and, on the owner,
/// follows the jobs and workers and writes the rows that the scheduler orders.
class FleetStoreDuty final : public EventLoopDuty
{
public:
    /// @param settings settings of the host
    /// @param platform must outlive the duty
    /// @param incarnation distinguishes restarts of this host
    /// @param rings must outlive the duty
    /// @param metrics must outlive the duty
    FleetStoreDuty(const FleetSettings &settings, const FleetPlatform &platform, std::string_view incarnation, FleetRings &rings, FleetMetrics &metrics);
    ~FleetStoreDuty() override;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    auto processInputs() -> void;
    auto on(StoreRequest &&request) -> void;
    auto on(CommitOrder &&order) -> void;
    auto on(ArchiveOrder &&order) -> void;
    auto on(OwnershipResigned &&resigned) -> void;
    auto on(DrainStarted &&drain) -> void;
    auto later(Milliseconds pause, std::function<void()> call) -> void;

    // Outages of the store
    auto makeStores() -> void;
    auto applyStoreCondition() -> void;
    /// @brief Judges the open calls to the store.
    auto checkStore() -> void;
    auto probeStore() -> void;

    // Configuration and requests of the operator
    auto applyConfiguration(const RowPage &page, TimePoint confirmedAt) -> void;
    /// @param isList true if the page has all rows of the table
    auto applyZoneRequests(const RowPage &page, bool isList, TimePoint confirmedAt) -> void;
    /// @brief Reads the requests of the operator beside the feed when the feed has not confirmed them for long although commits are stored.
    auto confirmZones() -> void;

    // Ownership
    auto pollOwner() -> void;
    auto readOwner() -> void;
    auto handleOwnerRow(Result<std::vector<TableRow>> &&rows, TimePoint sentAt) -> void;
    auto claim(const ClaimAttempt &attempt) -> void;
    auto beginOwnership(const ClaimAttempt &attempt, std::uint64_t version, TimePoint claimedAt) -> void;
    auto handleJobsLoaded(JobLoad::Jobs &&loaded) -> void;
    auto handleLoadFailure(const Error &error) -> void;
    auto followJobs(std::uint64_t version) -> void;
    auto followWorkers() -> void;
    auto handleReloadedJobs(JobLoad::Jobs &&loaded, TimePoint sentAt) -> void;
    auto restoreModel(Epoch epoch, Result<std::vector<TableRow>> &&rows) -> void;
    auto reloadJobs() -> void;
    auto endOwnership() -> void;
    auto commitPending() -> void;
    auto releaseWhenIdle() -> void;
    auto stopFollowing() -> void;

    // Hand-over
    auto considerCandidacy(const FleetOwnerRow &row) -> void;
    auto writeOffer(const CandidateAttempt &attempt) -> void;
    auto pollForHandOver() -> void;
    auto checkForSuccessor() -> void;
    auto beginRelease(OwnershipRelease &&release) -> void;

    // Changes of the tables that the owner follows
    auto forwardJobs(const RowPage &page, TimePoint confirmedAt) -> void;
    auto forwardWorkers(const RowPage &page, bool isWhole) -> void;
    auto logUnreadableWorker(const TableRow &row, const Error &error) -> void;

    FleetSettings m_settings;
    const FleetPlatform &m_platform;
    std::string m_incarnation;
    FleetRings &m_rings;
    FleetMetrics &m_metrics;
    OwnershipClaim m_claim;
    OwnershipCandidate m_candidate;
    HandOver m_handOver;
    std::unique_ptr<RingOutbox<ApiInput>> m_toApi;
    std::unique_ptr<RingOutbox<FleetInput>> m_toScheduler;
    StoreReachability m_reachability; ///< judged by the calls through all views of the store
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<ChangeStore> m_platformStore;
    std::unique_ptr<ObservedStore> m_store;
    std::unique_ptr<ObservedStore> m_callerStore; ///< view for the calls of callers, who are refused during an outage
    std::unique_ptr<HttpClient> m_ownerClient; ///< separate connections for the owner's row
    std::unique_ptr<ChangeStore> m_ownerPlatformStore;
    std::unique_ptr<ObservedStore> m_ownerStore;
    std::unique_ptr<FleetCodec> m_codec;
    std::unique_ptr<ZoneRequestReader> m_zoneRequests;
    std::unique_ptr<JobStore> m_jobStore;
    std::unique_ptr<OwnerCommit> m_commits;
    std::unique_ptr<ArchiveCalls> m_archive; ///< moves and removes the rows of ended jobs
    std::unique_ptr<JobLoad> m_jobLoad; ///< reads all jobs, at a takeover or when the changes of the jobs cannot be followed
    std::unique_ptr<TableFollower> m_configurationRows;
    std::unique_ptr<TableFollower> m_jobRows;
    std::unique_ptr<TableFollower> m_workerRows;
    std::unique_ptr<PollTimer> m_ownerTimer;
    std::shared_ptr<const FleetConfiguration> m_configuration;
    std::set<std::string, std::less<>> m_knownWorkers;
    std::shared_ptr<bool> m_alive; ///< false once the duty has ended, so that delayed calls do nothing
    TimePoint m_jobsAsOf; ///< every job stored before this time was passed to the scheduler
    std::optional<CommitOrder> m_pendingCommit; ///< received while another commit was in flight
    bool m_isOwnerCallInFlight = false; ///< a read of the owner's row or a claim is in flight
    bool m_hasLoadedJobs = false; ///< the scheduler has received the jobs of this ownership
    bool m_isDraining = false;
    TimePoint m_storeCheckDue = TimePoint::max(); ///< a later check shows that this host itself has paused
    bool m_isProbing = false; ///< a probe of the store is under way or due
    std::optional<OwnershipRelease> m_release; ///< written as soon as no commit is in flight
    bool m_isAwaitingHandOver = false; ///< the owner's row is polled at the short interval
    bool m_isReleased = false; ///< the release for a planned stop was started
    TimePoint m_zonesReadAt; ///< when confirmZones() has last read the requests
    std::vector<FleetStoreInput> m_inputs;
    LogThrottle m_configurationLog;
    LogThrottle m_jobLog;
    LogThrottle m_workerLog;
};
}
