#include "burdockspur/fleet/fleetscheduler.hpp"
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
/// Ends that a worker lists at once; with as many, an end may be missing from the list (platform's bound).
constexpr std::size_t endsPerReport = 500;

/// Start orders without an answer after which the run is given up.
constexpr std::uint32_t maxUnanswered = 2;

/// A report without waiting renews a lease in time when the store is slow to take the ends.
constexpr Milliseconds renewAtLeast{1'500};

/// Time that a draining worker needs to list the ends of what is stopped (platform's bound of 200 ms, twice, and a call).
constexpr Milliseconds leaveReserve{900};

/// A run stands still at this share of the speed that its declared time implies; declared times are far too short at times.
constexpr double slowSpeed = 0.08;
/// Seconds, and share of the declared time, for which a run is watched before it is judged.
constexpr double slowAfter = 1.2;
constexpr double slowAfterShare = 0.8;
constexpr double shortestEstimate = 0.2; ///< seconds
/// Seconds to stop a run, store that and start it elsewhere.
constexpr double moveCost = 0.5;
/// Share of its declared processors below which a filling task counts as starved.
constexpr double starvedShare = 0.6;
/// A task that is slow everywhere is not moved for ever.
constexpr RunNumber mostMoves = 3;
/// Slow runs of this many jobs blame the worker.
constexpr std::size_t slowJobsOfWorker = 2;

/// Smallest change of a pace that is worth an order, in percent.
constexpr int paceTolerance = 10;
constexpr int fullPace = 100;

constexpr std::array<std::string_view, 6> endNames{"done", "failed", "stopped", "lease_lapsed", "gang_broken", "gang_incomplete"};
}

auto FleetScheduler::workerNamed(std::string_view id) noexcept -> FleetWorker *
{
    const auto entry = m_workers.find(id);
    return entry == m_workers.end() ? nullptr : &entry->second;
}

auto FleetScheduler::workerFor(const WorkerAddress &address) noexcept -> FleetWorker *
{
    if (!isOwner() || address.m_epoch != m_epoch) {
        return nullptr;
    }
    auto *const worker = workerNamed(address.m_worker);
    return worker != nullptr && worker->m_record.m_incarnation == address.m_incarnation ? worker : nullptr;
}

auto FleetScheduler::addressOf(const FleetWorker &worker) const -> WorkerAddress
{
    return {worker.m_record.m_id, worker.m_record.m_endpoint, worker.m_record.m_incarnation, m_epoch};
}

auto FleetScheduler::updateWorkers(std::span<const WorkerRecord> changed, std::span<const std::string> removed, TimePoint now) -> void
{
    if (!isOwner()) {
        return;
    }
    for (const auto &record : changed) {
        auto *worker = workerNamed(record.m_id);
        if (worker == nullptr) {
            worker = &m_workers.try_emplace(record.m_id, record, m_limits, now).first->second;
            logEvent(LogLevel::Info, "worker_added", {{"worker", record.m_id}, {"incarnation", record.m_incarnation}, {"workers", m_workers.size()}});
        } else if (record.m_incarnation < worker->m_record.m_incarnation) {
            continue;
        } else if (record.m_incarnation > worker->m_record.m_incarnation) {
            replaceIncarnation(*worker, record, now);
        }
        const bool wasLeaving = worker->m_record.m_leavesIn.has_value();
        worker->m_record = record;
        worker->m_isListed = true;
        if (!record.m_leavesIn) {
            worker->m_leavesAt = TimePoint::max();
        } else if (!wasLeaving) {
            worker->m_leavesAt = now + *record.m_leavesIn;
            logEvent(LogLevel::Info, "worker_draining", {{"worker", record.m_id}, {"left_ms", record.m_leavesIn->count()}, {"runs", worker->m_runs.size()}});
        }
    }
    for (const auto &id : removed) {
        if (auto *const worker = workerNamed(id); worker != nullptr) {
            worker->m_isListed = false;
            logEvent(LogLevel::Info, "worker_unlisted", {{"worker", id}, {"runs", worker->m_runs.size()}});
        }
    }
    m_mustPlace = true;
}

auto FleetScheduler::resignFenced(const FleetWorker &worker) -> void
{
    logEvent(LogLevel::Warning, "ownership_fenced", {{"worker", worker.m_record.m_id}, {"epoch", m_epoch}});
    const auto epoch = m_epoch;
    resign();
    // Without it the store would still count this host as the owner, until a commit that no longer comes.
    m_commands.emplace_back(OwnershipResigned{epoch});
}

