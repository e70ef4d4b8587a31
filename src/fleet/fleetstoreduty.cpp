#include "burdockspur/fleet/fleetstoreduty.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/fleet/archivecalls.hpp"
#include "burdockspur/fleet/evacuation/zonerequestreader.hpp"
#include "burdockspur/fleet/fleetmetrics.hpp"
#include "burdockspur/fleet/jobstore.hpp"
#include "burdockspur/fleet/refusals/observedstore.hpp"
#include "burdockspur/fleet/tablefollower.hpp"
#include "burdockspur/host/ringoutbox.hpp"
#include "burdockspur/impl/polltimer.hpp"
#include "burdockspur/link/endpointtext.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/port/fleetcodec.hpp"
#include "burdockspur/port/fleetplatform.hpp"

#include <QTimer>

namespace Burdockspur
{
namespace
{
/// Time for which the store may wait for a change of the configuration before it answers. With the latency of the call, it is well
/// within the time to apply a configuration.
constexpr Milliseconds configurationWait{800};
/// Time for which the store may wait for new jobs before it answers; the counts of waiting jobs are as old as its last answer.
constexpr Milliseconds jobsWait{1'000};
/// Pause between two reads of the changes of workers. The store need not wait for a change: each worker writes about once a second, so
/// such a wait would end at once.
constexpr Milliseconds workersPause{400};
/// Time between two polls of the owner's row.
constexpr Milliseconds ownerPollInterval{400};
/// Longest time between two polls of the owner's row, with their jitter.
constexpr Milliseconds longestPollInterval = ownerPollInterval * 11 / 10;
/// Time between two polls of the owner's row by a host to which the ownership may be handed over at any moment.
constexpr Milliseconds handOverPollInterval{100};
/// Time between two probes of a store that does not answer; callers wait for the end of an outage on average half as long.
constexpr Milliseconds probeInterval{200};
/// Connections to the store: three calls that wait for changes, the reads of a takeover, and calls for callers.
constexpr std::size_t storeConnections = 12;
/// Connections for the owner's row, whose heartbeats must not wait behind other calls: one for a commit, one for a read, and one for
/// a call that is not answered.
constexpr std::size_t ownerConnections = 3;
constexpr Milliseconds connectTimeout{1'000};
/// Age of the last confirmation of the closed zones at which they are read beside the feed. While the feed works, each of its waits confirms them.
constexpr Milliseconds lateZonesAge{1'500};
/// Pause before another attempt to read all jobs again.
constexpr Milliseconds reloadPause{200};

auto warnRingFull(std::string_view ring) -> std::function<void()>
{
    return [ring] {
        logEvent(LogLevel::Warning, "ring_full", {{"ring", ring}, {"from", "store"}});
    };
}

}

FleetStoreDuty::FleetStoreDuty(
    const FleetSettings &settings, const FleetPlatform &platform, std::string_view incarnation, FleetRings &rings, FleetMetrics &metrics)
    : EventLoopDuty("store")
    , m_settings(settings)
    , m_platform(platform)
    , m_incarnation(incarnation)
    , m_rings(rings)
    , m_metrics(metrics)
    , m_claim(settings.m_hostName, incarnation, settings.m_ownerTimeout, hostCapacityOf(settings))
    , m_candidate(settings.m_hostName, incarnation, hostCapacityOf(settings))
    , m_handOver(settings.m_hostName, hostCapacityOf(settings))
{
}

FleetStoreDuty::~FleetStoreDuty()
{
    stop();
}

auto FleetStoreDuty::setUp() -> void
{
    m_alive = std::make_shared<bool>(true);
    m_toApi = std::make_unique<RingOutbox<ApiInput>>(m_rings.m_api, warnRingFull("gate"));
    m_toScheduler = std::make_unique<RingOutbox<FleetInput>>(m_rings.m_scheduler, warnRingFull("scheduler"));
    makeStores();
    m_codec = m_platform.makeCodec();
    m_zoneRequests = std::make_unique<ZoneRequestReader>(*m_codec);
    m_jobStore = std::make_unique<JobStore>(*m_callerStore);
    const auto wait = [this](Milliseconds pause, std::function<void()> call) {
        later(pause, std::move(call));
    };
    m_commits = std::make_unique<OwnerCommit>(*m_ownerStore,
                                              OwnerCommit::Listener{.m_answered =
                                                                        [this](const CommitAnswer &answer) {
                                                                            m_toScheduler->push(answer);
                                                                            if (answer.m_isStored) {
                                                                                confirmZones();
                                                                            }
                                                                            commitPending();
                                                                            releaseWhenIdle();
                                                                        },
                                                                    .m_lost =
                                                                        [this] {
                                                                            endOwnership();
                                                                        },
                                                                    .m_runLater = wait});
    m_archive = std::make_unique<ArchiveCalls>(*m_store,
                                               fleetLimitsOf(m_settings).m_retention,
                                               ArchiveCalls::Listener{.m_archived =
                                                                          [this](std::vector<std::string> &&ids) {
                                                                              m_toScheduler->push(JobsArchived{m_commits->row().m_epoch, std::move(ids)});
                                                                          },
                                                                      .m_runLater = wait});
    const auto takePage = [this](bool isList) {
        return [this, isList](const RowPage &page, TimePoint confirmedAt) {
            applyZoneRequests(page, isList, confirmedAt);
            applyConfiguration(page, confirmedAt);
        };
    };
    m_configurationRows =
        std::make_unique<TableFollower>(*m_store,
                                        m_codec->configurationTable(),
                                        TableFollowerOptions{.m_wait = configurationWait},
                                        TableFollower::Listener{.m_listed = takePage(true), .m_changed = takePage(false), .m_runLater = wait});
    m_ownerTimer = std::make_unique<PollTimer>(ownerPollInterval, hashOf(m_incarnation), [this] {
        pollOwner();
    });
    watch(m_rings.m_store.wakeDescriptor(), [this] {
        processInputs();
    });
    m_configurationRows->start();
    m_ownerTimer->startNow();
}

auto FleetStoreDuty::makeStores() -> void
{
    HttpClientLimits limits = answerLimitsOf(m_settings);
    limits.m_maxConnectionsPerEndpoint = storeConnections;
    limits.m_connectTimeout = connectTimeout;
    m_client = std::make_unique<HttpClient>(limits);
    limits.m_maxConnectionsPerEndpoint = ownerConnections;
    m_ownerClient = std::make_unique<HttpClient>(limits);
    for (auto *const client : {m_client.get(), m_ownerClient.get()}) {
        client->onResponseLimited([this] {
            m_metrics.recordLimitedAnswer();
        });
    }
    // The settings were validated, so the endpoint can be parsed.
    const auto endpoint = parseEndpoint(m_settings.m_storeEndpoint).value_or(HttpEndpoint{});
    m_platformStore = m_platform.makeStore(*m_client, endpoint, m_settings.m_storeTimeout);
    m_ownerPlatformStore = m_platform.makeStore(*m_ownerClient, endpoint, m_settings.m_storeTimeout);
    const auto viewOf = [this](ChangeStore &store, ObservedStore::DuringOutage duringOutage) {
        return std::make_unique<ObservedStore>(store,
                                               m_reachability,
                                               duringOutage,
                                               ObservedStore::Listener{.m_changed =
                                                                           [this] {
                                                                               applyStoreCondition();
                                                                           },
                                                                       .m_runLater =
                                                                           [this](Milliseconds pause, std::function<void()> call) {
                                                                               later(pause, std::move(call));
                                                                           }});
    };
    m_store = viewOf(*m_platformStore, ObservedStore::DuringOutage::Call);
    m_callerStore = viewOf(*m_platformStore, ObservedStore::DuringOutage::Refuse);
    m_ownerStore = viewOf(*m_ownerPlatformStore, ObservedStore::DuringOutage::Call);
}

auto FleetStoreDuty::applyStoreCondition() -> void
{
    const auto &report = m_reachability.report();
    logEvent(report.m_condition == StoreCondition::Answering ? LogLevel::Info : LogLevel::Warning,
             "store_condition",
             {{"condition", conditionName(report.m_condition)},
              {"since_ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - report.m_since).count()},
              {"last_outage_ms", std::chrono::duration_cast<Milliseconds>(report.m_lastOutage).count()}});
    m_toApi->push(StoreConditionChanged{report});
    for (auto *const store : {m_store.get(), m_callerStore.get(), m_ownerStore.get()}) {
        store->applyCondition();
    }
    if (report.m_condition == StoreCondition::Answering && m_jobRows) {
        m_jobRows->probe();
    }
}

auto FleetStoreDuty::checkStore() -> void
{
    const TimePoint now = Clock::now();
    const TimePoint due = std::exchange(m_storeCheckDue, now + longestPollInterval);
    if (m_reachability.check(due, now)) {
        applyStoreCondition();
    }
}

auto FleetStoreDuty::probeStore() -> void
{
    checkStore();
    // Calls of their own, because those under way may hang until their time-out; refused calls are repeated soon anyway.
    if (m_reachability.isInDoubt(Clock::now())) {
        if (m_reachability.condition() != StoreCondition::Refusing) {
            m_configurationRows->probe();
        }
        later(probeInterval, [this] {
            probeStore();
        });
    } else {
        m_isProbing = false;
    }
}

auto FleetStoreDuty::tearDown() -> void
{
    *m_alive = false;
    m_ownerTimer.reset();
    m_workerRows.reset();
    m_jobRows.reset();
    m_jobLoad.reset();
    m_configurationRows.reset();
    m_archive.reset();
    m_commits.reset();
    m_jobStore.reset();
    m_ownerStore.reset();
    m_callerStore.reset();
    m_store.reset();
    m_ownerPlatformStore.reset();
    m_ownerClient.reset();
    m_platformStore.reset();
    m_client.reset();
    m_zoneRequests.reset();
    m_codec.reset();
    m_toScheduler.reset();
    m_toApi.reset();
}

auto FleetStoreDuty::later(Milliseconds pause, std::function<void()> call) -> void
{
    QTimer::singleShot(pause, [alive = m_alive, call = std::move(call)] {
        if (*alive) {
            call();
        }
    });
}

auto FleetStoreDuty::processInputs() -> void
{
    m_inputs.clear();
    m_rings.m_store.drain(m_inputs);
    for (auto &input : m_inputs) {
        std::visit(
            [this](auto &content) {
                on(std::move(content));
            },
            input);
    }
}

auto FleetStoreDuty::on(StoreRequest &&request) -> void
{
    const auto reply = [this, ticket = request.m_ticket](Result<JobPhase> &&result) {
        m_toApi->push(StoreReply{ticket, std::move(result)});
    };
    if (auto *const submit = std::get_if<SubmitCall>(&request.m_call)) {
        m_jobStore->submit(submit->m_job, reply);
    } else if (auto *const state = std::get_if<StateCall>(&request.m_call)) {
        m_jobStore->readPhase(state->m_job, reply);
    } else if (auto *const cancel = std::get_if<CancelCall>(&request.m_call)) {
        m_jobStore->cancel(cancel->m_job, reply);
    }
}

auto FleetStoreDuty::on(CommitOrder &&order) -> void
{
    m_pendingCommit = std::move(order);
    commitPending();
}

auto FleetStoreDuty::on(ArchiveOrder &&order) -> void
{
    if (m_hasLoadedJobs && m_commits->isOwner() && order.m_epoch == m_commits->row().m_epoch) {
        m_archive->add(order.m_jobs);
    }
}

auto FleetStoreDuty::on(OwnershipResigned &&resigned) -> void
{
    if (m_commits->isOwner() && m_commits->row().m_epoch == resigned.m_epoch) {
        endOwnership();
    }
}

auto FleetStoreDuty::commitPending() -> void
{
    if (!m_pendingCommit || !m_commits->isOwner() || !m_commits->isIdle() || m_isReleased) {
        return;
    }
    const auto order = *std::exchange(m_pendingCommit, std::nullopt);
    if (order.m_epoch == m_commits->row().m_epoch) {
        m_commits->commit(order, m_handOver.best(Clock::now()));
    }
}

auto FleetStoreDuty::on(DrainStarted && /*drain*/) -> void
{
    m_isDraining = true;
    if (m_commits->isOwner()) {
        m_toScheduler->push(OwnershipEnded{m_commits->row().m_epoch});
    }
    releaseWhenIdle();
}

auto FleetStoreDuty::releaseWhenIdle() -> void
{
    // Waits for a claim in flight, which may make this host the owner.
    if ((!m_isDraining && !m_release) || m_isReleased || m_isOwnerCallInFlight || !m_commits->isIdle()) {
        return;
    }
    m_isReleased = m_isDraining;
    auto release = std::exchange(m_release, std::nullopt).value_or(OwnershipRelease{});
    stopFollowing();
    const auto onReleased = [this, isStopping = m_isReleased] {
        if (isStopping) {
            m_toApi->push(StoreDrained{});
        }
    };
    if (!m_commits->isOwner()) {
        onReleased();
        return;
    }
    if (const auto &successor = release.m_successor) {
        logEvent(LogLevel::Info,
                 "ownership_handed_over",
                 {{"successor", successor->m_host},
                  {"epoch", m_commits->row().m_epoch},
                  {"capacity", m_commits->row().m_capacity.text()},
                  {"successor_capacity", successor->m_capacity.text()}});
    }
    release.m_best = m_handOver.best(Clock::now());
    m_commits->release(release, onReleased);
}

auto FleetStoreDuty::applyConfiguration(const RowPage &page, TimePoint confirmedAt) -> void
{
    for (const auto &change : page.m_rows) {
        if (change.m_row.m_key != m_codec->configurationKey() || change.m_isDeleted) {
            continue;
        }
        auto decoded = m_codec->decodeConfiguration(change.m_row.m_value);
        if (!decoded) {
            if (const auto heldBack = m_configurationLog.admit(Clock::now())) {
                logEvent(LogLevel::Error,
                         "configuration_unreadable",
                         {{"row_version", change.m_row.m_version}, {"reason", decoded.error().m_message}, {"held_back", *heldBack}});
            }
            continue;
        }
        if (m_configuration && decoded->m_version <= m_configuration->m_version) {
            continue;
        }
        logEvent(LogLevel::Info,
                 "configuration_in_force",
                 {{"version", decoded->m_version}, {"previous", m_configuration ? m_configuration->m_version : 0}, {"queues", decoded->m_queues.size()}});
        m_configuration = std::make_shared<const FleetConfiguration>(std::move(*decoded));
        m_toScheduler->push(ConfigurationConfirmed{m_configuration, confirmedAt});
    }
    if (m_configuration) {
        m_toApi->push(ConfigurationConfirmed{m_configuration, confirmedAt});
    }
}

auto FleetStoreDuty::applyZoneRequests(const RowPage &page, bool isList, TimePoint confirmedAt) -> void
{
    const auto now = Clock::now();
    const bool hasChanged = isList ? m_zoneRequests->takeList(page, confirmedAt, now) : m_zoneRequests->takeChanges(page, confirmedAt, now);
    // A host that becomes the owner learns the confirmation with the ownership.
    const bool needsConfirmation = m_settings.m_evacuate.count() > 0 && m_commits->isOwner();
    if (hasChanged || needsConfirmation) {
        m_toScheduler->push(ZonesConfirmed{m_zoneRequests->zones()});
    }
}

auto FleetStoreDuty::confirmZones() -> void
{
    const auto now = Clock::now();
    const bool isLate = now - m_zoneRequests->zones().confirmedAt() >= lateZonesAge;
    // The call before has ended by then, so one is in flight at most.
    const bool mayRead = now - m_zonesReadAt >= m_settings.m_storeTimeout;
    if (m_settings.m_evacuate.count() == 0 || !isLate || !mayRead) {
        return;
    }
    m_zonesReadAt = now;
    // On the connections of the owner's row, which have just carried a commit.
    m_ownerStore->list(m_codec->configurationTable(), {}, {}, 0, [this, sentAt = now](Result<RowPage> &&page) {
        if (page && !page->m_hasMore) {
            applyZoneRequests(*page, true, sentAt);
        }
    });
}

auto FleetStoreDuty::pollOwner() -> void
{
    m_ownerTimer->startNext();
    if (!m_isProbing) {
        m_isProbing = true;
        probeStore();
    }
    if (m_commits->isOwner()) {
        // The owner need not read the row: each of its commits checks the version, and the counts in the row are its own.
        const auto &row = m_commits->row();
        m_toApi->push(PendingCounts{m_commits->waitingJobs(), row.m_host, row.m_epoch});
        if (!m_hasLoadedJobs && !m_release && m_commits->isIdle()) {
            // A heartbeat while the jobs are read, which can take long with a slow store.
            m_commits->commit(CommitOrder{.m_epoch = row.m_epoch}, m_handOver.best(Clock::now()));
        }
        checkForSuccessor();
        return;
    }
    readOwner();
}

auto FleetStoreDuty::readOwner() -> void
{
    if (m_isOwnerCallInFlight || m_commits->isOwner()) {
        return;
    }
    m_isOwnerCallInFlight = true;
    m_ownerStore->read(fleetOwnerKey, [this, sentAt = Clock::now()](Result<std::vector<TableRow>> &&rows) {
        m_isOwnerCallInFlight = false;
        handleOwnerRow(std::move(rows), sentAt);
        releaseWhenIdle();
    });
}

auto FleetStoreDuty::handleOwnerRow(Result<std::vector<TableRow>> &&rows, TimePoint sentAt) -> void
{
    if (!rows) {
        m_claim.observeUnreachable();
        m_candidate.observeUnreachable();
        return;
    }
    const auto attempt = m_claim.observe(rows->empty() ? std::nullopt : std::optional(rows->front()), sentAt, Clock::now());
    const auto &row = m_claim.ownerRow();
    m_toApi->push(PendingCounts{m_claim.waitingJobs(), row.m_host, row.m_epoch});
    if (m_isDraining) {
        return;
    }
    if (attempt) {
        claim(*attempt);
        return;
    }
    considerCandidacy(row);
}

auto FleetStoreDuty::considerCandidacy(const FleetOwnerRow &row) -> void
{
    if (!m_candidate.observeOwner(row, Clock::now())) {
        return;
    }
    m_store->read(fleetCandidateKey, [this](Result<std::vector<TableRow>> &&rows) {
        if (!rows || m_commits->isOwner() || m_isDraining) {
            return;
        }
        if (const auto attempt = m_candidate.observeCandidate(rows->empty() ? std::nullopt : std::optional(rows->front()), Clock::now())) {
            writeOffer(*attempt);
        }
    });
}

auto FleetStoreDuty::writeOffer(const CandidateAttempt &attempt) -> void
{
    Transaction transaction;
    transaction.m_conditions.push_back({std::string(fleetCandidateKey), attempt.m_expectedVersion});
    transaction.m_puts.push_back({std::string(fleetCandidateKey), encodeRow(attempt.m_row)});
    m_store->commit(transaction, [this](CommitResult &&result) {
        // After a conflict another host is the candidate, so this host expects no hand-over.
        if (result.m_status != CommitResult::Status::Conflict && !m_isAwaitingHandOver) {
            m_isAwaitingHandOver = true;
            pollForHandOver();
        }
    });
}

auto FleetStoreDuty::pollForHandOver() -> void
{
    later(handOverPollInterval, [this] {
        m_isAwaitingHandOver = m_candidate.isAwaitingHandOver(Clock::now()) && !m_commits->isOwner() && !m_isDraining;
        if (m_isAwaitingHandOver) {
            readOwner();
            pollForHandOver();
        }
    });
}

auto FleetStoreDuty::checkForSuccessor() -> void
{
    if (!m_hasLoadedJobs || m_isDraining || m_release || !m_handOver.isCheckDue(Clock::now())) {
        return;
    }
    m_store->read(fleetCandidateKey, [this, epoch = m_commits->row().m_epoch](Result<std::vector<TableRow>> &&rows) {
        if (!rows || !m_commits->isOwner() || m_commits->row().m_epoch != epoch || m_isDraining || m_release) {
            return;
        }
        if (auto successor = m_handOver.observeCandidate(rows->empty() ? std::nullopt : std::optional(rows->front()), Clock::now())) {
            beginRelease({.m_successor = std::move(successor)});
        }
    });
}

auto FleetStoreDuty::beginRelease(OwnershipRelease &&release) -> void
{
    m_release = std::move(release);
    m_claim.backOff(Clock::now());
    m_candidate.backOff(Clock::now());
    m_toScheduler->push(OwnershipEnded{m_commits->row().m_epoch});
    releaseWhenIdle();
}

auto FleetStoreDuty::claim(const ClaimAttempt &attempt) -> void
{
    m_isOwnerCallInFlight = true;
    Transaction transaction;
    transaction.m_conditions.push_back({std::string(fleetOwnerKey), attempt.m_expectedVersion});
    transaction.m_puts.push_back({std::string(fleetOwnerKey), encodeRow(attempt.m_row)});
    m_ownerStore->commit(transaction, [this, attempt, sentAt = Clock::now()](CommitResult &&result) {
        m_isOwnerCallInFlight = false;
        // A claim whose answer was lost is found at the next read of the row, and this host then claims again.
        if (result.m_status == CommitResult::Status::Committed && !result.m_rows.empty()) {
            m_claim.recordClaimConfirmed();
            beginOwnership(attempt, result.m_rows.front().m_version, sentAt);
        }
        // A drain that began meanwhile has waited for this answer.
        releaseWhenIdle();
    });
}

auto FleetStoreDuty::beginOwnership(const ClaimAttempt &attempt, std::uint64_t version, TimePoint claimedAt) -> void
{
    const auto &row = attempt.m_row;
    logEvent(LogLevel::Info, "ownership_taken", {{"epoch", row.m_epoch}, {"version", version}});
    m_commits->begin(row, version);
    m_handOver.begin(row, Clock::now());
    m_release.reset();
    m_hasLoadedJobs = false;
    m_jobsAsOf = Clock::now();
    m_toScheduler->push(ZonesConfirmed{m_zoneRequests->zones()});
    m_toScheduler->push(OwnershipClaimed{row.m_epoch, claimedAt, attempt.m_former});
    // Before the jobs, because the reports that follow them are compared with the model.
    m_store->read(modelKey, [this, epoch = row.m_epoch](Result<std::vector<TableRow>> &&rows) {
        restoreModel(epoch, std::move(rows));
    });
    followWorkers();
    m_jobLoad = std::make_unique<JobLoad>(*m_store,
                                          JobLoad::Scope::Everything,
                                          JobLoad::Listener{.m_loaded =
                                                                [this](JobLoad::Jobs &&loaded) {
                                                                    handleJobsLoaded(std::move(loaded));
                                                                },
                                                            .m_failed =
                                                                [this](const Error &error) {
                                                                    handleLoadFailure(error);
                                                                },
                                                            .m_runLater =
                                                                [this](Milliseconds pause, std::function<void()> call) {
                                                                    later(pause, std::move(call));
                                                                }});
}

auto FleetStoreDuty::handleLoadFailure(const Error &error) -> void
{
    // Releases the ownership, because another host may have a better connection to the store.
    logEvent(LogLevel::Warning, "ownership_unusable", {{"epoch", m_commits->row().m_epoch}, {"reason", error.m_message}});
    beginRelease({.m_hasFailed = true});
}

auto FleetStoreDuty::handleJobsLoaded(JobLoad::Jobs &&loaded) -> void
{
    // The last page may arrive after the ownership has ended or its release has begun.
    if (!m_commits->isOwner() || m_release) {
        return;
    }
    logEvent(LogLevel::Info, "ownership_begun", {{"epoch", m_commits->row().m_epoch}, {"jobs", loaded.m_jobs.size()}, {"version", loaded.m_version}});
    m_hasLoadedJobs = true;
    m_archive->begin();
    m_toScheduler->push(OwnershipTaken{m_commits->row().m_epoch, std::move(loaded.m_jobs), m_jobsAsOf, std::move(loaded.m_archived)});
    followJobs(loaded.m_version);
}

auto FleetStoreDuty::followJobs(std::uint64_t version) -> void
{
    const auto wait = [this](Milliseconds pause, std::function<void()> call) {
        later(pause, std::move(call));
    };
    const auto takePage = [this](const RowPage &page, TimePoint confirmedAt) {
        forwardJobs(page, confirmedAt);
    };
    m_jobRows = std::make_unique<TableFollower>(*m_store,
                                                FleetTables::jobs,
                                                TableFollowerOptions{.m_wait = jobsWait},
                                                TableFollower::Listener{.m_listed = takePage,
                                                                        .m_changed = takePage,
                                                                        .m_lost =
                                                                            [this] {
                                                                                reloadJobs();
                                                                            },
                                                                        .m_runLater = wait});
    m_jobRows->startAfter(version);
}

auto FleetStoreDuty::followWorkers() -> void
{
    m_knownWorkers.clear();
    m_workerRows = std::make_unique<TableFollower>(*m_store,
                                                   m_codec->workerTable(),
                                                   TableFollowerOptions{.m_pause = workersPause},
                                                   TableFollower::Listener{.m_listed =
                                                                               [this](const RowPage &page, TimePoint /*confirmedAt*/) {
                                                                                   forwardWorkers(page, true);
                                                                               },
                                                                           .m_changed =
                                                                               [this](const RowPage &page, TimePoint /*confirmedAt*/) {
                                                                                   forwardWorkers(page, false);
                                                                               },
                                                                           .m_runLater =
                                                                               [this](Milliseconds pause, std::function<void()> call) {
                                                                                   later(pause, std::move(call));
                                                                               }});
    m_workerRows->start();
}

auto FleetStoreDuty::restoreModel(Epoch epoch, Result<std::vector<TableRow>> &&rows) -> void
{
    if (!rows || rows->empty()) {
        return;
    }
    if (auto pairs = decodeModelRow(rows->front().m_value)) {
        logEvent(LogLevel::Info, "model_restored", {{"pairs", pairs->size()}, {"version", rows->front().m_version}, {"epoch", epoch}});
        m_toScheduler->push(InterferencePairsStored{std::move(*pairs)});
    } else {
        logEvent(LogLevel::Warning, "model_unreadable", {{"reason", pairs.error().m_message}});
    }
}

auto FleetStoreDuty::reloadJobs() -> void
{
    const auto retry = [this] {
        later(reloadPause, [this] {
            if (m_commits->isOwner() && m_jobRows) {
                reloadJobs();
            }
        });
    };
    m_jobLoad = std::make_unique<JobLoad>(
        *m_store,
        JobLoad::Scope::Submissions,
        JobLoad::Listener{.m_loaded =
                              [this, sentAt = Clock::now()](JobLoad::Jobs &&loaded) {
                                  handleReloadedJobs(std::move(loaded), sentAt);
                              },
                          .m_failed =
                              [retry](const Error &error) {
                                  logEvent(LogLevel::Warning,
                                           "table_unreachable",
                                           {{"table", FleetTables::jobs}, {"step", "reload"}, {"version", 0}, {"reason", error.m_message}});
                                  retry();
                              },
                          .m_runLater =
                              [this](Milliseconds pause, std::function<void()> call) {
                                  later(pause, std::move(call));
                              }});
}

auto FleetStoreDuty::handleReloadedJobs(JobLoad::Jobs &&loaded, TimePoint sentAt) -> void
{
    if (!m_commits->isOwner() || !m_jobRows) {
        return;
    }
    m_jobsAsOf = std::max(m_jobsAsOf, sentAt);
    JobsStored stored;
    stored.m_asOf = m_jobsAsOf;
    for (auto &job : loaded.m_jobs) {
        if (job.m_isCancelled) {
            stored.m_cancelled.push_back(job.m_job.m_id);
        }
        stored.m_jobs.push_back(std::move(job.m_job));
    }
    m_toScheduler->push(std::move(stored));
    m_jobRows->startAfter(loaded.m_version);
}

auto FleetStoreDuty::endOwnership() -> void
{
    m_toScheduler->push(OwnershipEnded{m_commits->row().m_epoch});
    m_commits->end();
    m_release.reset();
    m_candidate.backOff(Clock::now());
    stopFollowing();
}

auto FleetStoreDuty::stopFollowing() -> void
{
    m_archive->end();
    // Deferred to the event loop, because this may run in a callback of one of these objects.
    later(Milliseconds{0}, [this] {
        if (!m_commits->isOwner()) {
            m_jobLoad.reset();
            m_jobRows.reset();
            m_workerRows.reset();
        }
    });
}

auto FleetStoreDuty::forwardJobs(const RowPage &page, TimePoint confirmedAt) -> void
{
    JobsStored stored;
    m_jobsAsOf = page.m_hasMore ? m_jobsAsOf : std::max(m_jobsAsOf, confirmedAt);
    stored.m_asOf = m_jobsAsOf;
    for (const auto &change : page.m_rows) {
        const std::string name(rowName(change.m_row.m_key));
        if (change.m_isDeleted) {
            continue;
        }
        if (name.ends_with(cancelSuffix)) {
            stored.m_cancelled.push_back(name.substr(0, name.size() - cancelSuffix.size()));
        } else if (auto job = decodeJobRow(change.m_row.m_value, name)) {
            stored.m_jobs.push_back(std::move(*job));
        } else if (const auto heldBack = m_jobLog.admit(Clock::now())) {
            logEvent(LogLevel::Error,
                     "job_row_corrupt",
                     {{"key", change.m_row.m_key}, {"version", change.m_row.m_version}, {"reason", job.error().m_message}, {"held_back", *heldBack}});
        }
    }
    m_toScheduler->push(std::move(stored));
}

auto FleetStoreDuty::logUnreadableWorker(const TableRow &row, const Error &error) -> void
{
    if (const auto heldBack = m_workerLog.admit(Clock::now())) {
        logEvent(LogLevel::Warning,
                 "worker_row_unreadable",
                 {{"worker", rowName(row.m_key)}, {"version", row.m_version}, {"reason", error.m_message}, {"held_back", *heldBack}});
    }
}

auto FleetStoreDuty::forwardWorkers(const RowPage &page, bool isWhole) -> void
{
    WorkersChanged changes;
    std::set<std::string, std::less<>> listed;
    for (const auto &change : page.m_rows) {
        const std::string id(rowName(change.m_row.m_key));
        auto worker = change.m_isDeleted ? Result<WorkerRecord>(failure(ErrorCode::UnknownJob, "deleted")) : m_codec->decodeWorker(id, change.m_row.m_value);
        if (!worker) {
            if (!change.m_isDeleted) {
                logUnreadableWorker(change.m_row, worker.error());
            }
            // An entry that cannot be read names no worker to use; what runs there keeps its lease.
            if (m_knownWorkers.erase(id) > 0) {
                changes.m_removed.push_back(id);
            }
            continue;
        }
        listed.insert(id);
        m_knownWorkers.insert(id);
        changes.m_changed.push_back(std::move(*worker));
    }
    if (isWhole) {
        std::erase_if(m_knownWorkers, [&](const std::string &id) {
            const bool isGone = !listed.contains(id);
            if (isGone) {
                changes.m_removed.push_back(id);
            }
            return isGone;
        });
    }
    if (!changes.m_changed.empty() || !changes.m_removed.empty()) {
        m_toScheduler->push(std::move(changes));
    }
}
}
