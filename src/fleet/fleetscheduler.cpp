#include "burdockspur/fleet/fleetscheduler.hpp"

#include "burdockspur/core/invariant.hpp"
#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/impl/fleetschedulerparts.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>

namespace Burdockspur
{
FleetScheduler::FleetScheduler(const FleetLimits &limits)
    : m_limits(limits)
{
}

FleetScheduler::~FleetScheduler() = default;

auto FleetScheduler::begin(Epoch epoch, std::vector<StoredJob> &&jobs, TimePoint now, WallTime wallNow) -> void
{
    resign();
    m_epoch = epoch;
    m_storeConfirmedAt = now;
    m_nextCommit = now;
    m_nextModel = now + m_limits.m_modelInterval;
    std::vector<std::string> ended; ///< stored as such by the previous owner
    for (auto &stored : jobs) {
        auto job = std::make_unique<FleetJob>(std::move(stored.m_job), now, wallNow);
        if (stored.m_progress && !job->restore(std::move(*stored.m_progress))) {
            // Where its tasks run is not known, so none of them may be started again.
            logEvent(LogLevel::Error, "job_progress_unfit", {{"job", job->job().m_id}});
            continue;
        }
        auto &entry = *m_jobs.insert_or_assign(job->job().m_id, std::move(job)).first->second;
        watch(entry);
        restoreRuns(entry, now);
        if (stored.m_isCancelled) {
            entry.setPhase(JobPhase::Cancelled);
        }
        if (isFinal(entry.progress().m_phase)) {
            wantStops(entry);
            entry.dropTasksWhenIdle();
        }
        if (entry.isSettled()) {
            ended.push_back(entry.job().m_id);
            m_activeJobs.erase(entry.job().m_id);
        }
    }
    orderArchiving(ended);
    m_mustPlace = true;
}

auto FleetScheduler::watch(FleetJob &job) -> void
{
    m_activeJobs.emplace(job.job().m_id, &job);
    job.tellChanges(m_changes);
    if (job.nextDue()) {
        m_changes.m_due.insert(&job);
    }
}

auto FleetScheduler::unwatch(FleetJob &job) -> void
{
    m_waitingCount -= job.backlog().m_taskCount;
    m_waitingFillCpu -= job.backlog().m_fillCpu;
    m_changes.forget(job);
    m_activeJobs.erase(job.job().m_id);
}

auto FleetScheduler::resign() -> void
{
    m_epoch = 0;
    m_jobsAsOf.reset();
    m_activeJobs.clear();
    m_changes.clear();
    m_kinds.clear();
    m_resumeAt.reset();
    m_jobs.clear();
    m_workers.clear();
    m_archived.clear();
    m_archivedAt.clear();
    m_deletes.clear();
    m_commands.clear();
    m_commit.reset();
    m_commitNumber = 0;
    m_waitingCount = 0;
    m_waitingFillCpu = 0;
}

auto FleetScheduler::restoreRuns(FleetJob &job, TimePoint now) -> void
{
    // Ending a task may drop the occurrences, so they are not changed while they are walked.
    std::vector<std::pair<TaskId, TaskProgress>> assigned;
    for (const auto &occurrence : job.progress().m_open) {
        for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
            const auto &tasks = occurrence.m_steps[step].m_tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].m_phase == TaskPhase::Assigned) {
                    assigned.emplace_back(TaskId{job.job().m_id, occurrence.m_number, step, index}, tasks[index]);
                }
            }
        }
    }
    for (const auto &[id, task] : assigned) {
        WorkerRecord record;
        record.m_id = task.m_worker;
        record.m_incarnation = task.m_incarnation;
        auto &worker = m_workers.try_emplace(task.m_worker, record, m_limits, now + m_limits.m_unknownLease).first->second;
        if (task.m_incarnation < worker.m_record.m_incarnation) {
            // A later incarnation was used, so this one has ended.
            endTask(job, id, RunEnd::LeaseLapsed, task.m_checkpoint);
            continue;
        }
        if (task.m_incarnation > worker.m_record.m_incarnation) {
            replaceIncarnation(worker, record, now);
        }
        TaskRun run;
        run.m_job = &job;
        run.m_task = id;
        run.m_run = task.m_run;
        run.m_stage = RunStage::Unconfirmed;
        run.m_assignedAt = now;
        run.m_checkpoint = task.m_checkpoint;
        run.describe(job.stepOf(id), m_paces.model());
        worker.add(std::move(run));
    }
}