auto FleetScheduler::replaceIncarnation(FleetWorker &worker, const WorkerRecord &record, TimePoint now) -> void
{
    loseRuns(worker, "worker_restarted");
    const auto id = worker.m_record.m_id;
    worker = FleetWorker(record, m_limits, now);
    worker.m_record.m_id = id;
}

auto FleetScheduler::loseRuns(FleetWorker &worker, std::string_view reason) -> void
{
    std::vector<TaskRun> runs;
    for (auto &[name, run] : worker.takeRuns()) {
        runs.push_back(run);
    }
    noteLost(runs, worker, reason);
}

auto FleetScheduler::loseSentRuns(FleetWorker &worker, std::string_view reason) -> void
{
    std::vector<TaskRun> runs;
    for (const auto &[name, run] : worker.m_runs) {
        if (run.m_stage != RunStage::Recorded) {
            runs.push_back(run);
        }
    }
    for (const auto &run : runs) {
        worker.remove(run.m_task.text());
    }
    noteLost(runs, worker, reason);
}

auto FleetScheduler::noteLost(std::span<const TaskRun> runs, const FleetWorker &worker, std::string_view reason) -> void
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
        endTask(*run.m_job, run.m_task, RunEnd::LeaseLapsed, run.m_checkpoint);
    }
}

auto FleetScheduler::pollWorkers(TimePoint now) -> TimePoint
{
    TimePoint next = TimePoint::max();
    const bool mayRenew = now - m_storeConfirmedAt <= m_limits.m_renewWithoutStore;
    for (auto &[id, worker] : m_workers) {
        if (worker.m_reportInFlight || worker.m_record.m_endpoint.m_port == 0) {
            continue;
        }
        // The consequences of the ends are being stored; asking before that would give the same ends again.
        const bool waitsForStore = worker.m_seenEnd > worker.m_durableEnd;
        const TimePoint due = waitsForStore ? std::max(worker.m_reportDue, worker.m_heardAt + renewAtLeast) : worker.m_reportDue;
        if (now < due) {
            next = std::min(next, due);
            continue;
        }
        ReportOrder order;
        order.m_address = addressOf(worker);
        order.m_ackedEnd = worker.m_durableEnd;
        order.m_wait =
            waitsForStore || !worker.m_isTaken || !worker.m_isAnswering ? Milliseconds{0} : m_reportPacing.wait(m_limits, worker.m_runs.empty(), now);
        // A worker that does not answer must not be given more time, or its tasks would never count as lost.
        if (mayRenew && worker.m_isAnswering) {
            order.m_leaseUntil = worker.m_life.extend(m_limits.m_lease, now);
        }
        worker.m_reportInFlight = true;
        m_commands.emplace_back(std::move(order));
    }
    return next;
}

auto FleetScheduler::take(const ReportAnswer &answer, TimePoint now) -> void
{
    auto *const worker = workerFor(answer.m_address);
    if (worker == nullptr) {
        return;
    }
    m_reportPacing.noteReport(answer.m_receivedAt, now);
    worker->m_reportInFlight = false;
    worker->m_reportDue = now;
    worker->m_isAnswering = answer.m_outcome == OrderOutcome::Accepted;
    if (answer.m_outcome == OrderOutcome::Fenced) {
        resignFenced(*worker);
        return;
    }
    if (answer.m_outcome == OrderOutcome::OtherIncarnation) {
        loseRuns(*worker, "other_incarnation");
        worker->m_isTaken = false;
        worker->m_reportDue = now + m_limits.m_reportRetry;
        return;
    }
    if (answer.m_outcome != OrderOutcome::Accepted) {
        worker->m_reportDue = now + m_limits.m_reportRetry;
        return;
    }
    if (answer.m_report.m_incarnation != worker->m_record.m_incarnation) {
        if (answer.m_report.m_incarnation > worker->m_record.m_incarnation) {
            auto record = worker->m_record;
            record.m_incarnation = answer.m_report.m_incarnation;
            replaceIncarnation(*worker, record, now);
            worker->m_isListed = true;
        }
        worker->m_reportDue = now + m_limits.m_reportRetry;
        return;
    }
    if (!std::exchange(worker->m_isTaken, true)) {
        m_mustPlace = true;
    }
    worker->m_life.heard(answer.m_report.m_clock, answer.m_receivedAt);
    worker->m_heardAt = now;
    takeEnds(*worker, answer.m_report.m_ended, now);
    takeRunning(*worker, answer, now);
    paceFills(*worker, now);
    moveSlowRuns(*worker, now);
}

