#include "burdockspur/fleet/fleetscheduler.hpp"

#include "burdockspur/core/invariant.hpp"
#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/impl/fleetschedulerparts.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// A worker with an unanswered report is listed as silent after this time without a report. It is longer than the time in which a worker answers
/// again whose connections were reset.
constexpr Milliseconds minSilence{1'000};
/// No worker is listed as silent when the store has not confirmed a commit for this long: the leases of a listed worker are not renewed until
/// the next commit is stored.
constexpr Milliseconds maxStoreSilence{1'000};

[[nodiscard]] auto totalSize(std::span<const std::string> rows) noexcept -> std::size_t
{
    std::size_t bytes = 0;
    for (const auto &row : rows) {
        bytes += row.size();
    }
    return bytes;
}
}

FleetScheduler::FleetScheduler(const FleetLimits &limits)
    : m_limits(limits)
    , m_evacuation(limits.m_maxZonesAge)
{
}

FleetScheduler::~FleetScheduler() = default;

auto FleetScheduler::prepare(Epoch epoch, TimePoint claimedAt, FormerOwner former) -> void
{
    resign();
    m_epoch = epoch;
    m_isPreparing = true;
    m_storeConfirmedAt = claimedAt;
    m_former = std::move(former);
}

auto FleetScheduler::inheritedLeaseEndOf(std::string_view worker) const -> TimePoint
{
    const auto longest = m_former.m_lastSign + m_limits.m_inheritedLease;
    const auto silent = m_former.m_silentWorkers.find(worker);
    return silent == m_former.m_silentWorkers.end() ? longest : std::min(longest, silent->second);
}

auto FleetScheduler::begin(Epoch epoch, std::vector<StoredJob> &&jobs, TimePoint now, WallTime wallNow) -> void
{
    if (!m_isPreparing || m_epoch != epoch) {
        prepare(epoch, now, FormerOwner{now, {}});
    }
    m_isPreparing = false;
    for (auto &[id, worker] : m_workers) {
        // Tasks are placed on a worker only after a report that was compared with the stored runs.
        worker.m_hasReported = false;
        worker.m_reportDue = now;
    }
    m_nextCommit = now;
    m_nextModelWrite = now + m_limits.m_modelInterval;
    std::vector<std::string> ended; ///< jobs whose end the previous owner has stored
    for (auto &stored : jobs) {
        auto job = std::make_unique<FleetJob>(std::move(stored.m_job), now, wallNow);
        if (stored.m_progress && !job->restore(std::move(*stored.m_progress))) {
            // The workers of its tasks are unknown, so no task of the job may be started.
            logEvent(LogLevel::Error, "job_progress_unfit", {{"job", job->job().m_id}});
            continue;
        }
        job->recordContinuationRows(stored.m_continuationRows);
        auto &entry = *m_jobs.insert_or_assign(job->job().m_id, std::move(job)).first->second;
        trackJob(entry);
        m_queueWork.add(entry.job().m_policy.m_name, entry.totalWork());
        entry.continueWait();
        restoreRuns(entry, now);
        if (stored.m_isCancelled) {
            entry.setPhase(JobPhase::Cancelled);
        }
        if (isFinal(entry.progress().m_phase)) {
            markRunsForStop(entry);
            entry.dropTasksWhenIdle();
        }
        if (entry.isSettled()) {
            ended.push_back(entry.job().m_id);
            m_activeJobs.erase(entry.job().m_id);
        }
    }
    requestArchiving(ended);
    m_evacuation.logClosedZones({m_workers, m_waitingCount, m_epoch}, now);
    m_needsPlacement = true;
}

auto FleetScheduler::trackJob(FleetJob &job) -> void
{
    m_activeJobs.emplace(job.job().m_id, &job);
    job.trackChanges(m_changes);
    if (job.nextDueTime()) {
        m_changes.m_awaitingDueTime.insert(&job);
    }
}

auto FleetScheduler::untrackJob(FleetJob &job) -> void
{
    m_waitingCount -= job.backlog().m_taskCount;
    m_waitingFillCpu -= job.backlog().m_fillCpu;
    m_changes.removeJob(job);
    m_activeJobs.erase(job.job().m_id);
}

auto FleetScheduler::resign() -> void
{
    m_isPreparing = false;
    m_epoch = 0;
    m_jobListTime.reset();
    m_activeJobs.clear();
    m_changes.clear();
    m_kinds.clear();
    m_pass.reset();
    m_lookAhead.clear();
    m_jobs.clear();
    m_workers.clear();
    m_stragglers.clear();
    m_archived.clear();
    m_archivedAt.clear();
    m_deletes.clear();
    m_commands.clear();
    m_commit.reset();
    m_declaredSilent.clear();
    m_commitNumber = 0;
    m_waitingCount = 0;
    m_waitingFillCpu = 0;
    m_startWindow.reset();
    m_assignedSinceCommit = 0;
    m_heldTaskLog = {};
}

auto FleetScheduler::restoreRuns(FleetJob &job, TimePoint now) -> void
{
    // endTask() may remove occurrences, so the assignments are copied before any task is ended.
    struct Assignment {
        TaskId m_id;
        RunNumber m_run = 0;
        std::string m_worker;
        std::uint64_t m_incarnation = 0;
        std::string m_checkpoint;
        bool m_isCopy = false;
    };
    std::vector<Assignment> assigned;
    for (const auto &occurrence : job.progress().m_open) {
        for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
            const auto &tasks = occurrence.m_steps[step].m_tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                const auto &task = tasks[index];
                const TaskId id{job.job().m_id, occurrence.m_number, step, index};
                if (task.m_phase == TaskPhase::Assigned) {
                    assigned.push_back({id, task.m_run, task.m_worker, task.m_incarnation, task.m_checkpoint, false});
                }
                if (task.hasCopy()) {
                    assigned.push_back({id, task.m_copy.m_run, task.m_copy.m_worker, task.m_copy.m_incarnation, task.m_checkpoint, true});
                    m_stragglers.addCopy(id.text(), {task.m_copy.m_worker, policyOf(job).m_priority}, false);
                }
            }
        }
    }
    for (const auto &stored : assigned) {
        WorkerRecord record;
        record.m_id = stored.m_worker;
        record.m_incarnation = stored.m_incarnation;
        auto &worker = m_workers.try_emplace(stored.m_worker, record, m_limits, inheritedLeaseEndOf(stored.m_worker)).first->second;
        if (stored.m_incarnation != worker.m_incarnation) {
            // A worker that has answered this owner is in its latest incarnation. Before that, the latest incarnation among the stored tasks
            // counts; an incarnation that is known from the platform's list only does not end another one.
            const bool isOver = worker.m_answeredAt || (!worker.m_runs.empty() && stored.m_incarnation < worker.m_incarnation);
            if (isOver) {
                endTask(job, stored.m_id, stored.m_run, RunEnd::LeaseLapsed, stored.m_checkpoint);
                continue;
            }
            replaceIncarnation(worker, stored.m_incarnation, "worker_restarted");
        }
        TaskRun run;
        run.m_job = &job;
        run.m_task = stored.m_id;
        run.m_run = stored.m_run;
        run.m_stage = RunStage::Unconfirmed;
        run.m_assignedAt = now;
        run.m_priority = policyOf(job).m_priority;
        run.m_checkpoint = stored.m_checkpoint;
        run.initFromStep(job.stepOf(stored.m_id), m_paceController.model());
        run.m_pace = run.m_isFilling ? unknownPace : run.m_pace;
        run.m_isUndisturbed = false;
        // The original run may have been found to be over before.
        const auto *const task = job.taskAt(stored.m_id);
        run.m_isCopy = stored.m_isCopy && task != nullptr && task->roleOf(stored.m_run) == RunRole::Copy;
        worker.addRun(std::move(run));
    }
}