auto FleetScheduler::configure(std::shared_ptr<const FleetConfiguration> configuration) -> void
{
    if (m_configuration && configuration && m_configuration->m_queues == configuration->m_queues) {
        // Confirmed without a change of the queues; what was computed with them stays true.
        return;
    }
    m_configuration = std::move(configuration);
    // Backlogs refer to the former policies; the next placement computes them again before it reads them.
    for (const auto &[id, job] : m_activeJobs) {
        job->noteTasksChanged();
    }
    m_mustPlace = true;
}

auto FleetScheduler::policyOf(const FleetJob &job) const noexcept -> const JobQueuePolicy &
{
    const auto &accepted = job.job().m_policy;
    const auto *const current = m_configuration ? m_configuration->queueNamed(accepted.m_name) : nullptr;
    return current == nullptr ? accepted : *current;
}

auto FleetScheduler::addJob(TaskJob &&job, TimePoint now, WallTime wallNow) -> void
{
    if (!isOwner() || m_jobs.contains(job.m_id) || m_archived.contains(job.m_id)) {
        return;
    }
    const std::string id = job.m_id;
    logEvent(LogLevel::Info,
             "job_seen",
             {{"job", id}, {"queue", job.m_policy.m_name}, {"steps", job.m_steps.size()}, {"waiting", m_waitingCount}, {"epoch", m_epoch}});
    auto &added = *m_jobs.emplace(id, std::make_unique<FleetJob>(std::move(job), now, wallNow)).first->second;
    watch(added);
    /// Share of a new job in the running mean of its queue.
    constexpr double meanRate = 0.05;
    const auto mean = m_meanWork.try_emplace(added.job().m_policy.m_name, added.wholeWork()).first;
    mean->second += meanRate * (added.wholeWork() - mean->second);
    m_mustPlace = true;
}

auto FleetScheduler::cancelJob(std::string_view id) -> void
{
    const auto entry = m_jobs.find(id);
    if (entry != m_jobs.end() && !isFinal(entry->second->progress().m_phase)) {
        finish(*entry->second, JobPhase::Cancelled);
    }
}

auto FleetScheduler::finish(FleetJob &job, JobPhase phase) -> void
{
    job.setPhase(phase);
    logEvent(LogLevel::Info, "job_final", {{"job", job.job().m_id}, {"state", phaseName(job.progress().m_phase)}, {"epoch", m_epoch}});
    wantStops(job);
    job.dropTasksWhenIdle();
    m_mustPlace = true;
}

auto FleetScheduler::wantStops(const FleetJob &job) -> void
{
    if (!job.hasRuns()) {
        return;
    }
    for (auto &[id, worker] : m_workers) {
        for (auto &[name, run] : worker.m_runs) {
            if (run.m_job == &job) {
                worker.wantStop(run);
            }
        }
    }
}

auto FleetScheduler::afterChange(FleetJob &job) -> void
{
    job.touch();
    if (job.closeDone()) {
        finish(job, JobPhase::Completed);
    }
    job.dropTasksWhenIdle();
    m_mustPlace = true;
}

auto FleetScheduler::endTask(FleetJob &job, const TaskId &id, RunEnd how, std::string_view checkpoint) -> void
{
    auto *const task = job.task(id);
    if (task == nullptr || task->m_phase == TaskPhase::Done) {
        return;
    }
    const auto &step = job.stepOf(id);
    task->m_phase = TaskPhase::Waiting;
    task->m_worker.clear();
    task->m_incarnation = 0;
    if (!checkpoint.empty()) {
        task->m_checkpoint = checkpoint;
    }
    if (how == RunEnd::Done && !step.m_isServing) {
        task->m_phase = TaskPhase::Done;
        task->m_checkpoint.clear();
    }
    if (how == RunEnd::Failed) {
        countFailure(job, *task, task->m_run);
    }
    afterChange(job);
}