auto FleetScheduler::takeEnds(FleetWorker &worker, std::span<const EndedTask> ended, TimePoint now) -> void
{
    const auto seenBefore = worker.m_seenEnd;
    for (const auto &end : ended) {
        if (end.m_sequence <= worker.m_seenEnd) {
            continue;
        }
        worker.m_seenEnd = end.m_sequence;
        auto *const run = worker.run(end.m_task.text());
        const bool isCurrent = run != nullptr && run->m_run == end.m_run;
        logEvent(LogLevel::Info,
                 "run_ended",
                 {{"job", end.m_task.m_job},
                  {"task", end.m_task.text()},
                  {"run", end.m_run},
                  {"worker", worker.m_record.m_id},
                  {"how", endNames[static_cast<std::size_t>(end.m_how)]},
                  {"sequence", end.m_sequence},
                  {"current", isCurrent},
                  {"epoch", m_epoch}});
        if (isCurrent) {
            endRun(worker, *run, end.m_how, end.m_checkpoint, now);
        } else if (end.m_how == RunEnd::Done || end.m_how == RunEnd::Failed) {
            takeLateEnd(end);
        }
    }
    if (worker.m_seenEnd > seenBefore) {
        worker.noteEnds(m_changes.m_lastChange);
    }
}

auto FleetScheduler::takeLateEnd(const EndedTask &end) -> void
{
    const auto entry = m_jobs.find(end.m_task.m_job);
    auto *const task = entry == m_jobs.end() ? nullptr : entry->second->task(end.m_task);
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
              {"how", endNames[static_cast<std::size_t>(end.m_how)]},
              {"epoch", m_epoch}});
    // The run was counted as lost; its end tells the truth, and has to be stored before it is acknowledged.
    if (end.m_how == RunEnd::Failed) {
        countFailure(job, *task, end.m_run);
        job.touch();
    } else if (step.m_isGang) {
        // The end of one member stands for all.
        for (std::uint32_t index = 0; index < step.m_count; ++index) {
            TaskId member = end.m_task;
            member.m_index = index;
            completeLate(job, member);
        }
    } else {
        completeLate(job, end.m_task);
    }
}

auto FleetScheduler::completeLate(FleetJob &job, const TaskId &id) -> void
{
    const auto *const task = job.task(id);
    auto *const worker = task != nullptr && task->m_phase == TaskPhase::Assigned ? workerNamed(task->m_worker) : nullptr;
    auto *const run = worker == nullptr ? nullptr : worker->run(id.text());
    if (run != nullptr && run->m_stage == RunStage::Recorded) {
        worker->remove(id.text());
    } else if (run != nullptr) {
        worker->wantStop(*run);
    }
    endTask(job, id, RunEnd::Done, {});
}

auto FleetScheduler::endRun(FleetWorker &worker, TaskRun &run, RunEnd how, std::string_view checkpoint, TimePoint now) -> void
{
    const TaskId id = run.m_task;
    FleetJob &job = *run.m_job;
    job.noteBegun();
    if (how == RunEnd::Done) {
        worker.m_health.noteDone();
    } else if (how == RunEnd::Failed) {
        worker.m_health.noteFailed(id.m_job, now);
    }
    worker.remove(id.text());
    const auto &step = job.stepOf(id);
    if (how == RunEnd::Done && step.m_isGang) {
        // The end of one member stands for all.
        for (std::uint32_t index = 0; index < step.m_count; ++index) {
            TaskId member = id;
            member.m_index = index;
            endTask(job, member, how, {});
        }
        return;
    }
    endTask(job, id, how, checkpoint);
}

