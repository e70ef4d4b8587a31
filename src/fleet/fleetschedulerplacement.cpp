#include "burdockspur/fleet/fleetscheduler.hpp"
#include "burdockspur/fleet/placementorder.hpp"
#include "burdockspur/fleet/poolcapacities.hpp"
#include "burdockspur/impl/fleetschedulerparts.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

namespace Burdockspur
{
namespace
{
/// Largest number of task kinds that are kept; beyond it, all kinds are renumbered, which drops those of ended jobs.
constexpr std::size_t maxKinds = 4'096;

/// A filling task is placed only where at least this share of its declared processors is unused; it shares the rest.
constexpr double minFreeCpuShare = 0.7;

/// A round uses one of this many start orders that it may send for idle jobs, so that a backlog of them does not hold up work that can
/// still meet its objective while the owner cannot process more starts.
constexpr std::size_t startsPerIdleStart = 4;

/// Weight of a job, as the users value jobs: a constant part, plus a part in proportion to its work relative to the mean of its queue,
/// up to a maximum.
constexpr double baseWeight = 0.3;
constexpr double maxWeight = 4.0;

/// Prefers workers that already have serving tasks of the same image: the same filling images slow them, so keeping them together
/// leaves other workers free for those filling images.
/// @returns 2 if all serving tasks of the worker have the image, 1 if it has no serving tasks, 0 otherwise
[[nodiscard]] auto imageAffinity(const FleetWorker &worker, ImageId image) noexcept -> int
{
    bool isEmpty = true;
    for (const auto &[name, run] : worker.m_runs) {
        if (run.m_isServing) {
            isEmpty = false;
            if (run.m_image != image) {
                return 0;
            }
        }
    }
    return isEmpty ? 1 : 2;
}

/// @brief Since when an idle job is held back.
///
/// The wait of its oldest task counts as well as its time without a run: a job with many tasks would otherwise be idle for most of the time
/// between short runs. A task that a worker refuses begins to wait anew, but the job stays idle.
[[nodiscard]] auto heldBackSince(const JobBacklog &backlog) noexcept -> TimePoint
{
    return std::min(backlog.m_waitingSince, backlog.m_idleSince.value_or(backlog.m_waitingSince));
}

/// Comparison for the heap of a search, whose front is the best candidate.
constexpr auto isWorse = [](const auto &left, const auto &right) noexcept {
    return right.isBefore(left);
};

[[nodiscard]] auto hasRun(const JobBacklog::Task &task) noexcept -> bool
{
    return task.m_progress->m_run > 0;
}

[[nodiscard]] auto hasLabel(const WorkerRecord &record, std::string_view label) noexcept -> bool
{
    return label.empty() || std::ranges::find(record.m_labels, label) != record.m_labels.end();
}
}

auto FleetScheduler::hasUnusedCpu(std::int64_t freeFillingCpu, std::int64_t demand) noexcept -> bool
{
    return static_cast<double>(freeFillingCpu) >= minFreeCpuShare * static_cast<double>(demand);
}

auto FleetScheduler::rankOf(const FleetJob &job, const TaskStep &step, TimePoint now) const -> JobRank
{
    const auto &backlog = job.backlog();
    const auto &policy = *backlog.m_policy;
    JobRank rank{.m_priority = policy.m_priority, .m_deadline = job.deadline()};
    if (step.m_isServing) {
        rank.m_isDeferred = true;
        return rank;
    }
    if (now + backlog.m_criticalPath > job.expiry()) {
        rank.m_lateness = 2;
    } else if (now + backlog.m_criticalPath > job.deadline()) {
        rank.m_lateness = 1;
    }
    const double mean = m_queueWork.mean(policy.m_name).value_or(0);
    const double work = mean <= 0 ? 1.0 : job.totalWork() / mean;
    const double weight = std::min(maxWeight, baseWeight + (1.0 - baseWeight) * work);
    rank.m_cost = backlog.m_coreSeconds / weight;
    return rank;
}

auto FleetScheduler::updateBacklogs(TimePoint now) -> void
{
    if (m_kinds.size() > maxKinds) {
        m_kinds.clear();
        for (const auto &[id, job] : m_activeJobs) {
            job->invalidateBacklog();
        }
    }
    for (auto *const job : std::exchange(m_changes.m_staleBacklogs, {})) {
        m_waitingCount -= job->backlog().m_taskCount;
        m_waitingFillCpu -= job->backlog().m_fillCpu;
        job->updateBacklog(policyOf(*job), m_kinds, now);
        ++m_placementCounters.m_jobsUpdated;
        m_waitingCount += job->backlog().m_taskCount;
        m_waitingFillCpu += job->backlog().m_fillCpu;
        if (job->backlog().m_taskCount > 0) {
            m_changes.m_waiting.insert(job);
        } else {
            m_changes.m_waiting.erase(job);
        }
    }
}

auto FleetScheduler::mayDefer(const JobBacklog::Task &task, TimePoint now) const noexcept -> bool
{
    return !hasRun(task) && now - task.m_waitingSince < m_limits.m_servingMaxWait;
}

auto FleetScheduler::isIdleTooLong(const FleetJob &job, const PoolCapacities &pools, TimePoint now) const noexcept -> bool
{
    const auto &backlog = job.backlog();
    const bool isIdle = backlog.m_idleSince && !job.hasRuns();
    return isIdle && now - heldBackSince(backlog) >= m_limits.m_maxIdle && pools.isMostlyFree(backlog.m_policy->m_pool);
}

auto FleetScheduler::addGroups(FleetJob &job, std::vector<PlacementGroup> &groups, const PoolCapacities &pools, TimePoint now) -> void
{
    const auto add = [&](const PlacementGroup &group) {
        groups.push_back(group);
    };
    const bool isIdleTooLong = this->isIdleTooLong(job, pools, now);
    for (const auto &step : job.backlog().m_steps) {
        const auto &contract = job.job().m_steps[step.m_step];
        const auto rank = rankOf(job, contract, now);
        if (isIdleTooLong && !contract.m_isServing) {
            // The longest wait goes first: any other order could hold the same jobs back again.
            add({JobRank{.m_turn = PlacementTurn::IdleJob, .m_heldBackSince = heldBackSince(job.backlog())}, &job, &step});
        }
        if (!rank.m_isDeferred) {
            add({rank, &job, &step});
            continue;
        }
        // Serving tasks that may not wait any longer form a group of their own, which is not deferred.
        const auto canWait = [&](const JobBacklog::Task &task) {
            return mayDefer(task, now);
        };
        const auto isDelayed = [&](const JobBacklog::Task &task) {
            return now - task.m_waitingSince >= m_limits.m_servingMaxDelay;
        };
        const auto deferrable = static_cast<std::size_t>(std::ranges::count_if(step.m_tasks, canWait));
        if (deferrable > 0) {
            add({rank, &job, &step});
        }
        if (deferrable < step.m_tasks.size()) {
            auto groupRank = rank;
            groupRank.m_isDeferred = false;
            // A task that has run has to run again whatever else waits.
            if (std::ranges::any_of(step.m_tasks, hasRun)) {
                groupRank.m_turn = PlacementTurn::Restart;
                groupRank.m_priority = 0;
            } else if (std::ranges::any_of(step.m_tasks, isDelayed)) {
                groupRank.m_turn = PlacementTurn::DelayedServing;
            }
            add({groupRank, &job, &step});
        }
    }
}

auto FleetScheduler::tasksOf(const PlacementGroup &group, TimePoint now) const -> std::vector<WaitingTask>
{
    std::vector<WaitingTask> tasks;
    const auto &step = *group.m_step;
    const auto &contract = group.m_job->job().m_steps[step.m_step];
    tasks.reserve(step.m_tasks.size());
    for (const auto &task : step.m_tasks) {
        const bool isOfGroup = !contract.m_isServing || mayDefer(task, now) == group.m_rank.m_isDeferred;
        // The first turn of an idle job may have assigned the task earlier in this round.
        if (isOfGroup && task.m_progress->m_phase == TaskPhase::Waiting) {
            tasks.push_back({group.m_job,
                             step.m_occurrence,
                             step.m_step,
                             task.m_index,
                             task.m_progress,
                             task.m_waitingSince,
                             &contract,
                             group.m_job->backlog().m_policy,
                             group.m_rank.m_turn,
                             nullptr});
        }
    }
    return tasks;
}

auto FleetScheduler::mayAssign() const noexcept -> bool
{
    return m_startWindow.room() > m_assignedSinceCommit;
}

auto FleetScheduler::placeWhenDue(TimePoint now) -> TimePoint
{
    if (!mayAssign()) {
        // The next answer to a start order makes room.
        m_pass.reset();
        m_needsPlacement = true;
        return TimePoint::max();
    }
    const bool isDue = m_needsPlacement || m_pass.isOpen() || (m_waitingCount > 0 && now >= m_nextPlacement);
    // An assignment takes effect only with a commit, so a round before a commit is possible would only have to be repeated.
    const bool isUseful = m_pass.isOpen() || (!m_commit && now >= m_nextCommit);
    if (isDue && isUseful) {
        m_needsPlacement = false;
        placeWaitingTasks(now);
        m_nextPlacement = now + m_limits.m_placementInterval;
    }
    if (m_pass.isOpen()) {
        // Process the pending inputs before the pass is continued.
        return now;
    }
    TimePoint next = TimePoint::max();
    if (!m_commit && m_needsPlacement) {
        next = m_nextCommit;
    }
    if (!m_commit && m_waitingCount > 0) {
        next = std::min(next, std::max(m_nextPlacement, m_nextCommit));
    }
    return next;
}

auto FleetScheduler::placeWaitingTasks(TimePoint now) -> void
{
    ++m_placementCounters.m_rounds;
    updateBacklogs(now);
    PoolCapacities pools(m_limits, m_evacuation, now);
    double capacity = 1.0;
    for (auto &[id, worker] : m_workers) {
        pools.add(worker);
        capacity += !worker.isDescribed() || m_evacuation.isClosed(worker) ? 0.0 : static_cast<double>(worker.m_record.m_capacity.m_cpuMillis);
    }
    std::vector<PlacementGroup> groups;
    for (auto *const job : m_changes.m_waiting) {
        addGroups(*job, groups, pools, now);
    }
    m_lookAhead.beginRound(groups, pools, now);
    const bool hasNewFirst = std::ranges::any_of(groups, [this, now](const PlacementGroup &group) {
        return group.m_step->m_newestSince >= now && m_pass.hasTried(group);
    });
    const bool isNewPass = !m_pass.isOpen();
    const bool isAtFront = m_pass.beginRound(hasNewFirst);
    if (isAtFront) {
        m_reservations.clear();
    }
    for (const auto &reservation : m_reservations) {
        pools.reserve(reservation.m_worker, reservation.m_demand);
    }
    PlacementOrder order(m_kinds);
    for (const auto &group : groups) {
        if (isAtFront || !m_pass.hasTried(group)) {
            order.add(group);
        }
    }
    order.buildHeaps();
    if (isNewPass) {
        // The number of the round is added so that a room of 1 is used for an idle job in every fourth round.
        m_idleStartsLeft = (m_startWindow.room() + m_placementCounters.m_rounds % startsPerIdleStart) / startsPerIdleStart;
    }
    m_triesLeft = m_limits.m_triesPerRound;
    bool isComplete = true;
    while (const auto group = order.next()) {
        if (placeGroup(*group, order, pools, now)) {
            continue;
        }
        isComplete = false;
        if (mayAssign()) {
            m_pass.interrupt(*group);
            ++m_placementCounters.m_truncatedRounds;
        } else {
            m_pass.reset();
            m_needsPlacement = true;
        }
        break;
    }
    if (isComplete) {
        m_pass.reset();
    }
    m_lookAhead.endRound(groups, pools, now);
    // Updates the counts of tasks that still wait.
    updateBacklogs(now);
    if (isComplete) {
        yieldCopies();
        placeCopies(pools, now);
    }
    m_paceController.recordBacklog(static_cast<double>(m_waitingFillCpu) / capacity, now);
}

auto FleetScheduler::placeGroup(const PlacementGroup &group, PlacementOrder &order, PoolCapacities &pools, TimePoint now) -> bool
{
    if (m_triesLeft == 0 || !mayAssign()) {
        return false;
    }
    const bool isOfIdleJob = group.m_rank.m_turn == PlacementTurn::IdleJob;
    if (isOfIdleJob && (group.m_job->hasRuns() || m_idleStartsLeft == 0)) {
        return true;
    }
    const auto claim = m_lookAhead.claimOf(group, now);
    if (m_lookAhead.isKnownRefused(claim)) {
        group.m_job->m_refusal = m_lookAhead.lastRefusal();
        return true;
    }
    const auto tasks = tasksOf(group, now);
    if (tasks.empty()) {
        return true;
    }
    const auto countTries = [this](std::size_t tries) {
        m_placementCounters.m_tasksTried += tries;
        m_triesLeft -= std::min(m_triesLeft, tries);
    };
    if (tasks.front().m_step->m_isGang) {
        // All members start together, so they wait until the last run of every member has ended.
        if (tasks.size() == tasks.front().m_step->m_count) {
            countTries(tasks.size());
            const bool isPlaced = placeGang(tasks, claim, pools, now);
            m_idleStartsLeft -= isPlaced && isOfIdleJob ? 1 : 0;
        }
        return true;
    }
    std::optional<WorkerSearch> search;
    for (const auto &task : tasks) {
        if (m_triesLeft == 0 || !mayAssign()) {
            return false;
        }
        countTries(1);
        if (!search) {
            search = beginSearch(task, claim, pools, now);
        }
        const auto choice = chooseWorker(*search, task, pools, now);
        if (choice.m_worker != nullptr) {
            assign(task, choice, task.m_progress->nextRun(), now);
            const auto &capacity = pools.update(*choice.m_worker);
            m_lookAhead.recordAssignment(capacity, claim, now);
            examine(*search, capacity, task, now);
            if (isOfIdleJob) {
                --m_idleStartsLeft;
                break;
            }
            continue;
        }
        group.m_job->m_refusal = choice.m_refusal;
        const bool mayReserve = task.m_step->m_isServing && !group.m_rank.m_isDeferred;
        if (mayReserve && reserveCapacity(task, pools, now)) {
            // What was reserved is not free for the other tasks either.
            search.reset();
            continue;
        }
        const bool hasStepLimit = task.m_step->m_maxPerWorker != 0;
        if (hasStepLimit && choice.m_refusal.workers(PlacementGuard::EarlierRun) > 0) {
            // The worker that still has a run of this task may accept another task of the step.
            continue;
        }
        m_lookAhead.recordRefusal(claim, choice.m_refusal);
        // Reserved room is refused by the duration and the rank of a task too, so it does not exclude every task that demands as much.
        if (choice.m_refusal.workers(PlacementGuard::StepLimit) + choice.m_refusal.workers(PlacementGuard::LookAhead) == 0) {
            order.markUnplaceable(group, choice.m_refusal);
        }
        break;
    }
    return true;
}

auto FleetScheduler::beginSearch(const WaitingTask &first, const RoomClaim &claim, PoolCapacities &pools, TimePoint now) -> WorkerSearch
{
    WorkerSearch search{m_paceController.model().imageId(first.m_step->m_image), claim, {}, {}};
    for (const auto &candidate : pools.freeCapacitiesOf(first.m_policy->m_pool)) {
        examine(search, candidate, first, now);
    }
    return search;
}

auto FleetScheduler::examine(WorkerSearch &search, const FreeCapacity &candidate, const WaitingTask &waiting, TimePoint now) -> void
{
    const auto &step = *waiting.m_step;
    Resources demand = step.m_demand;
    demand.m_cpuMillis = step.m_isFilling ? 0 : demand.m_cpuMillis;
    const bool bypassesGuards = waiting.m_turn == PlacementTurn::IdleJob;
    if (!demand.fitsInto(candidate.m_free)) {
        Resources unreserved = candidate.m_free;
        unreserved += candidate.m_reserved;
        search.m_refusal.count(demand.fitsInto(unreserved) ? PlacementGuard::Reservation : PlacementGuard::Room);
        return;
    }
    // Serving tasks and those of idle jobs run on an untrusted worker rather than not at all; others could use up their attempts there.
    if (!candidate.m_isTrusted && !step.m_isServing && !bypassesGuards) {
        search.m_refusal.count(PlacementGuard::Trust);
        return;
    }
    const auto &record = candidate.m_worker->m_record;
    if (!hasLabel(record, step.m_requiredLabel)) {
        search.m_refusal.count(PlacementGuard::Label);
        return;
    }
    if (!m_lookAhead.mayUse(candidate, search.m_claim)) {
        search.m_refusal.count(PlacementGuard::LookAhead);
        return;
    }
    const bool isInRack = step.m_preferredRack.empty() || record.m_rack == step.m_preferredRack;
    const auto fit =
        step.m_isFilling ? fillFitOf(step, search.m_image, candidate, isInRack, bypassesGuards, now) : roomFitOf(step, search, candidate, isInRack);
    if (fit.m_guard) {
        search.m_refusal.count(*fit.m_guard);
        if (!bypassesGuards) {
            return;
        }
    }
    search.m_candidates.push_back({&candidate, fit});
    std::ranges::push_heap(search.m_candidates, isWorse);
}

auto FleetScheduler::chooseWorker(WorkerSearch &search, const WaitingTask &waiting, const PoolCapacities &pools, TimePoint now) -> WorkerChoice
{
    const auto &step = *waiting.m_step;
    const auto task = waiting.id();
    const auto name = task.text();
    auto &candidates = search.m_candidates;
    std::vector<WorkerSearch::Candidate> withEarlierRun;
    WorkerChoice choice;
    while (choice.m_worker == nullptr && !candidates.empty()) {
        std::ranges::pop_heap(candidates, isWorse);
        const auto candidate = candidates.back();
        candidates.pop_back();
        auto &worker = *candidate.m_capacity->m_worker;
        // These searches are expensive, so only workers that would otherwise be chosen reach them.
        if (step.m_maxPerWorker != 0 && worker.countTasksOfStep(task) >= step.m_maxPerWorker) {
            search.m_refusal.count(PlacementGuard::StepLimit);
        } else if (worker.hasRun(name)) {
            choice.m_refusal.count(PlacementGuard::EarlierRun);
            withEarlierRun.push_back(candidate);
        } else {
            choice.m_worker = &worker;
            choice.m_guard = candidate.m_fit.m_guard;
        }
    }
    // The worker may still take other tasks of the step.
    for (const auto &candidate : withEarlierRun) {
        candidates.push_back(candidate);
        std::ranges::push_heap(candidates, isWorse);
    }
    const auto earlierRuns = choice.m_refusal.workers(PlacementGuard::EarlierRun);
    choice.m_refusal = search.m_refusal;
    choice.m_refusal.count(PlacementGuard::EarlierRun, earlierRuns);
    choice.m_refusal.count(PlacementGuard::Unavailable, pools.unavailableWorkersOf(waiting.m_policy->m_pool));
    choice.m_refusal.m_at = now;
    return choice;
}

auto FleetScheduler::roomFitOf(const TaskStep &step, const WorkerSearch &search, const FreeCapacity &candidate, bool isInRack) const -> WorkerFit
{
    const int affinity = step.m_isServing ? imageAffinity(*candidate.m_worker, search.m_image) : 0;
    const auto fit = m_lookAhead.fitOf(candidate, search.m_claim);
    return {std::nullopt, {candidate.m_isTrusted, true, isInRack, affinity, fit.m_keptRoom, fit.m_closeness}};
}

auto FleetScheduler::fillFitOf(const TaskStep &step, ImageId image, const FreeCapacity &candidate, bool isInRack, bool bypassesGuards, TimePoint now) const
    -> WorkerFit
{
    /// In thousandths, so that fits are integers.
    constexpr double thousandths = 1000;
    const auto demand = step.m_demand.m_cpuMillis;
    auto &worker = *candidate.m_worker;
    const bool isCpuUnused = hasUnusedCpu(candidate.m_freeFillingCpu, demand);
    if (isCpuUnused) {
        const auto fit = m_paceController.fitOf(worker, image, demand, now);
        if (fit.m_slack >= 0) {
            return {std::nullopt, {candidate.m_isTrusted, true, isInRack, 0, static_cast<std::int64_t>(fit.rank() * thousandths), 0}};
        }
    }
    const auto guard = isCpuUnused ? PlacementGuard::Headroom : PlacementGuard::UnusedCpu;
    if (!bypassesGuards) {
        return {guard, {}};
    }
    // The task goes where it harms serving tasks the least at the pace that it may be slowed to, then where most processors are left.
    const auto slowed = m_paceController.fitOf(worker, image, demand * m_limits.m_minYieldingPace / fullPacePercent, now);
    const auto missing = static_cast<std::int64_t>(std::min(0.0, slowed.m_slack) * thousandths);
    return {guard, {candidate.m_isTrusted, false, false, 0, missing, candidate.m_freeFillingCpu - worker.yieldingCpu()}};
}

auto FleetScheduler::reserveCapacity(const WaitingTask &waiting, PoolCapacities &pools, TimePoint now) -> bool
{
    const auto &step = *waiting.m_step;
    const auto &demand = step.m_demand;
    const auto task = waiting.id();
    const FreeCapacity *best = nullptr;
    std::tuple<bool, std::int64_t, std::int64_t> bestRank;
    for (const auto &candidate : pools.freeCapacitiesOf(waiting.m_policy->m_pool)) {
        const auto &worker = *candidate.m_worker;
        Resources reclaimable = candidate.m_free;
        reclaimable += worker.finiteResources();
        if (!demand.fitsInto(reclaimable) || !hasLabel(worker.m_record, step.m_requiredLabel)) {
            continue;
        }
        // The worker with the most free capacity keeps it from round to round, so it is chosen until the task fits.
        const std::tuple rank(candidate.m_isTrusted,
                              std::min(std::int64_t{0}, candidate.m_free.m_cpuMillis - demand.m_cpuMillis),
                              candidate.m_free.m_memoryMb - demand.m_memoryMb);
        if (best != nullptr && rank <= bestRank) {
            continue;
        }
        const bool isStepLimitReached = step.m_maxPerWorker != 0 && worker.countTasksOfStep(task) >= step.m_maxPerWorker;
        if (!isStepLimitReached && !worker.hasRun(task.text())) {
            best = &candidate;
            bestRank = rank;
        }
    }
    if (best == nullptr) {
        return false;
    }
    auto &worker = *best->m_worker;
    if (now - waiting.m_waitingSince >= m_limits.m_servingPreemptionWait) {
        // What ranks before the task was assigned first, and would be assigned again if it was stopped for the task.
        const auto firstPriority = waiting.m_turn == PlacementTurn::Ranked ? waiting.m_policy->m_priority : 0;
        if (const auto stopped = worker.stopFiniteRuns(demand, best->m_free, firstPriority); stopped > 0) {
            logEvent(LogLevel::Info,
                     "runs_preempted",
                     {{"job", task.m_job}, {"task", task.text()}, {"worker", worker.m_record.m_id}, {"runs", stopped}, {"epoch", m_epoch}});
        }
    }
    m_reservations.push_back({worker.m_record.m_id, demand});
    pools.reserve(worker.m_record.m_id, demand);
    return true;
}

auto FleetScheduler::placeGang(std::span<const WaitingTask> members, const RoomClaim &claim, PoolCapacities &pools, TimePoint now) -> bool
{
    RunNumber run = 0;
    std::string checkpoint;
    for (const auto &member : members) {
        run = std::max(run, member.m_progress->m_run);
        checkpoint = checkpoint.empty() ? member.m_progress->m_checkpoint : checkpoint;
    }
    std::vector<FleetWorker *> chosen;
    auto search = beginSearch(members.front(), claim, pools, now);
    for (const auto &member : members) {
        const auto choice = chooseWorker(search, member, pools, now);
        if (choice.m_worker == nullptr) {
            member.m_job->m_refusal = choice.m_refusal;
            break;
        }
        // All members start from the same checkpoint; the checkpoint of any member is valid for all.
        member.m_progress->m_checkpoint = checkpoint;
        assign(member, choice, run + 1, now);
        examine(search, pools.update(*choice.m_worker), member, now);
        chosen.push_back(choice.m_worker);
    }
    if (chosen.size() == members.size()) {
        for (const auto *const worker : chosen) {
            m_lookAhead.recordAssignment(pools.update(*worker), claim, now);
        }
        return true;
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        // Nothing was stored or sent since the assignment, so it can be undone.
        chosen[i]->removeRun(members[i].id().text());
        chosen[i]->updatePaceLimits(m_limits);
        --m_assignedSinceCommit;
        static_cast<void>(pools.update(*chosen[i]));
        auto &task = *members[i].m_progress;
        task.m_phase = TaskPhase::Waiting;
        task.m_worker.clear();
        task.m_incarnation = 0;
    }
    return false;
}

auto FleetScheduler::assign(const WaitingTask &waiting, const WorkerChoice &choice, RunNumber run, TimePoint now) -> void
{
    auto &worker = *choice.m_worker;
    const auto id = waiting.id();
    auto &task = *waiting.m_progress;
    if (waiting.m_original != nullptr) {
        task.assignCopy(run, worker.m_record.m_id, worker.m_incarnation);
    } else {
        task.m_phase = TaskPhase::Assigned;
        task.m_run = run;
        task.m_worker = worker.m_record.m_id;
        task.m_incarnation = worker.m_incarnation;
    }
    TaskRun entry;
    entry.m_job = waiting.m_job;
    entry.m_task = id;
    entry.m_run = run;
    entry.m_assignedAt = now;
    entry.m_priority = waiting.m_policy->m_priority;
    entry.m_checkpoint = waiting.m_original != nullptr ? waiting.m_original->m_checkpoint : task.m_checkpoint;
    entry.initFromStep(*waiting.m_step, m_paceController.model());
    entry.m_isCopy = waiting.m_original != nullptr;
    entry.m_isYielding = choice.m_guard.has_value();
    entry.m_isUndisturbed = entry.m_checkpoint.empty() && !entry.m_isYielding;
    worker.addRun(std::move(entry));
    worker.updatePaceLimits(m_limits);
    worker.m_health.recordAssignment(now);
    waiting.m_job->setPhase(JobPhase::Running);
    waiting.m_job->markChanged();
    waiting.m_job->invalidateBacklog();
    ++m_assignedSinceCommit;
    logEvent(LogLevel::Info,
             "task_assigned",
             {{"job", id.m_job},
              {"task", id.text()},
              {"run", run},
              {"worker", worker.m_record.m_id},
              {"in_spite_of", choice.m_guard ? placementGuardNames[static_cast<std::size_t>(*choice.m_guard)] : std::string_view()},
              {"free_cpu", worker.freeResources().m_cpuMillis},
              {"free_mem", worker.freeResources().m_memoryMb},
              {"report_age_ms", std::chrono::duration_cast<Milliseconds>(now - worker.m_lastReportAt).count()},
              {"epoch", m_epoch}});
}

auto FleetScheduler::sendStart(FleetWorker &worker, TaskRun &run, TimePoint now) -> void
{
    const auto lease = mayRenewLease(worker, now) ? worker.m_workerLease.extendLease(m_limits.m_lease, now) : std::nullopt;
    const bool mayStart = !run.m_isStopRequested && worker.m_isListed && worker.isDescribed() && !worker.isDraining() && !isFinal(run.m_job->progress().m_phase)
        && m_evacuation.mayStart(worker, now);
    if (run.m_stage == RunStage::Unsent && (!lease || !mayStart)) {
        requeueRun(worker, run, !lease ? "no_lease" : "no_longer_wanted");
        return;
    }
    if (!lease || !mayStart) {
        worker.markForStop(run);
        return;
    }
    run.m_stage = RunStage::Starting;
    run.m_startSentAt = now;
    m_startWindow.recordSent();
    m_commands.emplace_back(RunStartOrder{addressOf(worker), run.m_task, run.m_run, run.m_job->job().m_payload, run.m_checkpoint, *lease});
}
}
