#include "burdockspur/fleet/fleetscheduler.hpp"
#include "burdockspur/fleet/stragglers/undisturbedduration.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <limits>
#include <set>
#include <unordered_set>

namespace Burdockspur
{
namespace
{
/// Largest number of ends in a report (platform's bound); a report with that many may omit further ends.
constexpr std::size_t maxEndsPerReport = 500;

/// Number of unanswered start orders after which a run is stopped instead of ordered again.
constexpr std::uint32_t maxUnanswered = 2;

/// While the effects of ends are not stored, reports are still requested at this interval, so that the lease is renewed in time even if
/// the store is slow.
constexpr Milliseconds renewalInterval{1'500};

/// A run counts as slow below this share of the speed that its declared duration implies. The share is small because declared
/// durations are far too short at times.
constexpr double slowSpeed = 0.08;
/// A run is observed for this many seconds, and for this share of its declared duration, before it can count as slow.
constexpr double minObservationSeconds = 1.2;
constexpr double minObservationShare = 0.8;
constexpr double minEstimateSeconds = 0.2; ///< shorter declared durations are raised to this value
/// Time to stop a run, store that, and start the task on another worker.
constexpr double moveCostSeconds = 0.5;
/// A filling task that uses less than this share of its declared processors counts as starved.
constexpr double starvedShare = 0.6;
/// Largest number of a run that may still be moved; a task that is slow on every worker would be moved for ever.
constexpr RunNumber maxMoves = 3;
/// The worker counts as slow when runs of at least this many jobs are slow on it.
constexpr std::size_t minSlowJobs = 2;

/// Incarnation of a worker that was found to be another one than the addressed, until its next report tells it.
constexpr std::uint64_t unknownIncarnation = 0;

/// Smaller changes of a pace are not sent, unless the new pace is 0 or fullPacePercent.
constexpr int minPaceChangePercent = 10;

[[nodiscard]] auto faultKindOf(const TaskStep &step) noexcept -> FailureAttribution::Kind
{
    return step.m_isServing ? FailureAttribution::Kind::Serving : FailureAttribution::Kind::Finite;
}

constexpr std::array<std::string_view, 6> endNames{"done", "failed", "stopped", "lease_lapsed", "gang_broken", "gang_incomplete"};
}

auto FleetScheduler::findWorker(std::string_view id) noexcept -> FleetWorker *
{
    const auto entry = m_workers.find(id);
    return entry == m_workers.end() ? nullptr : &entry->second;
}

auto FleetScheduler::findAddressedWorker(const WorkerAddress &address) noexcept -> FleetWorker *
{
    if (!isOwner() || address.m_epoch != m_epoch) {
        return nullptr;
    }
    auto *const worker = findWorker(address.m_worker);
    return worker != nullptr && worker->m_incarnation == address.m_incarnation ? worker : nullptr;
}

auto FleetScheduler::addressOf(const FleetWorker &worker) const -> WorkerAddress
{
    return {worker.m_record.m_id, worker.endpoint(), worker.m_incarnation, m_epoch};
}

auto FleetScheduler::updateWorkers(std::span<const WorkerRecord> changed, std::span<const std::string> removed, TimePoint now) -> void
{
    if (!isOwner()) {
        return;
    }
    for (const auto &record : changed) {
        auto *worker = findWorker(record.m_id);
        if (worker == nullptr) {
            worker = &m_workers.try_emplace(record.m_id, record, m_limits, inheritedLeaseEndOf(record.m_id)).first->second;
            logEvent(LogLevel::Info, "worker_added", {{"worker", record.m_id}, {"incarnation", record.m_incarnation}, {"workers", m_workers.size()}});
        }
        // Only the worker's own answers tell that an incarnation has ended: an entry may be late, may be of another writer, and wall clocks
        // jump, so that a later incarnation may even have a lower number.
        worker->applyEntry(record, now);
    }
    for (const auto &id : removed) {
        if (auto *const worker = findWorker(id); worker != nullptr) {
            worker->m_isListed = false;
            worker->m_laterEntry.reset();
            logEvent(LogLevel::Info, "worker_unlisted", {{"worker", id}, {"runs", worker->m_runs.size()}});
        }
    }
    m_needsPlacement = true;
}

auto FleetScheduler::setClosedZones(ClosedZones &&zones, TimePoint now) -> void
{
    const Epoch decidingEpoch = m_isPreparing ? 0 : m_epoch;
    m_needsPlacement = m_evacuation.update(std::move(zones), {m_workers, m_waitingCount, decidingEpoch}, now) || m_needsPlacement;
}

auto FleetScheduler::resignAfterFencing(const FleetWorker &worker) -> void
{
    logEvent(LogLevel::Warning, "ownership_fenced", {{"worker", worker.m_record.m_id}, {"epoch", m_epoch}});
    const auto epoch = m_epoch;
    resign();
    // Without this command, the store duty would count this host as the owner until its next commit, which is never sent.
    m_commands.emplace_back(OwnershipResigned{epoch});
}

auto FleetScheduler::replaceIncarnation(FleetWorker &worker, std::uint64_t incarnation, std::string_view reason) -> void
{
    markRunsLost(worker, reason);
    // After a takeover, the other incarnation may hold a lease of the previous owner too.
    FleetWorker next(worker.m_record, m_limits, inheritedLeaseEndOf(worker.m_record.m_id));
    next.m_incarnation = incarnation;
    next.m_isListed = worker.m_isListed;
    next.m_drainEndsAt = worker.m_drainEndsAt;
    next.m_laterEntry = std::move(worker.m_laterEntry);
    next.applyLaterEntry();
    logEvent(LogLevel::Info,
             "incarnation_replaced",
             {{"worker", next.m_record.m_id},
              {"former", worker.m_incarnation},
              {"incarnation", incarnation},
              {"entry_incarnation", next.m_record.m_incarnation},
              {"reason", reason},
              {"epoch", m_epoch}});
    worker = std::move(next);
}

auto FleetScheduler::markRunsLost(FleetWorker &worker, std::string_view reason) -> void
{
    std::vector<TaskRun> runs;
    for (auto &[name, run] : worker.removeAllRuns()) {
        runs.push_back(run);
    }
    recordLostRuns(runs, worker, reason);
}

auto FleetScheduler::markSentRunsLost(FleetWorker &worker, std::string_view reason) -> void
{
    std::vector<TaskRun> runs;
    for (const auto &[name, run] : worker.m_runs) {
        if (run.m_stage != RunStage::Unsent) {
            runs.push_back(run);
        }
    }
    for (const auto &run : runs) {
        worker.removeRun(run.m_task.text());
    }
    recordLostRuns(runs, worker, reason);
}

auto FleetScheduler::recordLostRuns(std::span<const TaskRun> runs, const FleetWorker &worker, std::string_view reason) -> void
{
    for (const auto &run : runs) {
        logEvent(LogLevel::Warning,
                 "run_lost",
                 {{"job", run.m_task.m_job},
                  {"task", run.m_task.text()},
                  {"run", run.m_run},
                  {"worker", worker.m_record.m_id},
                  {"reason", reason},
                  {"epoch", m_epoch}});
    }
    for (const auto &run : runs) {
        endTask(*run.m_job, run.m_task, run.m_run, RunEnd::LeaseLapsed, run.m_checkpoint);
    }
}

auto FleetScheduler::mayRenewLease(const FleetWorker &worker, TimePoint now) const -> bool
{
    // The lease of a worker that does not answer must not be extended, or its tasks would never count as lost.
    return worker.m_isAnswering && now - m_storeConfirmedAt <= m_limits.m_renewWithoutStore && !m_declaredSilent.contains(worker.m_record.m_id);
}

auto FleetScheduler::pollWorkers(TimePoint now) -> TimePoint
{
    TimePoint next = TimePoint::max();
    for (auto &[id, worker] : m_workers) {
        if (worker.m_reportInFlight || worker.reportEndpoint().m_port == 0) {
            continue;
        }
        // While the effects of ends are being stored, a report would only list the same ends again.
        const bool waitsForStore = worker.m_processedEnd > worker.m_durableEnd;
        const TimePoint due = waitsForStore ? std::max(worker.m_reportDue, worker.m_lastReportAt + renewalInterval) : worker.m_reportDue;
        if (now < due) {
            next = std::min(next, due);
            continue;
        }
        ReportOrder order;
        order.m_address = addressOf(worker);
        order.m_address.m_endpoint = worker.reportEndpoint();
        // An order without an acknowledgement and a lease is answered by any incarnation of the worker.
        order.m_ackedEnd = order.m_address.m_endpoint == worker.m_answeredAt ? worker.m_durableEnd : 0;
        order.m_wait = waitsForStore || m_isPreparing || !worker.m_hasReported || !worker.m_isAnswering
            ? Milliseconds{0}
            : m_reportPacing.wait(m_limits, PaceController::reportNeedOf(worker), now);
        if (mayRenewLease(worker, now)) {
            order.m_leaseUntil = worker.m_workerLease.extendLease(m_limits.m_lease, now);
        }
        worker.m_reportInFlight = true;
        worker.m_reportOrderedAt = now;
        m_commands.emplace_back(std::move(order));
    }
    return next;
}

auto FleetScheduler::handleAnswer(const ReportAnswer &answer, TimePoint now) -> void
{
    auto *const worker = findAddressedWorker(answer.m_address);
    if (worker == nullptr) {
        return;
    }
    m_reportPacing.recordReport((answer.m_sentAt - worker->m_reportOrderedAt) + (now - answer.m_receivedAt), now);
    worker->m_reportInFlight = false;
    worker->m_reportDue = now;
    worker->m_isAnswering = answer.m_outcome == OrderOutcome::Accepted;
    worker->m_unansweredReports = worker->m_isAnswering ? 0 : worker->m_unansweredReports + 1;
    if (answer.m_outcome == OrderOutcome::Fenced) {
        resignAfterFencing(*worker);
        return;
    }
    // Such an answer from an address at which the incarnation has never answered tells only that the address belongs to another worker.
    if (answer.m_outcome == OrderOutcome::OtherIncarnation && answer.m_address.m_endpoint == worker->m_answeredAt) {
        // The next report is requested at once, and tells the incarnation unless the address belongs to another worker now.
        replaceIncarnation(*worker, unknownIncarnation, "other_incarnation");
        worker->m_reportDue = now;
        return;
    }
    if (answer.m_outcome != OrderOutcome::Accepted) {
        worker->applyLaterEntry();
        worker->m_reportDue = now + m_limits.m_reportRetryDelay;
        watchStragglers(*worker, now);
        return;
    }
    if (answer.m_report.m_incarnation != worker->m_incarnation) {
        // One report is requested at a time, so this one is later than all that were received from the former incarnation.
        replaceIncarnation(*worker, answer.m_report.m_incarnation, "worker_restarted");
        return;
    }
    worker->m_answeredAt = answer.m_address.m_endpoint;
    if (!std::exchange(worker->m_hasReported, true)) {
        m_needsPlacement = true;
    }
    worker->m_workerLease.recordClock(answer.m_report.m_clock, answer.m_receivedAt);
    worker->m_lastReportAt = now;
    if (m_isPreparing) {
        // The first report tells the worker's clock, the second one renews its lease; the ends are listed again until they are acknowledged.
        worker->m_reportDue = worker->m_workerLease.grantedDeadline() ? now + renewalInterval : now;
        return;
    }
    processEnds(*worker, answer.m_report.m_ended, now);
    processRunningTasks(*worker, answer, now);
    watchStragglers(*worker, now);
    adjustFillingPaces(*worker, now);
    moveSlowRuns(*worker, now);
}

auto FleetScheduler::processEnds(FleetWorker &worker, std::span<const EndedTask> ended, TimePoint now) -> void
{
    const auto processedBefore = worker.m_processedEnd;
    for (const auto &end : ended) {
        if (end.m_sequence <= worker.m_processedEnd) {
            continue;
        }
        worker.m_processedEnd = end.m_sequence;
        auto *const run = worker.findRun(end.m_task.text());
        const bool isCurrent = run != nullptr && run->m_run == end.m_run;
        logEvent(LogLevel::Info,
                 "run_ended",
                 {{"job", end.m_task.m_job},
                  {"task", end.m_task.text()},
                  {"run", end.m_run},
                  {"worker", worker.m_record.m_id},
                  {"how", endNames[static_cast<std::size_t>(end.m_cause)]},
                  {"sequence", end.m_sequence},
                  {"current", isCurrent},
                  {"epoch", m_epoch}});
        if (isCurrent) {
            endRun(worker, *run, end.m_cause, end.m_checkpoint, now);
        } else if (end.m_cause == RunEnd::Done || end.m_cause == RunEnd::Failed) {
            processLateEnd(end);
        }
    }
    if (worker.m_processedEnd > processedBefore) {
        worker.recordProcessedEnds(m_changes.m_lastChange);
    }
}

auto FleetScheduler::processLateEnd(const EndedTask &end) -> void
{
    const auto entry = m_jobs.find(end.m_task.m_job);
    auto *const task = entry == m_jobs.end() ? nullptr : entry->second->findTask(end.m_task);
    if (task == nullptr || task->m_phase == TaskPhase::Done || isFinal(entry->second->progress().m_phase)) {
        return;
    }
    auto &job = *entry->second;
    const auto &step = job.stepOf(end.m_task);
    if (step.m_isServing) {
        return;
    }
    logEvent(LogLevel::Info,
             "late_end_taken",
             {{"job", end.m_task.m_job},
              {"task", end.m_task.text()},
              {"run", end.m_run},
              {"last_run", task->m_run},
              {"how", endNames[static_cast<std::size_t>(end.m_cause)]},
              {"epoch", m_epoch}});
    // The run was counted as lost, but its reported end is definitive, and has to be stored before it is acknowledged.
    if (end.m_cause == RunEnd::Failed) {
        // Workers report an end again, also to a successor, until it is acknowledged.
        if (end.m_run > task->m_lastFailedRun) {
            task->m_lastFailedRun = end.m_run;
            ++task->m_failures;
            failAfterLastAttempt(job, step, *task);
        }
        job.markChanged();
    } else if (step.m_isGang) {
        // The successful end of one member completes all members.
        for (std::uint32_t index = 0; index < step.m_count; ++index) {
            TaskId member = end.m_task;
            member.m_index = index;
            completeTask(job, member, 0);
        }
    } else {
        completeTask(job, end.m_task, 0);
    }
}

auto FleetScheduler::endRun(FleetWorker &worker, TaskRun &run, RunEnd how, std::string_view checkpoint, TimePoint now) -> void
{
    const TaskId id = run.m_task;
    FleetJob &job = *run.m_job;
    job.markStarted();
    const auto &step = job.stepOf(id);
    learnFromEnd(run, how, worker.m_health.isTrusted(now), now);
    const auto number = run.m_run;
    if (how == RunEnd::Done) {
        worker.m_health.recordSuccess();
        job.m_failedRuns.recordSuccess();
        job.m_slowRuns.recordSuccess();
    } else if (how == RunEnd::Failed && job.m_failedRuns.recordFault(worker.m_record.m_id, faultKindOf(step), now)) {
        worker.m_health.recordFailure(id.m_job, now);
    }
    worker.removeRun(id.text());
    if (how == RunEnd::Done && step.m_isGang) {
        // The successful end of one member completes all members.
        for (std::uint32_t index = 0; index < step.m_count; ++index) {
            TaskId member = id;
            member.m_index = index;
            if (const auto *const task = job.taskAt(member)) {
                endTask(job, member, task->m_run, how, {});
            }
        }
        return;
    }
    endTask(job, id, number, how, checkpoint);
}

auto FleetScheduler::processRunningTasks(FleetWorker &worker, const ReportAnswer &answer, TimePoint now) -> void
{
    std::unordered_set<std::string> listed;
    worker.m_hasUnknownRuns = false;
    for (const auto &running : answer.m_report.m_running) {
        const auto name = running.m_task.text();
        auto *const run = worker.findRun(name);
        if (run == nullptr || run->m_run != running.m_run) {
            // Started by an earlier owner or by a delayed order; the task has ended, is cancelled, or has a newer run.
            worker.m_hasUnknownRuns = true;
            logEvent(LogLevel::Warning,
                     "run_unexpected",
                     {{"job", running.m_task.m_job}, {"task", name}, {"run", running.m_run}, {"worker", worker.m_record.m_id}, {"epoch", m_epoch}});
            m_commands.emplace_back(RunStopOrder{addressOf(worker), running.m_task, running.m_run});
            continue;
        }
        listed.insert(name);
        run->m_job->markStarted();
        if (run->m_stage != RunStage::Running) {
            run->m_stage = RunStage::Running;
            run->m_confirmedAt = now;
        }
        if (run->m_firstListedAt == TimePoint{}) {
            run->m_firstListedAt = now;
            run->m_firstPercent = running.m_percent;
        }
        run->m_percent = running.m_percent;
        run->m_load = running.m_load;
        if (!running.m_checkpoint.empty()) {
            run->m_checkpoint = running.m_checkpoint;
        }
    }
    if (answer.m_report.m_ended.size() >= maxEndsPerReport) {
        return;
    }
    std::vector<TaskRun *> absent;
    for (auto &[name, run] : worker.m_runs) {
        if (!listed.contains(name)) {
            absent.push_back(&run);
        }
    }
    for (auto *const run : absent) {
        const bool wasNeverStarted = run->m_stage == RunStage::Unconfirmed;
        const bool cannotStart = run->m_stopAcceptedAt != TimePoint{} && answer.m_sentAt > run->m_stopAcceptedAt;
        if (wasNeverStarted || cannotStart) {
            // The worker rejects start orders of earlier owners since it has accepted an order of this one; an accepted stop order
            // prevents that the run starts.
            requeueRun(worker, *run, wasNeverStarted ? "never_started" : "stopped_before_start");
        } else if (run->m_stage == RunStage::Running && answer.m_sentAt > run->m_confirmedAt) {
            worker.markForStop(*run);
        }
    }
}

auto FleetScheduler::moveSlowRuns(FleetWorker &worker, TimePoint now) -> void
{
    std::set<std::string_view> slowJobs;
    for (auto &[name, run] : worker.m_runs) {
        const auto &step = run.m_job->stepOf(run.m_task);
        const bool isMeasurable =
            run.m_stage == RunStage::Running && !run.m_isServing && !step.m_isGang && run.m_pace == fullPacePercent && !run.m_paceInFlight;
        if (!isMeasurable || run.m_isStopRequested || run.m_firstListedAt == TimePoint{}) {
            continue;
        }
        // A filling task that gets too few processors is slowed by the tasks beside it, not by the worker.
        const bool isStarved = run.m_isFilling && run.m_load > 0 && run.m_load < starvedShare * static_cast<double>(run.m_cpuMillis);
        const auto observedSeconds = std::chrono::duration<double>(now - run.m_firstListedAt).count();
        const auto estimate = std::max(minEstimateSeconds, std::chrono::duration<double>(step.m_estimate).count());
        if (isStarved || observedSeconds < std::max(minObservationSeconds, estimate * minObservationShare)) {
            continue;
        }
        const double speed = (run.m_percent - run.m_firstPercent) / 100.0 * estimate / observedSeconds;
        if (speed >= slowSpeed) {
            continue;
        }
        if (run.m_job->m_slowRuns.recordFault(worker.m_record.m_id, faultKindOf(step), now)) {
            slowJobs.insert(run.m_task.m_job);
        }
        const double remainingShare = (100.0 - run.m_percent) / 100.0;
        const double secondsHere = speed <= 0 ? std::numeric_limits<double>::infinity() : remainingShare * estimate / speed;
        const double secondsElsewhere = estimate * (step.m_savesProgress ? remainingShare : 1.0) + moveCostSeconds;
        if (secondsHere > secondsElsewhere && run.m_run <= maxMoves) {
            worker.markForStop(run);
            logEvent(LogLevel::Info,
                     "run_slow",
                     {{"job", run.m_task.m_job},
                      {"task", name},
                      {"run", run.m_run},
                      {"worker", worker.m_record.m_id},
                      {"percent", static_cast<int>(run.m_percent)},
                      {"speed_percent", static_cast<int>(100 * speed)},
                      {"watched_ms", static_cast<std::int64_t>(1000 * observedSeconds)},
                      {"epoch", m_epoch}});
        }
    }
    if (slowJobs.size() >= minSlowJobs) {
        worker.m_health.recordSlowRuns(now);
    }
}

auto FleetScheduler::requeueRun(FleetWorker &worker, TaskRun &run, std::string_view reason) -> void
{
    FleetJob &job = *run.m_job;
    const TaskId id = run.m_task;
    logEvent(LogLevel::Info,
             "run_returned",
             {{"job", id.m_job}, {"task", id.text()}, {"run", run.m_run}, {"worker", worker.m_record.m_id}, {"reason", reason}, {"epoch", m_epoch}});
    const auto number = run.m_run;
    worker.removeRun(id.text());
    endTask(job, id, number, RunEnd::Stopped, {});
}

auto FleetScheduler::recordStartAnswer(const StartAnswer &answer, const TaskRun *run, TimePoint now) -> void
{
    if (!isOwner() || answer.m_address.m_epoch != m_epoch) {
        return;
    }
    if (run == nullptr || answer.m_outcome == OrderOutcome::NoAnswer) {
        m_startWindow.recordUnanswered();
    } else {
        m_startWindow.recordAnswered(now - run->m_startSentAt, now);
    }
}

auto FleetScheduler::handleAnswer(const StartAnswer &answer, TimePoint now) -> void
{
    auto *const worker = findAddressedWorker(answer.m_address);
    auto *const found = worker == nullptr ? nullptr : worker->findRun(answer.m_task.text());
    auto *const run = found != nullptr && found->m_run == answer.m_run ? found : nullptr;
    recordStartAnswer(answer, run, now);
    if (worker == nullptr) {
        return;
    }
    if (answer.m_outcome == OrderOutcome::Fenced) {
        resignAfterFencing(*worker);
        return;
    }
    if (answer.m_clock) {
        worker->m_workerLease.recordClock(*answer.m_clock, answer.m_receivedAt);
    }
    if (run == nullptr) {
        return;
    }
    logEvent(LogLevel::Info,
             "start_answered",
             {{"job", answer.m_task.m_job},
              {"task", answer.m_task.text()},
              {"run", answer.m_run},
              {"worker", worker->m_record.m_id},
              {"outcome", outcomeName(answer.m_outcome)},
              {"unanswered", run->m_unansweredStarts},
              {"epoch", m_epoch}});
    switch (answer.m_outcome) {
    case OrderOutcome::Accepted:
        if (!run->m_job->hasStarted()) {
            m_startWaits.record(*run->m_job, now);
        }
        run->m_job->markStarted();
        if (run->m_stage != RunStage::Running) {
            run->m_stage = RunStage::Running;
            run->m_confirmedAt = now;
            setFirstPace(*worker, *run, now);
        }
        return;
    case OrderOutcome::OtherIncarnation:
        replaceIncarnation(*worker, unknownIncarnation, "other_incarnation");
        return;
    case OrderOutcome::NoAnswer:
        ++run->m_unansweredStarts;
        if (run->m_unansweredStarts < maxUnanswered && !run->m_isStopRequested) {
            sendStart(*worker, *run, now);
            return;
        }
        break;
    case OrderOutcome::Unhealthy:
    case OrderOutcome::InsufficientCapacity:
    case OrderOutcome::Malformed:
        worker->m_health.recordRefusal(now);
        break;
    default:
        break;
    }
    const bool isCertain = answer.m_outcome != OrderOutcome::NoAnswer && answer.m_outcome != OrderOutcome::Superseded;
    if (isCertain && run->m_unansweredStarts == 0) {
        requeueRun(*worker, *run, outcomeName(answer.m_outcome));
    } else {
        // A start order without an answer may still be carried out; only a stop prevents that.
        worker->markForStop(*run);
    }
}

auto FleetScheduler::handleAnswer(const StopAnswer &answer, TimePoint now) -> void
{
    auto *const worker = findAddressedWorker(answer.m_address);
    auto *const run = worker == nullptr ? nullptr : worker->findRun(answer.m_task.text());
    if (run == nullptr || run->m_run != answer.m_run) {
        return;
    }
    run->m_stopInFlight = false;
    if (answer.m_outcome == OrderOutcome::Accepted && run->m_stopAcceptedAt == TimePoint{}) {
        run->m_stopAcceptedAt = now;
    }
}

auto FleetScheduler::handleAnswer(const PaceAnswer &answer, TimePoint /*now*/) -> void
{
    auto *const worker = findAddressedWorker(answer.m_address);
    auto *const run = worker == nullptr ? nullptr : worker->findRun(answer.m_task.text());
    if (run != nullptr && run->m_run == answer.m_run) {
        run->m_paceInFlight = false;
        if (answer.m_outcome == OrderOutcome::Accepted) {
            run->m_pace = answer.m_percent;
        } else if (answer.m_outcome == OrderOutcome::NoAnswer) {
            run->m_pace = unknownPace;
        }
    }
}

auto FleetScheduler::sendStops(FleetWorker &worker, TimePoint now) -> TimePoint
{
    TimePoint next = TimePoint::max();
    if (!std::exchange(worker.m_mayHaveStops, false)) {
        return next;
    }
    std::vector<TaskRun *> unsent;
    for (auto &[name, run] : worker.m_runs) {
        worker.m_mayHaveStops = worker.m_mayHaveStops || run.m_isStopRequested;
        if (!run.m_isStopRequested || run.m_stopInFlight) {
            continue;
        }
        if (run.m_stage == RunStage::Unsent) {
            unsent.push_back(&run);
            continue;
        }
        const TimePoint due = run.m_stopSentAt == TimePoint{} ? now : run.m_stopSentAt + m_limits.m_stopRetryInterval;
        if (now < due || worker.endpoint().m_port == 0) {
            next = std::min(next, std::max(due, now + m_limits.m_reportRetryDelay));
            continue;
        }
        run.m_stopSentAt = now;
        run.m_stopInFlight = true;
        m_commands.emplace_back(RunStopOrder{addressOf(worker), run.m_task, run.m_run});
    }
    for (auto *const run : unsent) {
        requeueRun(worker, *run, "not_sent");
    }
    return next;
}

auto FleetScheduler::adjustFillingPaces(FleetWorker &worker, TimePoint now) -> void
{
    m_paceController.addSamples(worker, now);
    admitYieldingRuns(worker, now);
    worker.updatePaceLimits(m_limits);
    for (const auto &[run, percent] : m_paceController.plan(worker, now)) {
        setPace(worker, *run, percent);
    }
}

auto FleetScheduler::admitYieldingRuns(FleetWorker &worker, TimePoint now) -> void
{
    if (worker.yieldingCpu() == 0) {
        return;
    }
    for (auto &[name, run] : worker.m_runs) {
        if (!run.m_isYielding || !hasUnusedCpu(worker.freeFillingCpu(m_limits), run.m_cpuMillis)) {
            continue;
        }
        // The headroom already counts the run at its present limit.
        const auto added = run.m_cpuMillis * (fullPacePercent - run.m_paceLimit) / fullPacePercent;
        if (m_paceController.fitOf(worker, run.m_image, added, now).m_slack >= 0) {
            worker.admitYieldingRun(run);
        }
    }
}

auto FleetScheduler::setFirstPace(FleetWorker &worker, TaskRun &run, TimePoint now) -> void
{
    // A worker starts every run at full pace, and the next report would slow a yielding one too late.
    if (!run.m_isYielding) {
        return;
    }
    worker.updatePaceLimits(m_limits);
    const auto plans = m_paceController.plan(worker, now);
    if (const auto plan = std::ranges::find(plans, &run, &PacePlan::m_run); plan != plans.end()) {
        setPace(worker, run, plan->m_percent);
    }
}

auto FleetScheduler::setPace(const FleetWorker &worker, TaskRun &run, int percent) -> void
{
    const bool isRelevantChange = run.m_pace == unknownPace || std::abs(run.m_pace - percent) >= minPaceChangePercent
        || ((percent == 0 || percent == fullPacePercent) && run.m_pace != percent);
    if (run.m_paceInFlight || run.m_isStopRequested || !isRelevantChange) {
        return;
    }
    run.m_paceInFlight = true;
    run.m_isUndisturbed = run.m_isUndisturbed && percent == fullPacePercent;
    m_commands.emplace_back(RunPaceOrder{addressOf(worker), run.m_task, run.m_run, percent});
    logEvent(LogLevel::Info,
             "run_paced",
             {{"job", run.m_task.m_job},
              {"task", run.m_task.text()},
              {"run", run.m_run},
              {"worker", worker.m_record.m_id},
              {"from_percent", run.m_pace},
              {"percent", percent},
              {"epoch", m_epoch}});
}
}
