#include "fleetsimulation.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/fleet/progressassembly.hpp"
#include "simulatedinterference.hpp"
#include "simulatedworker.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Burdockspur::Testing
{
namespace
{
const FleetScheduler::WallTime firstWallTime{Milliseconds{1'800'000'000'000}};
constexpr Milliseconds tick{5};
constexpr Milliseconds faultInterval{100};
constexpr std::int64_t workerCpu = 16'000;
constexpr std::int64_t workerMemory = 64'000;
constexpr std::uint32_t maxAttempts = 3;
constexpr Milliseconds stopGrace{100};
constexpr Milliseconds heartbeatInterval{400};
constexpr Milliseconds orderTimeout{1'500};
constexpr double constantLoad = 20.0; ///< reported for every run without interference
constexpr std::size_t inputsPerRound = 64; ///< of a slow owner
constexpr std::size_t zoneCount = 3;
constexpr std::uint64_t incarnationStep = 1'000'000; ///< between two incarnations of a worker whose wall clock is right
constexpr Milliseconds paceDelay{100}; ///< until an accepted pace takes effect (`pace_ms` of the platform)
/// Work after which a task that saves its progress writes a checkpoint.
constexpr Milliseconds checkpointInterval{2'000};
/// Time from the start of a run of a hopeless step to its failure.
constexpr Milliseconds timeToFail{320};
/// Labels and capacities of the kinds that a worker may change to.
constexpr std::array<std::string_view, 2> kindLabels{"a", "b"};
constexpr std::array<std::int64_t, 2> kindCpus{workerCpu, 12'000};
/// Time after which the platform counts a reported end as known.
constexpr Milliseconds reportedEndDelay{100};

/// @brief Makes a worker one of the other kind, in the next zone.
auto changeKind(WorkerRecord &record) -> void
{
    const std::size_t kind = record.m_labels.front() == kindLabels[0] ? 1 : 0;
    record.m_labels.front() = kindLabels[kind];
    record.m_capacity.m_cpuMillis = kindCpus[kind];
    const auto zone = static_cast<std::size_t>(record.m_zone.back() - '0');
    record.m_zone.back() = static_cast<char>('0' + (zone + 1) % zoneCount);
}
}

FleetSimulation::FleetSimulation(std::uint64_t seed, std::size_t workers, const FleetFaults &faults, const FleetLimits &limits)
    : m_limits(limits)
    , m_seed(seed)
    , m_random(seed)
    , m_archiveRandom(~seed)
    , m_restartRandom(seed ^ 0x5bd1e995U)
    , m_zoneRandom(seed ^ 0x85ebca6bU)
    , m_jobRandom(seed ^ 0x9e3779b9U)
    , m_copyRandom(seed ^ 0x85ebca6bU)
    , m_faults(faults)
    , m_now(TimePoint{} + std::chrono::hours(1))
{
    for (std::size_t i = 0; i < workers; ++i) {
        auto worker = std::make_unique<SimulatedWorker>();
        worker->m_record.m_id = "worker-" + std::to_string(i);
        worker->m_record.m_pool = "pool";
        worker->m_record.m_zone = "zone-" + std::to_string(i % zoneCount);
        worker->m_record.m_endpoint = {"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
        worker->m_record.m_labels = {"a", "rack-" + std::to_string(i / 8)};
        worker->m_record.m_rack = worker->m_record.m_labels.back();
        worker->m_record.m_capacity = {workerCpu, workerMemory, 0};
        worker->m_record.m_incarnation = incarnationStep + i;
        if (faults.m_kindChanges > 0 && i % 2 == 1) {
            changeKind(worker->m_record);
        }
        worker->m_entry = worker->m_record;
        worker->m_startedAt = m_now;
        worker->m_clockRate = 0.98 + 0.02 * m_random.unit();
        m_workers.push_back(std::move(worker));
    }
    takeOver();
    schedule(faultInterval, [this] {
        injectFaults();
    });
}

FleetSimulation::~FleetSimulation() = default;

auto FleetSimulation::setDurationFactor(std::string_view job, std::uint32_t index, double factor) -> void
{
    m_durationFactors[{std::string(job), index}] = factor;
}

auto FleetSimulation::setFirstRunFactor(std::string_view job, std::uint32_t index, double factor) -> void
{
    m_firstRunFactors[{std::string(job), index}] = factor;
}

auto FleetSimulation::workerOf(const std::string &task, RunNumber run) const -> std::optional<std::size_t>
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        const auto found = m_workers[i]->m_runs.find(task);
        if (found != m_workers[i]->m_runs.end() && found->second.m_run == run) {
            return i;
        }
    }
    return std::nullopt;
}

auto FleetSimulation::extendRun(const std::string &task, RunNumber run, Milliseconds length) -> void
{
    if (const auto worker = workerOf(task, run)) {
        m_workers[*worker]->m_runs.at(task).m_endsAt = m_now + length;
    }
}

auto FleetSimulation::failRun(const std::string &task, RunNumber run) -> void
{
    if (const auto worker = workerOf(task, run)) {
        endRun(*m_workers[*worker], task, RunEnd::Failed);
    }
}

auto FleetSimulation::wallTime() const noexcept -> FleetScheduler::WallTime
{
    return firstWallTime + std::chrono::duration_cast<Milliseconds>(m_now - TimePoint{});
}

auto FleetSimulation::makeHopeless(std::string_view job, std::uint32_t step) -> void
{
    m_hopelessSteps.emplace(std::string(job), step);
}

auto FleetSimulation::durationFactorOf(const TaskId &task) const -> double
{
    const auto known = m_durationFactors.find({task.m_job, task.m_index});
    return known == m_durationFactors.end() ? 1.0 : known->second;
}

auto FleetSimulation::percentOf(const SimulatedRun &run) const -> double
{
    constexpr double whole = 100.0;
    if (m_interference && run.m_step->m_isFilling) {
        return run.m_length.count() <= 0 ? whole : std::min(whole, whole * run.m_workedMs / static_cast<double>(run.m_length.count()));
    }
    const auto length = std::chrono::duration<double>(run.m_endsAt - run.m_beganAt).count();
    return length <= 0 ? whole : std::min(whole, whole * std::chrono::duration<double>(m_now - run.m_beganAt).count() / length);
}

auto FleetSimulation::checkpointOf(const SimulatedRun &run) const -> std::string
{
    const auto written = (m_now - run.m_beganAt) / checkpointInterval;
    return run.m_step->m_savesProgress && written > 0 ? hexOf(static_cast<std::uint64_t>(written)) : std::string();
}

auto FleetSimulation::schedule(Duration delay, std::function<void()> call) -> void
{
    m_events.push({m_now + delay, ++m_eventNumber, std::move(call)});
}

auto FleetSimulation::deliver(FleetScheduler &owner, std::function<void()> input) -> void
{
    if (m_inputCost.count() == 0 && !m_ownerCosts) {
        input();
        return;
    }
    auto &waiting = m_inboxes[&owner].m_waiting;
    waiting.push_back(std::move(input));
    m_mostWaiting = std::max(m_mostWaiting, waiting.size());
    wakeDuty(owner);
}

auto FleetSimulation::feed(FleetScheduler &owner, std::function<void()> input) -> void
{
    if (m_ownerCosts) {
        deliver(owner, std::move(input));
    } else {
        input();
    }
}

auto FleetSimulation::setOwnerCosts(const OwnerCosts &costs) -> void
{
    m_ownerCosts = costs;
}

auto FleetSimulation::hostOf(const FleetScheduler &owner) -> OwnerHost &
{
    auto &host = m_hosts[&owner];
    if (!host.m_processor) {
        host.m_processor = std::make_unique<SimulatedProcessor>([this](Duration delay, std::function<void()> call) {
            schedule(delay, std::move(call));
        });
    }
    return host;
}

auto FleetSimulation::wakeDuty(FleetScheduler &owner) -> void
{
    if (!m_ownerCosts) {
        return;
    }
    auto &host = hostOf(owner);
    const bool isDue = !m_inboxes[&owner].m_waiting.empty() || m_now >= host.m_nextRound;
    if (!isDue || host.m_hasRound) {
        return;
    }
    host.m_hasRound = true;
    const auto begin = [this, &owner, &host] {
        host.m_processor->add([this, &owner] {
            return beginRound(owner);
        });
    };
    if (const Duration pause = host.m_beganAt + FleetLimits{}.m_roundInterval - m_now; pause > Duration::zero()) {
        schedule(pause, begin);
    } else {
        begin();
    }
}

auto FleetSimulation::beginRound(FleetScheduler &owner) -> SimulatedProcessor::Turn
{
    const auto inputs = std::exchange(m_inboxes[&owner].m_waiting, {});
    for (const auto &input : inputs) {
        input();
    }
    auto &host = hostOf(owner);
    host.m_beganAt = m_now;
    const auto triedBefore = owner.placementCounters().m_tasksTried;
    host.m_nextRound = owner.advance(m_now, wallTime());
    const auto tried = owner.placementCounters().m_tasksTried - triedBefore;
    ++host.m_rounds;
    auto commands = owner.takeCommands();
    m_mostWaiting = std::max(m_mostWaiting, commands.size());
    const auto cost = m_ownerCosts->m_round + m_ownerCosts->m_workerScan * static_cast<std::int64_t>(m_workers.size())
        + m_ownerCosts->m_input * static_cast<std::int64_t>(inputs.size()) + m_ownerCosts->m_triedTask * static_cast<std::int64_t>(tried);
    return {cost, [this, &owner, &host, commands = std::move(commands)] {
                for (const auto &command : commands) {
                    host.m_processor->add([this, &owner, command] {
                        return SimulatedProcessor::Turn{costOf(command), [this, &owner, command] {
                                                            send(owner, command);
                                                        }};
                    });
                }
                m_mostWaitingTurns = std::max(m_mostWaitingTurns, host.m_processor->waitingTurns());
                host.m_hasRound = false;
                wakeDuty(owner);
                if (host.m_nextRound > m_now && host.m_nextRound < TimePoint::max()) {
                    schedule(host.m_nextRound - m_now, [this, &owner] {
                        wakeDuty(owner);
                    });
                }
            }};
}

auto FleetSimulation::costOf(const FleetCommand &command) const noexcept -> Duration
{
    if (std::holds_alternative<RunStartOrder>(command)) {
        return m_ownerCosts->m_startOrder;
    }
    if (std::holds_alternative<CommitOrder>(command) || std::holds_alternative<ArchiveOrder>(command)) {
        return m_ownerCosts->m_commit;
    }
    return std::holds_alternative<OwnershipResigned>(command) ? Duration::zero() : m_ownerCosts->m_reportOrder;
}

auto FleetSimulation::ownerBusyTime() const -> Duration
{
    const auto host = m_hosts.find(m_owners.back().get());
    return host == m_hosts.end() ? Duration::zero() : host->second.m_processor->busyTime();
}

auto FleetSimulation::ownerRounds() const -> std::size_t
{
    const auto host = m_hosts.find(m_owners.back().get());
    return host == m_hosts.end() ? 0 : host->second.m_rounds;
}

auto FleetSimulation::confirmWhilePreparing(FleetScheduler &owner) -> void
{
    if (owner.isPreparing() && owner.epoch() == m_epoch) {
        m_lastStoredAt = m_now;
        owner.handleAnswer(CommitAnswer{0, m_epoch, m_now, true}, m_now);
        schedule(heartbeatInterval, [this, &owner] {
            confirmWhilePreparing(owner);
        });
    }
}

auto FleetSimulation::chance(double share) -> bool
{
    return share > 0 && m_random.unit() < share;
}

auto FleetSimulation::networkDelay() -> Duration
{
    constexpr std::uint32_t microsecondsPerMs = 1'000;
    const Milliseconds delay(1 + m_random.below(8));
    // An owner with a processor makes a round for each input that it has time for, so its inputs do not arrive in whole milliseconds.
    return m_ownerCosts ? delay + std::chrono::microseconds(m_random.below(microsecondsPerMs)) : Duration(delay);
}

auto FleetSimulation::recordViolation(std::string_view rule, std::string_view task) -> void
{
    recordHistory(task, rule);
    m_violations.push_back(std::string(rule) + ": " + std::string(task) + m_history.find(task)->second);
}

auto FleetSimulation::recordHistory(std::string_view task, std::string_view event) -> void
{
    m_history[std::string(task)].append("\n  ").append(std::to_string((m_now - TimePoint{}) / Milliseconds{1})).append(" ms ").append(event);
}

auto FleetSimulation::submitRandomJob() -> std::string
{
    TaskJob job;
    job.m_id = hexOf(m_random.next64());
    const auto steps = 1 + m_random.below(3);
    for (std::uint32_t i = 0; i < steps; ++i) {
        TaskStep step;
        step.m_count = 1 + m_random.below(6);
        step.m_demand = {500 + 500 * static_cast<std::int64_t>(m_random.below(6)), 1'000, 0};
        step.m_estimate = Milliseconds(200 + m_random.below(1'500));
        step.m_savesProgress = m_random.below(2) == 0;
        step.m_image = "image-" + std::to_string(m_random.below(4));
        step.m_isFilling = m_random.below(3) == 0;
        step.m_isServing = steps == 1 && m_random.below(5) == 0;
        step.m_isServing = step.m_isServing || (steps > 1 && i + 1 == steps && m_jobRandom.below(5) == 0);
        step.m_tailTarget = Milliseconds(step.m_isServing ? 50 : 0);
        step.m_maxPerWorker = m_random.below(4) == 0 ? 2 : 0;
        if (i > 0) {
            step.m_after = {i - 1};
        }
        job.m_steps.push_back(step);
    }
    const auto id = job.m_id;
    if (m_hasCopies) {
        for (auto &step : job.m_steps) {
            step.m_isSpeculative = m_copyRandom.below(2) == 0;
            for (std::uint32_t index = 0; step.m_isSpeculative && index < step.m_count; ++index) {
                if (m_copyRandom.below(4) == 0) {
                    setFirstRunFactor(id, index, 7.0);
                }
            }
        }
    }
    if (m_faults.m_kindChanges > 0) {
        for (auto &step : job.m_steps) {
            step.m_requiredLabel = kindLabels[m_restartRandom.below(kindLabels.size())];
        }
    }
    if (m_jobRandom.below(10) == 0) {
        makeHopeless(id, m_jobRandom.below(steps));
    }
    job.m_repeats = m_jobRandom.below(10) == 0 ? 1 + m_jobRandom.below(4) : 0;
    submit(std::move(job));
    return id;
}

auto FleetSimulation::submit(TaskJob job) -> void
{
    job.m_policy.m_name = "queue";
    job.m_policy.m_stretch = 2.0;
    submitWithPolicy(std::move(job));
}

auto FleetSimulation::submitWithPolicy(TaskJob job) -> void
{
    job.m_policy.m_pool = "pool";
    job.m_policy.m_maxAttempts = maxAttempts;
    job.m_acceptedAt = wallTime();
    m_jobs.push_back(job.m_id);
    m_submittedJobs.emplace(job.m_id, job);
    m_store.emplace(job.m_id, StoredJob{job, std::nullopt, false});
    schedule(networkDelay(), [this, job] {
        auto &owner = *m_owners.back();
        deliver(owner, [this, &owner, job] {
            owner.addJob(TaskJob(job), m_now, wallTime());
        });
    });
}

auto FleetSimulation::cancel(std::string_view id) -> void
{
    m_store.find(id)->second.m_isCancelled = true;
    m_cancelledAt.emplace(id, m_now);
    schedule(networkDelay(), [this, id = std::string(id)] {
        auto &owner = *m_owners.back();
        feed(owner, [&owner, id] {
            owner.cancelJob(id);
        });
    });
}

auto FleetSimulation::takeOver(Milliseconds reading) -> void
{
    if (!m_owners.empty()) {
        // The previous owner detects its replacement later, by a refusal of a worker or of the store.
        schedule(Milliseconds(100 + m_random.below(3'000)), [this, owner = m_owners.back().get()] {
            owner->resign();
            m_archives.at(owner).end();
        });
    }
    recordDisruption(reading);
    m_isOwnerAway = true;
    m_lateCommit.reset();
    auto &owner = *m_owners.emplace_back(std::make_unique<FleetScheduler>(m_limits));
    // The host of the new owner has followed the requests before.
    owner.setClosedZones(ClosedZones(m_closedZones), m_now);
    m_archives.emplace(&owner, FleetLimits{}.m_retention);
    const Epoch epoch = ++m_epoch;
    owner.prepare(epoch, m_now, formerOwner());
    m_lastStoredAt = m_now;
    m_storedSilentWorkers.clear();
    if (reading.count() == 0) {
        beginOwner(owner, epoch, readSubmissions(), readProgress());
        return;
    }
    confirmWhilePreparing(owner);
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        sendListEntry(i);
    }
    // Either list may be read first, while moves of the previous owner still take effect.
    const bool isProgressFirst = m_archiveRandom.below(2) == 0;
    schedule(reading, [this, &owner, epoch, isProgressFirst, jobs = readSubmissions(), progress = readProgress()] {
        if (epoch == m_epoch) {
            beginOwner(owner, epoch, isProgressFirst ? readSubmissions() : jobs, isProgressFirst ? progress : readProgress());
        }
    });
}

auto FleetSimulation::killOwner() -> void
{
    recordDisruption(Milliseconds{0});
    m_isOwnerAway = true;
    m_owners.back()->resign();
    m_archives.at(m_owners.back().get()).end();
}

auto FleetSimulation::formerOwner() const -> FormerOwner
{
    FormerOwner former{m_owners.size() > 1 ? m_lastStoredAt : m_now, {}};
    for (const auto &worker : m_storedSilentWorkers) {
        former.m_silentWorkers.emplace(worker.m_worker, m_lastStoredAt + worker.m_leaseLeft);
    }
    return former;
}

auto FleetSimulation::readSubmissions() const -> std::map<std::string, StoredJob>
{
    std::map<std::string, StoredJob> rows;
    for (const auto &[id, job] : m_store) {
        if (!m_finals.contains(id)) {
            rows.emplace(id, StoredJob{job.m_job, std::nullopt, job.m_isCancelled});
        }
    }
    return rows;
}

auto FleetSimulation::readProgress() const -> std::map<std::string, JobProgress>
{
    std::map<std::string, JobProgress> rows;
    for (const auto &[id, job] : m_store) {
        if (job.m_progress) {
            rows.emplace(id, *job.m_progress);
        }
    }
    return rows;
}

auto FleetSimulation::beginOwner(FleetScheduler &owner,
                                 Epoch epoch,
                                 std::map<std::string, StoredJob> submissions,
                                 const std::map<std::string, JobProgress> &progress) -> void
{
    std::vector<std::string> archived;
    for (const auto &name : m_continuations) {
        if (const std::string id = name.substr(0, name.find(continuationSeparator)); !submissions.contains(id)) {
            archived.push_back(name);
        }
    }
    for (const auto &[id, row] : progress) {
        if (const auto job = submissions.find(id); job != submissions.end()) {
            job->second.m_progress = row;
            job->second.m_continuationRows = static_cast<std::uint32_t>(continuationRowsOf(id));
        } else if (isFinal(row.m_phase)) {
            archived.push_back(id);
        }
    }
    std::vector<StoredJob> jobs;
    jobs.reserve(submissions.size());
    for (auto &[id, job] : submissions) {
        jobs.push_back(std::move(job));
    }
    owner.begin(epoch, std::move(jobs), m_now, wallTime());
    recordDisruption(Milliseconds{0});
    m_isOwnerAway = false;
    owner.markArchived(archived, m_now);
    m_archives.at(&owner).begin(m_now);
    // Jobs that were submitted or cancelled while the lists were read arrive with the feed of changes.
    reloadJobs(owner, Milliseconds(1 + m_archiveRandom.below(8)));
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        deliverListEntry(i);
    }
}

auto FleetSimulation::reloadJobs(FleetScheduler &owner, Milliseconds delay) -> void
{
    schedule(delay, [this, &owner, listed = readSubmissions()] {
        feed(owner, [this, &owner, listed] {
            for (const auto &[id, job] : listed) {
                owner.addJob(TaskJob(job.m_job), m_now, wallTime());
                if (job.m_isCancelled) {
                    owner.cancelJob(id);
                }
            }
        });
    });
}

auto FleetSimulation::runArchive(FleetScheduler &owner) -> void
{
    for (const auto &call : m_archives.at(&owner).advance(m_now)) {
        if (const auto *const write = std::get_if<ArchiveWrite>(&call)) {
            move(owner, *write);
        } else {
            m_archives.at(&owner).handleAnswer(std::get<ArchiveRead>(call).m_number, Result<RowPage>(RowPage{}), m_now);
        }
    }
}

auto FleetSimulation::move(FleetScheduler &owner, const ArchiveWrite &write) -> void
{
    constexpr Milliseconds timeout{1'200};
    const bool isUnanswered = m_faults.m_archiveUnanswered > 0 && m_archiveRandom.unit() < m_faults.m_archiveUnanswered;
    const auto archiveOutcome = isUnanswered ? m_archiveRandom.below(3) : 0;
    const Milliseconds transferTime(1 + m_archiveRandom.below(8));
    if (archiveOutcome != 2) {
        schedule(archiveOutcome == 1 ? Milliseconds(1'000 + m_archiveRandom.below(6'000)) : transferTime, [this, transaction = write.m_transaction] {
            store(transaction);
        });
    }
    CommitResult result;
    result.m_status = isUnanswered ? CommitResult::Status::Unknown : CommitResult::Status::Committed;
    schedule(isUnanswered ? timeout : 2 * transferTime, [this, &owner, number = write.m_number, epoch = owner.epoch(), result] {
        const auto moved = m_archives.at(&owner).handleAnswer(number, result, m_now);
        if (owner.epoch() == epoch) {
            owner.markArchived(moved, m_now);
        }
    });
}

auto FleetSimulation::store(const Transaction &transaction) -> void
{
    for (const auto &put : transaction.m_puts) {
        const std::string id(rowName(put.m_key));
        const auto row = decodeFinalRow(put.m_value);
        const auto &progress = m_store.find(id)->second.m_progress;
        const bool isKnown = m_finals.contains(id) || (progress && progress->m_phase == row.value_or(FinalRow{}).m_phase && progress->m_open.empty());
        if (!row || !isKnown) {
            recordViolation("moved_before_its_end", id);
        }
        m_finals.insert_or_assign(id, row.value_or(FinalRow{}).m_phase);
    }
}

auto FleetSimulation::setZoneClosed(std::string_view zone, bool isClosed) -> void
{
    m_zoneClosings += isClosed ? 1 : 0;
    const ZoneRequest request{std::string(zone), isClosed};
    static_cast<void>(m_closedZones.apply(std::span(&request, 1), {++m_zoneVersion, m_now, m_now}));
    for (const auto &owner : m_owners) {
        sendClosedZones(*owner);
    }
}

auto FleetSimulation::sendClosedZones(FleetScheduler &owner) -> void
{
    const Milliseconds delay(1 + m_zoneRandom.below(8));
    schedule(delay, [this, &owner] {
        feed(owner, [this, &owner] {
            owner.setClosedZones(ClosedZones(m_closedZones), m_now);
        });
    });
}

auto FleetSimulation::zoneOf(std::size_t worker) const -> const std::string &
{
    return m_workers[worker]->m_record.m_zone;
}

auto FleetSimulation::sendListEntry(std::size_t worker) -> void
{
    m_workers[worker]->m_entry = m_workers[worker]->m_record;
    deliverListEntry(worker);
}

auto FleetSimulation::deliverListEntry(std::size_t worker) -> void
{
    schedule(networkDelay(), [this, worker] {
        auto &owner = *m_owners.back();
        feed(owner, [this, &owner, record = m_workers[worker]->m_entry] {
            owner.updateWorkers(std::span(&record, 1), {}, m_now);
        });
    });
}

auto FleetSimulation::stallOwner(Milliseconds length) -> void
{
    if (m_ownerCosts) {
        hostOf(*m_owners.back()).m_processor->add([length] {
            return SimulatedProcessor::Turn{length, [] {}};
        });
    } else {
        m_inboxes[m_owners.back().get()].m_busyUntil = m_now + length;
    }
}

auto FleetSimulation::makeUnreachable(std::size_t worker, Milliseconds length) -> void
{
    recordDisruption(length);
    m_workers[worker]->m_unreachableUntil = std::max(m_workers[worker]->m_unreachableUntil, m_now + length);
}

auto FleetSimulation::crash(std::size_t index) -> void
{
    restart(index, incarnationOf(index) + incarnationStep, Milliseconds(500 + m_random.below(1'000)));
}

auto FleetSimulation::mayChangeKind(const SimulatedWorker &worker) const -> bool
{
    const auto &label = worker.m_record.m_labels.front();
    const auto others = std::ranges::count_if(m_workers, [&label](const auto &other) {
        return other->m_record.m_labels.front() == label;
    });
    return static_cast<std::size_t>(others - 1) * 5 >= m_workers.size() * 2;
}

auto FleetSimulation::restart(std::size_t index, std::uint64_t incarnation, Milliseconds entryDelay) -> void
{
    recordDisruption(entryDelay);
    auto &worker = *m_workers[index];
    auto record = worker.m_record;
    const auto entry = worker.m_entry;
    record.m_incarnation = incarnation;
    if (m_faults.m_kindChanges > 0 && m_restartRandom.unit() < m_faults.m_kindChanges && mayChangeKind(worker)) {
        changeKind(record);
    }
    const double speed = worker.m_clockRate;
    worker = SimulatedWorker{};
    worker.m_record = record;
    worker.m_entry = entry;
    worker.m_clockRate = speed;
    worker.m_startedAt = m_now;
    schedule(entryDelay, [this, index] {
        sendListEntry(index);
    });
}

auto FleetSimulation::fail(const std::string &task) -> void
{
    for (auto &worker : m_workers) {
        if (worker->m_runs.contains(task)) {
            endRun(*worker, task, RunEnd::Failed);
        }
    }
}

auto FleetSimulation::incarnationOf(std::size_t worker) const -> std::uint64_t
{
    return m_workers[worker]->m_record.m_incarnation;
}

auto FleetSimulation::sendForeignEntry(std::size_t worker) -> void
{
    recordDisruption(heartbeatInterval);
    auto record = m_workers[worker]->m_record;
    record.m_incarnation += m_restartRandom.below(2) == 0 ? incarnationStep / 2 : 0;
    record.m_endpoint = m_workers[(worker + 1) % m_workers.size()]->m_record.m_endpoint;
    schedule(networkDelay(), [this, record] {
        auto &owner = *m_owners.back();
        feed(owner, [this, &owner, record] {
            owner.updateWorkers(std::span(&record, 1), {}, m_now);
        });
    });
    // The worker writes its own entry again with its next heartbeat.
    schedule(heartbeatInterval, [this, worker] {
        sendListEntry(worker);
    });
}

auto FleetSimulation::restartUnseen(std::size_t worker) -> void
{
    const Milliseconds cut(200 + m_restartRandom.below(1'800));
    const Milliseconds restartDelay(m_restartRandom.below(static_cast<std::uint32_t>(cut.count())));
    makeUnreachable(worker, cut);
    schedule(restartDelay, [this, worker, rest = cut - restartDelay] {
        const bool hasClockJumped = m_restartRandom.below(4) == 0;
        const auto former = incarnationOf(worker);
        restart(worker, hasClockJumped ? former - 1 : former + incarnationStep, rest);
        makeUnreachable(worker, rest);
    });
}

auto FleetSimulation::injectFaults() -> void
{
    const double share = std::chrono::duration<double>(faultInterval).count();
    if (chance(m_faults.m_crashesPerSecond * share)) {
        crash(m_random.below(static_cast<std::uint32_t>(m_workers.size())));
    }
    if (chance(m_faults.m_outagesPerSecond * share)) {
        makeUnreachable(m_random.below(static_cast<std::uint32_t>(m_workers.size())), Milliseconds(500 + m_random.below(20'000)));
    }
    if (chance(m_faults.m_takeoversPerSecond * share)) {
        takeOver(Milliseconds(1 + m_archiveRandom.below(300)));
    }
    if (m_faults.m_hiddenRestartsPerSecond > 0 && m_restartRandom.unit() < m_faults.m_hiddenRestartsPerSecond * share) {
        restartUnseen(m_restartRandom.below(static_cast<std::uint32_t>(m_workers.size())));
    }
    if (m_faults.m_foreignEntriesPerSecond > 0 && m_restartRandom.unit() < m_faults.m_foreignEntriesPerSecond * share) {
        sendForeignEntry(m_restartRandom.below(static_cast<std::uint32_t>(m_workers.size())));
    }
    if (m_faults.m_evacuationsPerSecond > 0 && m_zoneRandom.unit() < m_faults.m_evacuationsPerSecond * share) {
        const auto zone = zoneOf(m_zoneRandom.below(static_cast<std::uint32_t>(m_workers.size())));
        if (!m_closedZones.isClosed(zone)) {
            setZoneClosed(zone, true);
            schedule(Milliseconds(500 + m_zoneRandom.below(7'500)), [this, zone] {
                setZoneClosed(zone, false);
            });
        }
    }
    if (m_faults.m_reloadsPerSecond > 0 && m_archiveRandom.unit() < m_faults.m_reloadsPerSecond * share) {
        reloadJobs(*m_owners.back(), Milliseconds(1 + m_archiveRandom.below(3'000)));
    }
    schedule(faultInterval, [this] {
        injectFaults();
    });
}

auto FleetSimulation::run(Milliseconds length) -> void
{
    const TimePoint end = m_now + length;
    while (m_now < end) {
        const TimePoint next = m_now + tick;
        // The turns of a processor are much shorter than a tick, so with one each event has its own time.
        m_now = m_ownerCosts ? m_now : next;
        while (!m_events.empty() && m_events.top().m_at <= next) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, event.m_at);
            event.m_call();
        }
        m_now = next;
        for (auto &worker : m_workers) {
            endDueRuns(*worker);
        }
        for (const auto &owner : m_owners) {
            advanceOwner(*owner);
        }
    }
}

auto FleetSimulation::advanceOwner(FleetScheduler &owner) -> void
{
    if (m_ownerCosts) {
        wakeDuty(owner);
        runArchive(owner);
        return;
    }
    auto &inbox = m_inboxes[&owner];
    if (m_now < inbox.m_busyUntil) {
        return;
    }
    const auto count = std::min(inbox.m_waiting.size(), inputsPerRound);
    const std::vector<std::function<void()>> inputs(inbox.m_waiting.begin(), inbox.m_waiting.begin() + static_cast<std::ptrdiff_t>(count));
    inbox.m_waiting.erase(inbox.m_waiting.begin(), inbox.m_waiting.begin() + static_cast<std::ptrdiff_t>(count));
    for (const auto &input : inputs) {
        input();
    }
    static_cast<void>(owner.advance(m_now, wallTime()));
    const auto commands = owner.takeCommands();
    m_mostWaiting = std::max(m_mostWaiting, commands.size());
    const auto roundTime = m_inputCost * static_cast<std::int64_t>(inputs.size());
    if (roundTime.count() == 0) {
        for (const auto &command : commands) {
            send(owner, command);
        }
    } else {
        // The commands leave at the end of the round, but were decided with the time of its beginning.
        inbox.m_busyUntil = m_now + roundTime;
        schedule(std::chrono::ceil<Milliseconds>(roundTime), [this, &owner, commands] {
            for (const auto &command : commands) {
                send(owner, command);
            }
        });
    }
    runArchive(owner);
}

auto FleetSimulation::send(FleetScheduler &owner, const FleetCommand &command) -> void
{
    if (const auto *const order = std::get_if<CommitOrder>(&command)) {
        commit(owner, *order);
        return;
    }
    if (const auto *const order = std::get_if<ArchiveOrder>(&command)) {
        m_archives.at(&owner).add(order->m_jobs, m_now, wallTime());
        return;
    }
    std::visit(
        [&](const auto &order) {
            using Order = std::remove_cvref_t<decltype(order)>;
            if constexpr (!std::is_same_v<Order, CommitOrder> && !std::is_same_v<Order, ArchiveOrder> && !std::is_same_v<Order, OwnershipResigned>) {
                auto &worker = *m_workers[order.m_address.m_endpoint.m_port - 1U];
                const bool isLost = chance(m_faults.m_orderLost) || m_now < worker.m_unreachableUntil;
                const bool isLate = !isLost && chance(m_faults.m_orderLate);
                bool isUnanswered = isLost || isLate || chance(m_faults.m_answerLost);
                if constexpr (std::is_same_v<Order, RunStartOrder>) {
                    isUnanswered = isUnanswered || (m_losesAnswersOfCopies && order.m_run > 1);
                }
                const Duration delay = isLate ? Duration(Milliseconds(1'000 + m_random.below(6'000))) : networkDelay();
                const TimePoint sentAt = m_now;
                if (isUnanswered) {
                    recordDisruption(isLate ? std::chrono::ceil<Milliseconds>(delay) : Milliseconds{0});
                }
                // Every order ends, with an answer or at its timeout.
                const auto expire = [this, &owner, order, sentAt] {
                    deliver(owner, [this, &owner, order, sentAt] {
                        if constexpr (std::is_same_v<Order, ReportOrder>) {
                            owner.handleAnswer(ReportAnswer{order.m_address, OrderOutcome::NoAnswer, {}, sentAt, m_now}, m_now);
                        } else if constexpr (std::is_same_v<Order, RunStartOrder>) {
                            owner.handleAnswer(StartAnswer{order.m_address, order.m_task, order.m_run, OrderOutcome::NoAnswer, {}, m_now}, m_now);
                        } else if constexpr (std::is_same_v<Order, RunStopOrder>) {
                            owner.handleAnswer(StopAnswer{order.m_address, order.m_task, order.m_run, OrderOutcome::NoAnswer}, m_now);
                        } else {
                            owner.handleAnswer(PaceAnswer{order.m_address, order.m_task, order.m_run, order.m_percent, OrderOutcome::NoAnswer}, m_now);
                        }
                    });
                };
                if (isUnanswered) {
                    schedule(orderTimeout, expire);
                }
                if (isLost) {
                    return;
                }
                schedule(delay, [this, &owner, &worker, order, sentAt, isUnanswered, isLate, expire] {
                    endDueRuns(worker);
                    m_isOrderLate = isLate;
                    auto answer = execute(worker, order);
                    if (isUnanswered) {
                        return;
                    }
                    if (m_now < worker.m_unreachableUntil) {
                        schedule(orderTimeout, expire);
                        return;
                    }
                    if constexpr (std::is_same_v<Order, ReportOrder>) {
                        if (m_ownerCosts) {
                            // The first one is held for a part of the time, so that the workers do not report in step.
                            const double share = std::exchange(worker.m_hasHeldReport, true) ? 1.0 : m_random.unit();
                            answerReport(owner, worker, order, sentAt, m_now + std::chrono::duration_cast<Duration>(order.m_wait * share));
                            return;
                        }
                    }
                    schedule(networkDelay(), [this, &owner, answer = std::move(answer), sentAt]() mutable {
                        std::visit(
                            [&](auto &content) {
                                if constexpr (std::is_same_v<std::remove_cvref_t<decltype(content)>, ReportAnswer>) {
                                    content.m_sentAt = sentAt;
                                    content.m_receivedAt = m_now;
                                } else if constexpr (std::is_same_v<std::remove_cvref_t<decltype(content)>, StartAnswer>) {
                                    content.m_receivedAt = m_now;
                                }
                                deliver(owner, [this, &owner, content] {
                                    owner.handleAnswer(content, m_now);
                                });
                            },
                            answer);
                    });
                });
            }
        },
        command);
}

auto FleetSimulation::answerReport(FleetScheduler &owner, SimulatedWorker &worker, const ReportOrder &order, TimePoint sentAt, TimePoint latest) -> void
{
    endDueRuns(worker);
    if (worker.m_ended.empty() && m_now < latest) {
        schedule(std::min<Duration>(tick, latest - m_now), [this, &owner, &worker, order, sentAt, latest] {
            answerReport(owner, worker, order, sentAt, latest);
        });
        return;
    }
    auto answer = std::get<ReportAnswer>(execute(worker, order));
    answer.m_sentAt = sentAt;
    schedule(networkDelay(), [this, &owner, answer = std::move(answer)]() mutable {
        answer.m_receivedAt = m_now;
        deliver(owner, [this, &owner, answer] {
            owner.handleAnswer(answer, m_now);
        });
    });
}

auto FleetSimulation::commit(FleetScheduler &owner, const CommitOrder &order) -> void
{
    schedule(networkDelay() + m_commitDelay, [this, &owner, order, sentAt = m_now] {
        // A delayed commit takes effect before the next one or not at all.
        if (m_lateCommit) {
            const auto late = *std::exchange(m_lateCommit, std::nullopt);
            if (late.m_epoch == m_epoch && chance(0.5)) {
                store(late);
            }
        }
        bool isStored = order.m_epoch == m_epoch && !m_isStoreDown && !chance(m_faults.m_commitFails) && isAcceptable(order);
        if (isStored && chance(m_faults.m_commitLate)) {
            m_lateCommit = order;
            isStored = false;
        }
        if (isStored) {
            store(order);
        } else if (order.m_epoch == m_epoch) {
            recordDisruption(Milliseconds{0});
        }
        if (order.m_epoch == m_epoch) {
            schedule(networkDelay(), [this, &owner, answer = CommitAnswer{order.m_number, order.m_epoch, sentAt, isStored}] {
                deliver(owner, [this, &owner, answer] {
                    owner.handleAnswer(answer, m_now);
                });
            });
        }
    });
}

auto FleetSimulation::isAcceptable(const CommitOrder &order) -> bool
{
    constexpr std::size_t ownerRowAndCondition = 2;
    constexpr std::size_t maxEntries = 100;
    constexpr std::size_t maxRowBytes = 65'536;
    constexpr std::size_t maxBytes = 1'000'000;
    std::size_t bytes = 0;
    for (const auto &put : order.m_puts) {
        // The store takes values as base64.
        bytes += put.m_key.size() + 4 * put.m_value.size() / 3;
        if (put.m_value.size() > maxRowBytes) {
            return false;
        }
    }
    return bytes <= maxBytes && order.m_puts.size() + order.m_deletes.size() + ownerRowAndCondition <= maxEntries;
}

auto FleetSimulation::store(const CommitOrder &order) -> void
{
    m_lastStoredAt = m_now;
    m_storedSilentWorkers = order.m_silentWorkers;
    ProgressAssembly assembly;
    for (const auto &put : order.m_puts) {
        if (put.m_key != modelKey && !assembly.add(rowName(put.m_key), put.m_value)) {
            recordViolation("row", put.m_value);
        }
    }
    assembly.join();
    for (const auto &id : assembly.corruptJobs()) {
        recordViolation("row", id);
    }
    const auto continuations = assembly.continuationNames();
    m_continuations.insert(continuations.begin(), continuations.end());
    for (auto &[id, progress] : assembly.progress()) {
        storeProgress(order, id, std::move(progress));
    }
    for (const auto &key : order.m_deletes) {
        const std::string name(rowName(key));
        const auto id = name.substr(0, name.find(continuationSeparator));
        if (!m_finals.contains(id)) {
            recordViolation("progress_deleted_before_the_move", id);
        }
        if (m_continuations.erase(name) == 0) {
            m_store.find(id)->second.m_progress.reset();
        }
    }
}

auto FleetSimulation::storeProgress(const CommitOrder &order, std::string_view id, JobProgress &&progress) -> void
{
    const auto job = m_store.find(id);
    if (job == m_store.end()) {
        return;
    }
    if (progress.m_phase == JobPhase::Completed) {
        const auto &submitted = m_submittedJobs.at(job->first);
        for (std::uint32_t occurrence = 0; occurrence < std::max(1U, submitted.m_repeats); ++occurrence) {
            for (std::uint32_t step = 0; step < submitted.m_steps.size(); ++step) {
                for (std::uint32_t index = 0; index < submitted.m_steps[step].m_count; ++index) {
                    const auto task = TaskId{submitted.m_id, occurrence, step, index}.text();
                    if (!m_done.contains(task)) {
                        recordViolation("completed_without_end", task);
                    }
                }
            }
        }
    }
    for (const auto &occurrence : progress.m_open) {
        for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
            for (std::uint32_t index = 0; index < occurrence.m_steps[step].m_tasks.size(); ++index) {
                const auto &task = occurrence.m_steps[step].m_tasks[index];
                recordHistory(TaskId{job->first, occurrence.m_number, step, index}.text(),
                              "stored: phase " + std::to_string(static_cast<int>(task.m_phase)) + ", run " + std::to_string(task.m_run) + ", worker "
                                  + task.m_worker + ", by epoch " + std::to_string(order.m_epoch) + ", commit " + std::to_string(order.m_number));
            }
        }
    }
    if (m_finals.contains(job->first)) {
        recordViolation("progress_after_the_move", job->first);
    }
    if (isFinal(progress.m_phase)) {
        m_finalAt.try_emplace(job->first, m_now);
    }
    job->second.m_progress = std::move(progress);
}

auto FleetSimulation::clockOf(const SimulatedWorker &worker) const -> Milliseconds
{
    const auto age = std::chrono::duration<double, std::milli>(m_now - worker.m_startedAt) * worker.m_clockRate;
    return std::chrono::duration_cast<Milliseconds>(age);
}

auto FleetSimulation::endDueRuns(SimulatedWorker &worker) -> void
{
    std::vector<std::pair<std::string, RunEnd>> ends;
    const bool isLapsed = clockOf(worker) >= worker.m_leaseUntil;
    if (isLapsed) {
        worker.m_lastLapsedEnd = worker.m_sequence;
    }
    for (const auto &[task, run] : worker.m_runs) {
        if (isLapsed) {
            ends.emplace_back(task, RunEnd::LeaseLapsed);
        } else if (run.m_endsAt <= m_now) {
            ends.emplace_back(task, run.m_how);
        }
    }
    for (const auto &[task, how] : ends) {
        endRun(worker, task, how);
    }
}

auto FleetSimulation::endRun(SimulatedWorker &worker, const std::string &task, RunEnd how) -> void
{
    const auto run = worker.m_runs.at(task);
    worker.m_runs.erase(task);
    auto &tombstone = worker.m_tombstones[task];
    tombstone = std::max(tombstone, run.m_run);
    recordHistory(task, "run " + std::to_string(run.m_run) + " ends on " + worker.m_record.m_id + ", how " + std::to_string(static_cast<int>(how)));
    m_lapsedRuns += how == RunEnd::LeaseLapsed ? 1 : 0;
    worker.m_ended.push_back({++worker.m_sequence, run.m_task, run.m_run, how, how == RunEnd::Done ? std::string() : checkpointOf(run)});
    if (how == RunEnd::Done) {
        m_done.insert(task);
    }
}

auto FleetSimulation::execute(SimulatedWorker &worker, const ReportOrder &order) -> WorkerAnswer
{
    ReportAnswer answer{order.m_address, OrderOutcome::Accepted, {}, {}, {}};
    if (order.m_address.m_worker != worker.m_record.m_id) {
        answer.m_outcome = OrderOutcome::OtherIncarnation;
        return answer;
    }
    if (order.m_address.m_epoch < worker.m_fencingEpoch) {
        answer.m_outcome = OrderOutcome::Fenced;
        return answer;
    }
    const bool isAddressed = m_faults.m_ordersReachAnyIncarnation || order.m_address.m_incarnation == worker.m_record.m_incarnation;
    worker.m_fencingEpoch = order.m_address.m_epoch;
    if (!isAddressed && (order.m_ackedEnd > 0 || order.m_leaseUntil)) {
        // Sent only on a connection on which the addressed incarnation has reported.
        answer.m_outcome = OrderOutcome::OtherIncarnation;
        return answer;
    }
    if (isAddressed) {
        while (!worker.m_ended.empty() && worker.m_ended.front().m_sequence <= order.m_ackedEnd) {
            const auto &end = worker.m_ended.front();
            recordHistory(end.m_task.text(), "end of run " + std::to_string(end.m_run) + " acknowledged by epoch " + std::to_string(order.m_address.m_epoch));
            const bool counts = end.m_sequence > worker.m_lastLapsedEnd;
            if (counts && end.m_cause == RunEnd::Done) {
                m_acknowledgedDone.insert(end.m_task.text());
                m_acknowledgedDoneAt.try_emplace(end.m_task.text(), m_now);
            } else if (counts && end.m_cause == RunEnd::Failed) {
                ++m_acknowledgedFailures[end.m_task.text()];
            }
            worker.m_ended.pop_front();
        }
        if (order.m_leaseUntil) {
            worker.m_leaseUntil = std::max(worker.m_leaseUntil, *order.m_leaseUntil);
        }
    }
    answer.m_report.m_incarnation = worker.m_record.m_incarnation;
    answer.m_report.m_clock = clockOf(worker);
    for (const auto &[task, run] : worker.m_runs) {
        answer.m_report.m_running.push_back(
            {run.m_task, run.m_run, checkpointOf(run), percentOf(run), m_interference ? m_interference->reportedLoad(run) : constantLoad});
    }
    answer.m_report.m_ended.assign(worker.m_ended.begin(), worker.m_ended.end());
    for (const auto &end : worker.m_ended) {
        if (m_requiresReportedEnds && end.m_cause == RunEnd::Done) {
            m_reportedDone.try_emplace(end.m_task.text(), m_now);
        }
    }
    return answer;
}

auto FleetSimulation::execute(SimulatedWorker &worker, const RunStartOrder &order) -> WorkerAnswer
{
    StartAnswer answer{order.m_address, order.m_task, order.m_run, OrderOutcome::Accepted, clockOf(worker), {}};
    const bool isAddressed = m_faults.m_ordersReachAnyIncarnation || order.m_address.m_incarnation == worker.m_record.m_incarnation;
    if (order.m_address.m_worker != worker.m_record.m_id || !isAddressed) {
        answer.m_outcome = OrderOutcome::OtherIncarnation;
        return answer;
    }
    if (order.m_address.m_epoch < worker.m_fencingEpoch) {
        answer.m_outcome = OrderOutcome::Fenced;
        return answer;
    }
    worker.m_fencingEpoch = order.m_address.m_epoch;
    const auto name = order.m_task.text();
    const auto running = worker.m_runs.find(name);
    if (running != worker.m_runs.end() && running->second.m_run == order.m_run) {
        return answer;
    }
    const auto tombstone = worker.m_tombstones.find(name);
    if (tombstone != worker.m_tombstones.end() && order.m_run <= tombstone->second) {
        answer.m_outcome = OrderOutcome::Superseded;
        return answer;
    }
    if (clockOf(worker) >= order.m_leaseUntil) {
        answer.m_outcome = OrderOutcome::Expired;
        return answer;
    }
    worker.m_leaseUntil = std::max(worker.m_leaseUntil, order.m_leaseUntil);
    recordHistory(name, "run " + std::to_string(order.m_run) + " starts on " + worker.m_record.m_id + ", epoch " + std::to_string(order.m_address.m_epoch));
    checkStart(worker, order);
    const auto &step = m_submittedJobs.at(order.m_task.m_job).m_steps[order.m_task.m_step];
    SimulatedRun run;
    run.m_task = order.m_task;
    run.m_run = order.m_run;
    run.m_beganAt = m_now;
    const auto straggler = m_firstRunFactors.find({run.m_task.m_job, run.m_task.m_index});
    const double runFactor = straggler != m_firstRunFactors.end() && run.m_run == 1 && step.m_isSpeculative ? straggler->second : 1.0;
    const auto length = std::chrono::duration_cast<Milliseconds>(step.m_estimate * durationFactorOf(run.m_task) * runFactor);
    run.m_endsAt = m_now + (step.m_isServing ? Milliseconds(3'600'000) : length);
    run.m_step = &step;
    run.m_length = length;
    if (m_interference && step.m_isFilling) {
        run.m_endsAt = TimePoint::max();
    }
    run.m_how = chance(m_failureShare) ? RunEnd::Failed : RunEnd::Done;
    if (m_hopelessSteps.contains({order.m_task.m_job, order.m_task.m_step})) {
        run.m_how = RunEnd::Failed;
        run.m_endsAt = m_now + timeToFail;
    }
    run.m_reserved = step.m_demand;
    run.m_reserved.m_cpuMillis = step.m_isFilling ? 0 : run.m_reserved.m_cpuMillis;
    worker.m_runs[name] = run;
    Resources used;
    for (const auto &[task, other] : worker.m_runs) {
        used += other.m_reserved;
    }
    if (!used.fitsInto(worker.m_record.m_capacity)) {
        recordViolation("capacity", worker.m_record.m_id);
    }
    m_starts.push_back({m_now, order.m_task});
    return answer;
}

auto FleetSimulation::checkStart(const SimulatedWorker &worker, const RunStartOrder &order) -> void
{
    const auto name = order.m_task.text();
    const bool isSpeculative = m_submittedJobs.at(order.m_task.m_job).m_steps[order.m_task.m_step].m_isSpeculative;
    for (const auto &other : m_workers) {
        endDueRuns(*other);
        const auto running = other->m_runs.find(name);
        // The end of a run is known late, so a copy may be stopped while a further run begins; two live runs of equal numbers are never allowed.
        const bool isAllowed = isSpeculative && other.get() != &worker;
        if (running != other->m_runs.end() && (!isAllowed || running->second.m_run == order.m_run)) {
            recordHistory(name, "runs on " + other->m_record.m_id);
            recordViolation("runs_twice", name);
        }
    }
    const auto &label = m_submittedJobs.at(order.m_task.m_job).m_steps[order.m_task.m_step].m_requiredLabel;
    if (!label.empty() && std::ranges::find(worker.m_record.m_labels, label) == worker.m_record.m_labels.end()) {
        recordHistory(name, "requires " + label + ", " + worker.m_record.m_id + " is a " + worker.m_record.m_labels.front());
        recordViolation("label", name);
    }
    const auto closed = m_closedZones.zones().find(worker.m_record.m_zone);
    if (closed != m_closedZones.zones().end() && m_now - closed->second > longestEvacuation && !m_isOrderLate) {
        recordHistory(name, closed->first + " is closed for " + std::to_string((m_now - closed->second) / Milliseconds{1}) + " ms");
        recordViolation("closed_zone", name);
    }
    if (m_finals.contains(order.m_task.m_job)) {
        recordViolation("started_after_the_move", name);
    }
    // A step that allows copies may be started for a second after an end was acknowledged (platform's rule TWICE).
    constexpr Milliseconds copyGrace{1'000};
    const auto acknowledged = m_acknowledgedDoneAt.find(name);
    const bool isGraceOver = !isSpeculative || (acknowledged != m_acknowledgedDoneAt.end() && m_now - acknowledged->second > copyGrace);
    if (m_acknowledgedDone.contains(name) && isGraceOver) {
        recordViolation("started_after_done", name);
    }
    if (const auto reported = m_reportedDone.find(name); !isSpeculative && reported != m_reportedDone.end() && m_now - reported->second > reportedEndDelay) {
        recordViolation("started_after_reported_done", name);
    }
    const auto failures = m_acknowledgedFailures.find(name);
    const auto &job = m_submittedJobs.at(order.m_task.m_job);
    const auto &step = job.m_steps[order.m_task.m_step];
    if (!step.m_isServing && failures != m_acknowledgedFailures.end() && failures->second >= maxAttempts) {
        recordViolation("attempts", name);
    }
    for (const auto earlier : step.m_after) {
        for (std::uint32_t index = 0; index < job.m_steps[earlier].m_count; ++index) {
            if (!m_done.contains(TaskId{job.m_id, order.m_task.m_occurrence, earlier, index}.text())) {
                recordViolation("order", name);
            }
        }
    }
    if (step.m_maxPerWorker != 0) {
        const auto together = std::ranges::count_if(worker.m_runs, [&order](const auto &entry) {
            const TaskId &other = entry.second.m_task;
            return other.m_job == order.m_task.m_job && other.m_occurrence == order.m_task.m_occurrence && other.m_step == order.m_task.m_step;
        });
        if (together >= step.m_maxPerWorker) {
            recordViolation("per_worker", name);
        }
    }
}

auto FleetSimulation::execute(SimulatedWorker &worker, const RunStopOrder &order) -> WorkerAnswer
{
    StopAnswer answer{order.m_address, order.m_task, order.m_run, OrderOutcome::Accepted};
    if (order.m_address.m_incarnation != worker.m_record.m_incarnation) {
        answer.m_outcome = OrderOutcome::OtherIncarnation;
    } else if (order.m_address.m_epoch < worker.m_fencingEpoch) {
        answer.m_outcome = OrderOutcome::Fenced;
    } else {
        worker.m_fencingEpoch = order.m_address.m_epoch;
        const auto name = order.m_task.text();
        auto &tombstone = worker.m_tombstones[name];
        tombstone = std::max(tombstone, order.m_run);
        const auto run = worker.m_runs.find(name);
        if (run != worker.m_runs.end() && run->second.m_run == order.m_run) {
            run->second.m_endsAt = std::min(run->second.m_endsAt, m_now + stopGrace);
            run->second.m_how = RunEnd::Stopped;
        }
    }
    return answer;
}

auto FleetSimulation::execute(SimulatedWorker &worker, const RunPaceOrder &order) -> WorkerAnswer
{
    PaceAnswer answer{order.m_address, order.m_task, order.m_run, order.m_percent, OrderOutcome::Accepted};
    if (!m_interference) {
        return answer;
    }
    const auto name = order.m_task.text();
    const auto isOrdered = [run = order.m_run](const auto &entry) {
        return entry.second.m_run == run;
    };
    const auto run = worker.m_runs.find(name);
    if (order.m_address.m_incarnation != worker.m_record.m_incarnation) {
        answer.m_outcome = OrderOutcome::OtherIncarnation;
    } else if (order.m_address.m_epoch < worker.m_fencingEpoch) {
        answer.m_outcome = OrderOutcome::Fenced;
    } else if (worker.m_fencingEpoch = order.m_address.m_epoch; run == worker.m_runs.end() || !isOrdered(*run)) {
        answer.m_outcome = OrderOutcome::Superseded;
    } else if (!m_faults.m_pacesHaveNoEffect) {
        schedule(paceDelay, [&worker, name, isOrdered, percent = order.m_percent] {
            const auto paced = worker.m_runs.find(name);
            if (paced != worker.m_runs.end() && isOrdered(*paced)) {
                paced->second.m_pace = percent;
            }
        });
    }
    return answer;
}

auto FleetSimulation::phaseOf(std::string_view id) const -> JobPhase
{
    if (const auto final = m_finals.find(id); final != m_finals.end()) {
        return final->second;
    }
    const auto job = m_store.find(id);
    return job == m_store.end() || !job->second.m_progress ? JobPhase::Queued : job->second.m_progress->m_phase;
}

auto FleetSimulation::finalSince(std::string_view id) const -> std::optional<TimePoint>
{
    const auto final = m_finalAt.find(id);
    return final == m_finalAt.end() ? std::nullopt : std::optional(final->second);
}

auto FleetSimulation::continuationRowsOf(std::string_view id) const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(m_continuations, [id](std::string_view name) {
        return name.starts_with(id);
    }));
}

auto FleetSimulation::isArchived(std::string_view id) const -> bool
{
    return m_finals.contains(id) && !m_store.find(id)->second.m_progress && continuationRowsOf(id) == 0;
}

auto FleetSimulation::workersOf(std::string_view job) const -> std::set<std::string>
{
    std::set<std::string> names;
    for (const auto &worker : m_workers) {
        const bool runsIt = std::ranges::any_of(worker->m_runs, [job](const auto &entry) {
            return entry.second.m_task.m_job == job;
        });
        if (runsIt) {
            names.insert(worker->m_record.m_id);
        }
    }
    return names;
}

auto FleetSimulation::startsOf(std::string_view job) const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(m_starts, [job](const Start &start) {
        return start.m_task.m_job == job;
    }));
}

auto FleetSimulation::doneTasksOf(std::string_view prefix) const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(m_done, [prefix](std::string_view task) {
        return task.starts_with(prefix);
    }));
}

auto FleetSimulation::firstStartAfter(TimePoint time) const -> std::optional<TimePoint>
{
    const auto start = std::ranges::find_if(m_starts, [time](const Start &candidate) {
        return candidate.m_at > time;
    });
    return start == m_starts.end() ? std::nullopt : std::optional(start->m_at);
}

auto FleetSimulation::setCapacity(std::size_t worker, const Resources &capacity) -> void
{
    m_workers[worker]->m_record.m_capacity = capacity;
    sendListEntry(worker);
}

auto FleetSimulation::startTimesOf(std::string_view job) const -> std::vector<TimePoint>
{
    std::vector<TimePoint> times;
    for (const auto &start : m_starts) {
        if (start.m_task.m_job == job) {
            times.push_back(start.m_at);
        }
    }
    return times;
}

auto FleetSimulation::cpuUse() const -> double
{
    const auto use = poolUse();
    return static_cast<double>(use.m_used.m_cpuMillis) / static_cast<double>(use.m_capacity.m_cpuMillis);
}
}