auto FleetScheduler::countFailure(FleetJob &job, TaskProgress &task, RunNumber run) -> void
{
    // A successor is told of the same end again until it is acknowledged.
    if (run <= task.m_failedRun) {
        return;
    }
    task.m_failedRun = run;
    ++task.m_failures;
    if (!job.isServing() && task.m_failures >= policyOf(job).m_maxAttempts) {
        finish(job, JobPhase::Failed);
    }
}

auto FleetScheduler::beginDueOccurrences(TimePoint now, WallTime wallNow) -> TimePoint
{
    /// The wall clock may jump, so a due time is looked at again after this time at the latest.
    constexpr Milliseconds longestSleep{1'000};
    TimePoint next = now + longestSleep;
    std::erase_if(m_changes.m_due, [&](FleetJob *job) {
        if (job->beginDue(wallNow)) {
            m_mustPlace = true;
        }
        const auto due = job->nextDue();
        if (!due || isFinal(job->progress().m_phase)) {
            return true;
        }
        next = std::min(next, now + std::max(Milliseconds{1}, std::chrono::duration_cast<Milliseconds>(*due - wallNow)));
        return false;
    });
    return next;
}

auto FleetScheduler::noteArchived(std::span<const std::string> ids, TimePoint now) -> void
{
    if (!isOwner()) {
        return;
    }
    for (const auto &id : ids) {
        if (m_archived.insert(id).second) {
            m_archivedAt.emplace_back(now, id);
        }
        m_deletes.insert(progressKey(id));
        dropJob(id);
    }
}

auto FleetScheduler::orderArchiving(std::span<const std::string> ids) -> void
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
    // A run refers to its job, which is then dropped when the retention has passed.
    if (!entry->second->hasRuns()) {
        unwatch(*entry->second);
        m_jobs.erase(entry);
    }
}

auto FleetScheduler::forgetOldJobs(TimePoint now) -> void
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
    TimePoint next = beginDueOccurrences(now, wallNow);
    forgetOldJobs(now);
    for (auto &[id, worker] : m_workers) {
        leaveWorker(worker, now);
        next = std::min(next, stopRuns(worker, now));
        if (!worker.m_runs.empty() && now >= worker.m_life.endsBy()) {
            loseSentRuns(worker, "lease_lapsed");
        }
    }
    std::erase_if(m_workers, [](const auto &entry) {
        return !entry.second.m_isListed && entry.second.m_runs.empty();
    });
    next = std::min(next, placeWhenDue(now));
    next = std::min(next, commitChanges(now));
    return std::min(next, pollWorkers(now));
}

auto FleetScheduler::waitingJobs() const -> std::optional<WaitingJobs>
{
    if (!m_jobsAsOf) {
        return std::nullopt;
    }
    WaitingJobs waiting{{}, *m_jobsAsOf};
    for (const auto &[id, job] : m_activeJobs) {
        if (!isFinal(job->progress().m_phase) && !job->hasBegun() && job->job().m_repeats == 0) {
            ++waiting.m_byQueue[job->job().m_policy.m_name];
        }
    }
    return waiting;
}

auto FleetScheduler::hasChanges() const -> bool
{
    return !m_changes.m_dirty.empty() || !m_deletes.empty() || std::ranges::any_of(m_workers, [](const auto &entry) {
        return entry.second.m_seenEnd > entry.second.m_durableEnd;
    });
}