auto FleetScheduler::takeRunning(FleetWorker &worker, const ReportAnswer &answer, TimePoint now) -> void
{
    std::unordered_set<std::string> listed;
    worker.m_hasForeignRuns = false;
    for (const auto &running : answer.m_report.m_running) {
        const auto name = running.m_task.text();
        auto *const run = worker.run(name);
        if (run == nullptr || run->m_run != running.m_run) {
            // Started by an earlier owner or by a late order, for a task that is over or cancelled.
            worker.m_hasForeignRuns = true;
            logEvent(LogLevel::Warning,
                     "run_unexpected",
                     {{"job", running.m_task.m_job}, {"task", name}, {"run", running.m_run}, {"worker", worker.m_record.m_id}, {"epoch", m_epoch}});
            m_commands.emplace_back(RunStopOrder{addressOf(worker), running.m_task, running.m_run});
            continue;
        }
        listed.insert(name);
        run->m_job->noteBegun();
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
    if (answer.m_report.m_ended.size() >= endsPerReport) {
        return;
    }
    std::vector<TaskRun *> absent;
    for (auto &[name, run] : worker.m_runs) {
        if (!listed.contains(name)) {
            absent.push_back(&run);
        }
    }
    for (auto *const run : absent) {
        const bool neverBegan = run->m_stage == RunStage::Unconfirmed;
        const bool cannotBegin = run->m_stopAcceptedAt != TimePoint{} && answer.m_sentAt > run->m_stopAcceptedAt;
        if (neverBegan || cannotBegin) {
            // This owner's order excludes those of earlier owners, and an accepted stop excludes the run itself.
            returnRun(worker, *run, neverBegan ? "never_started" : "stopped_before_start");
        } else if (run->m_stage == RunStage::Running && answer.m_sentAt > run->m_confirmedAt) {
            worker.wantStop(*run);
        }
    }
}

auto FleetScheduler::moveSlowRuns(FleetWorker &worker, TimePoint now) -> void
{
    std::set<std::string_view> slowJobs;
    for (auto &[name, run] : worker.m_runs) {
        const auto &step = run.m_job->stepOf(run.m_task);
        const bool isMeasurable = run.m_stage == RunStage::Running && !run.m_isServing && !step.m_isGang && run.m_pace == fullPace && !run.m_paceInFlight;
        if (!isMeasurable || run.m_stopWanted || run.m_firstListedAt == TimePoint{}) {
            continue;
        }
        // A filling task that lacks processors is slow by its neighbours, not by the worker.
        const bool isStarved = run.m_fills && run.m_load > 0 && run.m_load < starvedShare * static_cast<double>(run.m_cpuMillis);
        const auto watched = std::chrono::duration<double>(now - run.m_firstListedAt).count();
        const auto estimate = std::max(shortestEstimate, std::chrono::duration<double>(step.m_estimate).count());
        if (isStarved || watched < std::max(slowAfter, estimate * slowAfterShare)) {
            continue;
        }
        const double speed = (run.m_percent - run.m_firstPercent) / 100.0 * estimate / watched;
        if (speed >= slowSpeed) {
            continue;
        }
        slowJobs.insert(run.m_task.m_job);
        const double left = (100.0 - run.m_percent) / 100.0;
        const double here = speed <= 0 ? std::numeric_limits<double>::infinity() : left * estimate / speed;
        const double elsewhere = estimate * (step.m_savesProgress ? left : 1.0) + moveCost;
        if (here > elsewhere && run.m_run <= mostMoves) {
            worker.wantStop(run);
            logEvent(LogLevel::Info,
                     "run_slow",
                     {{"job", run.m_task.m_job},
                      {"task", name},
                      {"run", run.m_run},
                      {"worker", worker.m_record.m_id},
                      {"percent", static_cast<int>(run.m_percent)},
                      {"speed_percent", static_cast<int>(100 * speed)},
                      {"watched_ms", static_cast<std::int64_t>(1000 * watched)},
                      {"epoch", m_epoch}});
        }
    }
    if (slowJobs.size() >= slowJobsOfWorker) {
        worker.m_health.noteSlow(now);
    }
}

auto FleetScheduler::returnRun(FleetWorker &worker, TaskRun &run, std::string_view reason) -> void
{
    FleetJob &job = *run.m_job;
    const TaskId id = run.m_task;
    logEvent(LogLevel::Info,
             "run_returned",
             {{"job", id.m_job}, {"task", id.text()}, {"run", run.m_run}, {"worker", worker.m_record.m_id}, {"reason", reason}, {"epoch", m_epoch}});
    worker.remove(id.text());
    endTask(job, id, RunEnd::Stopped, {});
}

auto FleetScheduler::take(const StartAnswer &answer, TimePoint now) -> void
{
    auto *const worker = workerFor(answer.m_address);
    if (worker == nullptr) {
        return;
    }
    if (answer.m_outcome == OrderOutcome::Fenced) {
        resignFenced(*worker);
        return;
    }
    if (answer.m_clock) {
        worker->m_life.heard(*answer.m_clock, now);
    }
    auto *const run = worker->run(answer.m_task.text());
    if (run == nullptr || run->m_run != answer.m_run) {
        return;
    }
    logEvent(LogLevel::Info,
             "start_answered",
             {{"job", answer.m_task.m_job},
              {"task", answer.m_task.text()},
              {"run", answer.m_run},
              {"worker", worker->m_record.m_id},
              {"outcome", outcomeName(answer.m_outcome)},
              {"unanswered", run->m_unanswered},
              {"epoch", m_epoch}});
    switch (answer.m_outcome) {
    case OrderOutcome::Accepted:
        run->m_job->noteBegun();
        run->m_stage = RunStage::Running;
        run->m_confirmedAt = now;
        return;
    case OrderOutcome::OtherIncarnation:
        loseRuns(*worker, "other_incarnation");
        return;
    case OrderOutcome::NoAnswer:
        ++run->m_unanswered;
        if (run->m_unanswered < maxUnanswered && !run->m_stopWanted) {
            sendStart(*worker, *run, now);
            return;
        }
        break;
    case OrderOutcome::Unhealthy:
    case OrderOutcome::NoRoom:
    case OrderOutcome::Malformed:
        worker->m_health.noteRefused(now);
        break;
    default:
        break;
    }
    const bool isCertain = answer.m_outcome != OrderOutcome::NoAnswer && answer.m_outcome != OrderOutcome::Superseded;
    if (isCertain && run->m_unanswered == 0) {
        returnRun(*worker, *run, outcomeName(answer.m_outcome));
    } else {
        // An order without an answer may still be carried out; only a stop excludes that.
        worker->wantStop(*run);
    }
}

auto FleetScheduler::take(const StopAnswer &answer, TimePoint now) -> void
{
    auto *const worker = workerFor(answer.m_address);
    auto *const run = worker == nullptr ? nullptr : worker->run(answer.m_task.text());
    if (run == nullptr || run->m_run != answer.m_run) {
        return;
    }
    run->m_stopInFlight = false;
    if (answer.m_outcome == OrderOutcome::Accepted && run->m_stopAcceptedAt == TimePoint{}) {
        run->m_stopAcceptedAt = now;
    }
}

auto FleetScheduler::take(const PaceAnswer &answer, TimePoint /*now*/) -> void
{
    auto *const worker = workerFor(answer.m_address);
    auto *const run = worker == nullptr ? nullptr : worker->run(answer.m_task.text());
    if (run != nullptr && run->m_run == answer.m_run) {
        run->m_paceInFlight = false;
        run->m_pace = answer.m_outcome == OrderOutcome::Accepted ? answer.m_percent : run->m_pace;
    }
}

auto FleetScheduler::stopRuns(FleetWorker &worker, TimePoint now) -> TimePoint
{
    TimePoint next = TimePoint::max();
    if (!std::exchange(worker.m_hasStops, false)) {
        return next;
    }
    std::vector<TaskRun *> unsent;
    for (auto &[name, run] : worker.m_runs) {
        worker.m_hasStops = worker.m_hasStops || run.m_stopWanted;
        if (!run.m_stopWanted || run.m_stopInFlight) {
            continue;
        }
        if (run.m_stage == RunStage::Recorded) {
            unsent.push_back(&run);
            continue;
        }
        const TimePoint due = run.m_stopSentAt == TimePoint{} ? now : run.m_stopSentAt + m_limits.m_stopRetry;
        if (now < due || worker.m_record.m_endpoint.m_port == 0) {
            next = std::min(next, std::max(due, now + m_limits.m_reportRetry));
            continue;
        }
        run.m_stopSentAt = now;
        run.m_stopInFlight = true;
        m_commands.emplace_back(RunStopOrder{addressOf(worker), run.m_task, run.m_run});
    }
    for (auto *const run : unsent) {
        returnRun(worker, *run, "not_sent");
    }
    return next;
}

auto FleetScheduler::leaveWorker(FleetWorker &worker, TimePoint now) -> void
{
    if (!worker.m_record.m_leavesIn) {
        return;
    }
    for (auto &[name, run] : worker.m_runs) {
        // A serving task gains nothing by staying; other work stays as long as it may end in time.
        if (run.m_isServing || now >= worker.m_leavesAt - leaveReserve) {
            worker.wantStop(run);
        }
    }
}

auto FleetScheduler::paceFills(FleetWorker &worker, TimePoint now) -> void
{
    m_paces.addSamples(worker, now);
    for (const auto &[run, percent] : m_paces.plan(worker, now)) {
        const bool isFar = std::abs(run->m_pace - percent) >= paceTolerance || ((percent == 0 || percent == fullPace) && run->m_pace != percent);
        if (run->m_paceInFlight || run->m_stopWanted || !isFar) {
            continue;
        }
        run->m_paceInFlight = true;
        m_commands.emplace_back(RunPaceOrder{addressOf(worker), run->m_task, run->m_run, percent});
        logEvent(LogLevel::Info,
                 "run_paced",
                 {{"job", run->m_task.m_job},
                  {"task", run->m_task.text()},
                  {"run", run->m_run},
                  {"worker", worker.m_record.m_id},
                  {"from_percent", run->m_pace},
                  {"percent", percent},
                  {"epoch", m_epoch}});
    }
}
}