auto FleetScheduler::configure(std::shared_ptr<const FleetConfiguration> configuration) -> void
{
    if (m_configuration && configuration && m_configuration->m_queues == configuration->m_queues) {
        // The queues are unchanged, so the backlogs stay valid.
        return;
    }
    m_configuration = std::move(configuration);
    // The backlogs refer to the previous policies; the next placement round recomputes them before it reads them.
    for (const auto &[id, job] : m_activeJobs) {
        job->invalidateBacklog();
    }
    m_needsPlacement = true;
}

auto FleetScheduler::policyOf(const FleetJob &job) const noexcept -> const JobQueuePolicy &
{
    const auto &accepted = job.job().m_policy;
    const auto *const current = m_configuration ? m_configuration->queueNamed(accepted.m_name) : nullptr;
    return current == nullptr ? accepted : *current;
}

auto FleetScheduler::addJob(TaskJob &&job, TimePoint now, WallTime wallNow) -> void
{
    // A job that is stored while the jobs are read is passed again after begin().
    if (!isOwner() || m_isPreparing || m_jobs.contains(job.m_id) || m_archived.contains(job.m_id)) {
        return;
    }
    const std::string id = job.m_id;
    auto &added = *m_jobs.emplace(id, std::make_unique<FleetJob>(std::move(job), now, wallNow)).first->second;
    logEvent(LogLevel::Info,
             "job_seen",
             {{"job", id},
              {"queue", added.job().m_policy.m_name},
              {"steps", added.job().m_steps.size()},
              {"core_ms", static_cast<std::int64_t>(added.totalWork() * 1'000)},
              {"waiting", m_waitingCount},
              {"epoch", m_epoch}});
    trackJob(added);
    m_queueWork.add(added.job().m_policy.m_name, added.totalWork());
    m_needsPlacement = true;
}

auto FleetScheduler::cancelJob(std::string_view id) -> void
{
    const auto entry = m_jobs.find(id);
    if (entry != m_jobs.end() && !isFinal(entry->second->progress().m_phase)) {
        finishJob(*entry->second, JobPhase::Cancelled);
    }
}

auto FleetScheduler::finishJob(FleetJob &job, JobPhase phase) -> void
{
    job.setPhase(phase);
    logEvent(LogLevel::Info, "job_final", {{"job", job.job().m_id}, {"state", phaseName(job.progress().m_phase)}, {"epoch", m_epoch}});
    markRunsForStop(job);
    job.dropTasksWhenIdle();
    m_needsPlacement = true;
}

auto FleetScheduler::markRunsForStop(const FleetJob &job) -> void
{
    if (!job.hasRuns()) {
        return;
    }
    for (auto &[id, worker] : m_workers) {
        for (auto &[name, run] : worker.m_runs) {
            if (run.m_job == &job) {
                worker.markForStop(run);
            }
        }
    }
}

auto FleetScheduler::handleTaskChange(FleetJob &job) -> void
{
    job.markChanged();
    if (job.closeFinishedOccurrences()) {
        finishJob(job, JobPhase::Completed);
    }
    job.dropTasksWhenIdle();
    m_needsPlacement = true;
}

auto FleetScheduler::endTask(FleetJob &job, const TaskId &id, RunNumber run, RunEnd how, std::string_view checkpoint) -> void
{
    auto *const task = job.findTask(id);
    const auto role = task == nullptr ? RunRole::None : task->roleOf(run);
    if (role == RunRole::None) {
        return;
    }
    const auto &step = job.stepOf(id);
    if (how == RunEnd::Done && !step.m_isServing) {
        completeTask(job, id, run);
        return;
    }
    // A copy has done less than the original run, unless that has written no checkpoint.
    if (!checkpoint.empty() && (role == RunRole::Original || task->m_checkpoint.empty())) {
        task->m_checkpoint = checkpoint;
    }
    task->release(run);
    if (how == RunEnd::Failed) {
        task->m_lastFailedRun = std::max(task->m_lastFailedRun, run);
        ++task->m_failures;
    }
    if (StragglerWatch::mayBeCopied(step)) {
        m_stragglers.endCopy(id.text());
        m_stragglers.dropCandidate(id.text());
    }
    if (task->m_phase == TaskPhase::Assigned && role == RunRole::Original) {
        promoteCopy(id, *task);
    }
    if (how == RunEnd::Failed || StragglerWatch::mayBeCopied(step)) {
        failAfterLastAttempt(job, step, *task);
    }
    handleTaskChange(job);
}

auto FleetScheduler::failAfterLastAttempt(FleetJob &job, const TaskStep &step, const TaskProgress &task) -> void
{
    // Beside a copy that has failed, the original run may still succeed, and the reverse.
    const bool mayStillSucceed = StragglerWatch::mayBeCopied(step) && task.m_phase == TaskPhase::Assigned;
    const bool hasAttempts = step.m_isServing || task.m_failures < policyOf(job).m_maxAttempts;
    if (!hasAttempts && !mayStillSucceed && !isFinal(job.progress().m_phase)) {
        finishJob(job, JobPhase::Failed);
    }
}

auto FleetScheduler::startDueOccurrences(TimePoint now, WallTime wallNow) -> TimePoint
{
    /// Due times are checked again after this time at the latest, because the wall clock may jump.
    constexpr Milliseconds maxSleep{1'000};
    TimePoint next = now + maxSleep;
    std::erase_if(m_changes.m_awaitingDueTime, [&](FleetJob *job) {
        if (job->openDueOccurrences(wallNow)) {
            m_needsPlacement = true;
        }
        const auto due = job->nextDueTime();
        if (!due || isFinal(job->progress().m_phase)) {
            return true;
        }
        // Bounded before the sum, which would overflow for a due time in the far future.
        next = std::min(next, now + std::clamp<Milliseconds>(*due - wallNow, Milliseconds{1}, maxSleep));
        return false;
    });
    return next;
}

auto FleetScheduler::markArchived(std::span<const std::string> ids, TimePoint now) -> void
{
    if (!isOwner() || m_isPreparing) {
        return;
    }
    for (const auto &id : ids) {
        if (m_archived.insert(id).second) {
            m_archivedAt.emplace_back(now, id);
        }
        m_deletes.insert(progressKey(id));
        if (const auto job = m_jobs.find(id); job != m_jobs.end()) {
            for (std::uint32_t number = 1; number <= job->second->continuationRows(); ++number) {
                m_deletes.insert(progressKey(id, number));
            }
        }
        dropJob(id);
    }
}

auto FleetScheduler::requestArchiving(std::span<const std::string> ids) -> void
{
    ArchiveOrder order;
    order.m_epoch = m_epoch;
    for (const auto &id : ids) {
        if (const auto job = m_jobs.find(id); job != m_jobs.end() && job->second->isSettled()) {
            order.m_jobs.push_back({id, job->second->progress().m_phase});
        }
    }
    if (!order.m_jobs.empty()) {
        m_commands.emplace_back(std::move(order));
    }
}

auto FleetScheduler::dropJob(std::string_view id) -> void
{
    const auto entry = m_jobs.find(id);
    if (entry == m_jobs.end()) {
        return;
    }
    // Runs refer to their job; a job with runs is dropped later, when the retention has passed.
    if (!entry->second->hasRuns()) {
        untrackJob(*entry->second);
        m_jobs.erase(entry);
    }
}

auto FleetScheduler::forgetArchivedJobs(TimePoint now) -> void
{
    while (!m_archivedAt.empty() && now - m_archivedAt.front().first >= m_limits.m_retention) {
        const std::string &id = m_archivedAt.front().second;
        dropJob(id);
        if (m_jobs.contains(id)) {
            return;
        }
        m_archived.erase(id);
        m_archivedAt.pop_front();
    }
}

auto FleetScheduler::advance(TimePoint now, WallTime wallNow) -> TimePoint
{
    if (!isOwner()) {
        return TimePoint::max();
    }
    if (m_isPreparing) {
        return pollWorkers(now);
    }
    TimePoint next = startDueOccurrences(now, wallNow);
    forgetArchivedJobs(now);
    m_evacuation.logConfirmation(m_epoch, now);
    m_evacuation.withdrawAssignments(m_workers);
    for (auto &[id, worker] : m_workers) {
        worker.stopRunsForRemoval(now);
        next = std::min(next, sendStops(worker, now));
        if (!worker.m_runs.empty() && worker.hasLapsed(now)) {
            markSentRunsLost(worker, "lease_lapsed");
        }
    }
    std::erase_if(m_workers, [](const auto &entry) {
        return !entry.second.m_isListed && entry.second.m_runs.empty();
    });
    next = std::min(next, placeWhenDue(now));
    m_heldTaskLog.write(m_changes.m_waiting, m_epoch, now);
    next = std::min(next, commitChanges(now));
    return std::min(next, pollWorkers(now));
}

auto FleetScheduler::waitingJobs() const -> std::optional<WaitingJobs>
{
    if (!m_jobListTime) {
        return std::nullopt;
    }
    WaitingJobs waiting{{}, *m_jobListTime};
    for (const auto &[id, job] : m_activeJobs) {
        if (!isFinal(job->progress().m_phase) && !job->hasStarted() && job->job().m_repeats == 0) {
            ++waiting.m_byQueue[job->job().m_policy.m_name];
        }
    }
    return waiting;
}

auto FleetScheduler::hasChanges() const -> bool
{
    const bool hasUndeclared = std::ranges::any_of(m_declaredSilent, [this](const auto &entry) {
        const auto worker = m_workers.find(entry.first);
        return worker != m_workers.end() && worker->second.m_isAnswering;
    });
    // The leases of a worker that answers again are renewed only after a commit that does not list it as silent.
    return hasUndeclared || !m_changes.m_dirtyJobs.empty() || !m_deletes.empty() || std::ranges::any_of(m_workers, [](const auto &entry) {
               return entry.second.m_processedEnd > entry.second.m_durableEnd;
           });
}

auto FleetScheduler::progressRowsOf(const FleetJob &job) const -> std::vector<std::string>
{
    auto rows = encodeProgressRows(job.progress(), m_limits.m_rowBytes);
    const auto bytes = totalSize(rows);
    const auto maxBytes = std::min(m_limits.m_bytesPerCommit, m_limits.m_rowsPerCommit / 2 * m_limits.m_rowBytes);
    if (bytes <= maxBytes) {
        return rows;
    }
    // Only checkpoints have no limit of their own. Without them a successor starts the tasks from their beginning.
    logEvent(LogLevel::Warning, "checkpoints_not_stored", {{"job", job.job().m_id}, {"bytes", bytes}, {"limit", maxBytes}});
    auto progress = job.progress();
    for (auto &occurrence : progress.m_open) {
        for (auto &step : occurrence.m_steps) {
            for (auto &task : step.m_tasks) {
                task.m_checkpoint.clear();
            }
        }
    }
    return encodeProgressRows(progress, m_limits.m_rowBytes);
}

auto FleetScheduler::collectRows(CommitOrder &order, CommitInFlight &commit) -> void
{
    /// Entries of a commit reserved for deletes; without them, steady changes would let the rows of ended jobs accumulate, which the
    /// next owner has to read.
    constexpr std::size_t entriesReservedForDeletes = 10;
    const std::size_t maxPuts = m_limits.m_rowsPerCommit - std::min(entriesReservedForDeletes, m_deletes.size());
    std::size_t bytes = 0;
    while (!m_changes.m_dirtyJobs.empty() && order.m_puts.size() < maxPuts) {
        const auto first = m_changes.m_dirtyJobs.begin();
        auto *const job = first->second;
        const auto &id = job->job().m_id;
        auto rows = progressRowsOf(*job);
        bytes += totalSize(rows);
        // A job is stored in one transaction, and its rows fit into one that contains no others, see progressRowsOf().
        const bool fits = order.m_puts.size() + rows.size() <= maxPuts && bytes <= m_limits.m_bytesPerCommit;
        if (!fits && !order.m_puts.empty()) {
            break;
        }
        m_changes.m_dirtyJobs.erase(first);
        commit.m_changes.push_back(job->clearDirty());
        job->recordContinuationRows(static_cast<std::uint32_t>(rows.size() - 1));
        for (std::uint32_t number = 0; number < rows.size(); ++number) {
            order.m_puts.push_back({progressKey(id, number), std::move(rows[number])});
        }
        commit.m_jobs.emplace_back(id);
        if (job->isSettled()) {
            // Excluded from further decisions, but kept in m_jobs until it is archived.
            m_activeJobs.erase(id);
        }
    }
    for (auto entry = m_deletes.begin(); entry != m_deletes.end() && order.m_puts.size() + order.m_deletes.size() < m_limits.m_rowsPerCommit;) {
        order.m_deletes.push_back(*entry);
        entry = m_deletes.erase(entry);
    }
}

auto FleetScheduler::collectConsequences(CommitInFlight &commit) -> void
{
    const auto oldest = m_changes.oldestDirtyChange();
    const std::unordered_set<std::string> included(commit.m_jobs.begin(), commit.m_jobs.end());
    for (auto &[id, worker] : m_workers) {
        if (const auto end = worker.lastEndBefore(oldest); end > worker.m_durableEnd) {
            commit.m_acks.push_back({id, worker.m_incarnation, end});
        }
        if (!std::exchange(worker.m_mayHaveUnsentRuns, false)) {
            continue;
        }
        for (const auto &[name, run] : worker.m_runs) {
            worker.m_mayHaveUnsentRuns = worker.m_mayHaveUnsentRuns || run.m_stage == RunStage::Unsent;
            if (run.m_stage == RunStage::Unsent && included.contains(run.m_task.m_job)) {
                commit.m_starts.push_back({id, worker.m_incarnation, name, run.m_run});
            }
        }
    }
}

auto FleetScheduler::commitChanges(TimePoint now) -> TimePoint
{
    if (m_commit) {
        return TimePoint::max();
    }
    const TimePoint due = hasChanges() ? m_nextCommit : std::max(m_nextCommit, m_lastCommit + m_limits.m_idleCommitInterval);
    if (now < due) {
        return due;
    }
    auto commit = std::make_unique<CommitInFlight>();
    CommitOrder order;
    collectRows(order, *commit);
    collectConsequences(*commit);
    if (now >= m_nextModelWrite) {
        m_nextModelWrite = now + m_limits.m_modelInterval;
        if (auto pairs = m_paceController.model().pairs(); !pairs.empty()) {
            order.m_puts.push_back({std::string(modelKey), encodeModelRow(std::move(pairs), m_limits.m_rowBytes)});
        }
    }
    order.m_number = ++m_commitNumber;
    order.m_epoch = m_epoch;
    order.m_waiting = waitingJobs();
    order.m_silentWorkers = declareSilentWorkers(order.m_number, now);
    commit->m_number = order.m_number;
    commit->m_deletes = order.m_deletes;
    m_commands.emplace_back(std::move(order));
    m_commit = std::move(commit);
    m_assignedSinceCommit = 0;
    m_lastCommit = now;
    m_nextCommit = now + m_limits.m_commitInterval;
    return TimePoint::max();
}

auto FleetScheduler::declareSilentWorkers(std::uint64_t commit, TimePoint now) -> std::vector<SilentWorker>
{
    std::vector<SilentWorker> silent;
    if (now - m_storeConfirmedAt > maxStoreSilence) {
        return silent;
    }
    for (const auto &[id, worker] : m_workers) {
        if (worker.m_unansweredReports == 0 || worker.m_runs.empty() || now - worker.m_lastReportAt < minSilence) {
            continue;
        }
        const auto left = std::chrono::ceil<Milliseconds>(worker.m_workerLease.latestExpiry() - now);
        silent.push_back({id, std::max(left, Milliseconds{0})});
        m_declaredSilent[id] = commit;
        if (silent.size() == maxSilentWorkers) {
            break;
        }
    }
    return silent;
}

auto FleetScheduler::handleAnswer(const CommitAnswer &answer, TimePoint now) -> void
{
    if (answer.m_epoch != m_epoch) {
        return;
    }
    if (answer.m_isStored) {
        m_storeConfirmedAt = std::max(m_storeConfirmedAt, answer.m_sentAt);
    }
    if (!m_commit || answer.m_number != m_commit->m_number) {
        return;
    }
    const auto commit = std::move(m_commit);
    if (!answer.m_isStored) {
        for (std::size_t i = 0; i < commit->m_jobs.size(); ++i) {
            if (const auto job = m_jobs.find(commit->m_jobs[i]); job != m_jobs.end()) {
                job->second->restoreChange(commit->m_changes[i]);
                // The job may have been removed as settled, because its row counted as being stored.
                m_activeJobs.emplace(job->second->job().m_id, job->second.get());
            }
        }
        m_deletes.insert(commit->m_deletes.begin(), commit->m_deletes.end());
        m_nextCommit = now + m_limits.m_commitRetryDelay;
        return;
    }
    std::erase_if(m_declaredSilent, [&commit](const auto &entry) {
        return entry.second < commit->m_number;
    });
    requestArchiving(commit->m_jobs);
    for (const auto &ack : commit->m_acks) {
        auto *const worker = findWorker(ack.m_worker);
        if (worker != nullptr && worker->m_incarnation == ack.m_incarnation) {
            worker->markEndsDurable(ack.m_end);
        }
    }
    for (const auto &start : commit->m_starts) {
        auto *const worker = findWorker(start.m_worker);
        if (worker == nullptr || worker->m_incarnation != start.m_incarnation) {
            continue;
        }
        auto *const run = worker->findRun(start.m_task);
        if (run != nullptr && run->m_run == start.m_run && run->m_stage == RunStage::Unsent) {
            sendStart(*worker, *run, now);
        }
    }
}
}