auto FleetScheduler::collectRows(CommitOrder &order, CommitInFlight &commit) -> void
{
    /// Entries that changes leave to deletes, or the rows of ended jobs would pile up for the next takeover.
    constexpr std::size_t entriesForDeletes = 10;
    const std::size_t mostPuts = m_limits.m_rowsPerCommit - std::min(entriesForDeletes, m_deletes.size());
    std::size_t bytes = 0;
    while (!m_changes.m_dirty.empty() && order.m_puts.size() < mostPuts && bytes < m_limits.m_bytesPerCommit) {
        const auto first = m_changes.m_dirty.begin();
        auto *const job = first->second;
        const auto &id = job->job().m_id;
        m_changes.m_dirty.erase(first);
        commit.m_changes.push_back(job->takeDirty());
        order.m_puts.push_back({progressKey(id), encodeRow(job->progress())});
        bytes += order.m_puts.back().m_value.size();
        commit.m_jobs.emplace_back(id);
        if (job->isSettled()) {
            // Left out of further decisions; it stays known until it is forgotten.
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
    const auto oldest = m_changes.oldestDirty();
    const std::unordered_set<std::string> included(commit.m_jobs.begin(), commit.m_jobs.end());
    for (auto &[id, worker] : m_workers) {
        if (const auto end = worker.endBefore(oldest); end > worker.m_durableEnd) {
            commit.m_acks.push_back({id, worker.m_record.m_incarnation, end});
        }
        if (!std::exchange(worker.m_hasRecorded, false)) {
            continue;
        }
        for (const auto &[name, run] : worker.m_runs) {
            worker.m_hasRecorded = worker.m_hasRecorded || run.m_stage == RunStage::Recorded;
            if (run.m_stage == RunStage::Recorded && included.contains(run.m_task.m_job)) {
                commit.m_starts.push_back({id, worker.m_record.m_incarnation, name, run.m_run});
            }
        }
    }
}

auto FleetScheduler::commitChanges(TimePoint now) -> TimePoint
{
    if (m_commit) {
        return TimePoint::max();
    }
    const TimePoint due = hasChanges() ? m_nextCommit : std::max(m_nextCommit, m_lastCommit + m_limits.m_idleCommit);
    if (now < due) {
        return due;
    }
    auto commit = std::make_unique<CommitInFlight>();
    CommitOrder order;
    collectRows(order, *commit);
    collectConsequences(*commit);
    if (now >= m_nextModel) {
        m_nextModel = now + m_limits.m_modelInterval;
        if (const auto pairs = m_paces.model().pairs(); !pairs.empty()) {
            order.m_puts.push_back({std::string(modelKey), encodeRow(pairs)});
        }
    }
    order.m_number = ++m_commitNumber;
    order.m_epoch = m_epoch;
    order.m_waiting = waitingJobs();
    commit->m_number = order.m_number;
    commit->m_sentAt = now;
    commit->m_deletes = order.m_deletes;
    m_commands.emplace_back(std::move(order));
    m_commit = std::move(commit);
    m_lastCommit = now;
    m_nextCommit = now + m_limits.m_commitInterval;
    return TimePoint::max();
}

auto FleetScheduler::take(const CommitAnswer &answer, TimePoint now) -> void
{
    if (!m_commit || answer.m_epoch != m_epoch || answer.m_number != m_commit->m_number) {
        return;
    }
    const auto commit = std::move(m_commit);
    if (!answer.m_isStored) {
        for (std::size_t i = 0; i < commit->m_jobs.size(); ++i) {
            if (const auto job = m_jobs.find(commit->m_jobs[i]); job != m_jobs.end()) {
                job->second->touchAgain(commit->m_changes[i]);
                // It may have been settled since, because its row counted as being stored.
                m_activeJobs.emplace(job->second->job().m_id, job->second.get());
            }
        }
        m_deletes.insert(commit->m_deletes.begin(), commit->m_deletes.end());
        m_nextCommit = now + m_limits.m_commitRetry;
        return;
    }
    m_storeConfirmedAt = commit->m_sentAt;
    orderArchiving(commit->m_jobs);
    for (const auto &ack : commit->m_acks) {
        auto *const worker = workerNamed(ack.m_worker);
        if (worker != nullptr && worker->m_record.m_incarnation == ack.m_incarnation) {
            worker->noteDurable(ack.m_end);
        }
    }
    for (const auto &start : commit->m_starts) {
        auto *const worker = workerNamed(start.m_worker);
        if (worker == nullptr || worker->m_record.m_incarnation != start.m_incarnation) {
            continue;
        }
        auto *const run = worker->run(start.m_task);
        if (run != nullptr && run->m_run == start.m_run && run->m_stage == RunStage::Recorded) {
            sendStart(*worker, *run, now);
        }
    }
}
}
