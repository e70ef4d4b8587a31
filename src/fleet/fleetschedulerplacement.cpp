#include "burdockspur/fleet/fleetscheduler.hpp"
#include "burdockspur/fleet/placementorder.hpp"
#include "burdockspur/fleet/poolcapacities.hpp"
#include "burdockspur/impl/fleetschedulerparts.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <tuple>

namespace Burdockspur
{
namespace
{
/// Kinds of tasks that are kept; with more, all are numbered again without those of jobs that are over.
constexpr std::size_t mostKinds = 4'096;

/// A filling task is placed where at least this share of its processors is unused; the rest it shares.
constexpr double fillShare = 0.7;

/// Worth of a job against its work: this much for any job of a queue, the rest by its work against the mean, up to a
/// largest (the users' weights).
constexpr double fixedWorth = 0.3;
constexpr double largestWorth = 4.0;

/// Serving tasks of one image suffer from the same filling images, so together they leave other workers open for those.
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

[[nodiscard]] auto hasLabel(const WorkerRecord &record, std::string_view label) noexcept -> bool
{
    return label.empty() || std::ranges::find(record.m_labels, label) != record.m_labels.end();
}
}

auto FleetScheduler::rankOf(const FleetJob &job, TimePoint now) const -> JobRank
{
    const auto &backlog = job.backlog();
    const auto &policy = *backlog.m_policy;
    JobRank rank{.m_priority = policy.m_priority, .m_deadline = job.deadline()};
    rank.m_yields = job.isServing();
    if (rank.m_yields) {
        return rank;
    }
    if (now + backlog.m_chain > job.expiry()) {
        rank.m_lateness = 2;
    } else if (now + backlog.m_chain > job.deadline()) {
        rank.m_lateness = 1;
    }
    const auto mean = m_meanWork.find(policy.m_name);
    const double work = mean == m_meanWork.end() || mean->second <= 0 ? 1.0 : job.wholeWork() / mean->second;
    const double worth = std::min(largestWorth, fixedWorth + (1.0 - fixedWorth) * work);
    rank.m_cost = backlog.m_coreSeconds / worth;
    return rank;
}

auto FleetScheduler::updateBacklogs(TimePoint now) -> void
{
    if (m_kinds.size() > mostKinds) {
        m_kinds.clear();
        for (const auto &[id, job] : m_activeJobs) {
            job->noteTasksChanged();
        }
    }
    for (auto *const job : std::exchange(m_changes.m_tasksChanged, {})) {
        m_waitingCount -= job->backlog().m_taskCount;
        m_waitingFillCpu -= job->backlog().m_fillCpu;
        job->updateBacklog(policyOf(*job), m_kinds, now);
        ++m_effort.m_jobsUpdated;
        m_waitingCount += job->backlog().m_taskCount;
        m_waitingFillCpu += job->backlog().m_fillCpu;
        if (job->backlog().m_taskCount > 0) {
            m_changes.m_waiting.insert(job);
        } else {
            m_changes.m_waiting.erase(job);
        }
    }
}

auto FleetScheduler::addGroups(FleetJob &job, PlacementOrder &order, TimePoint now) -> void
{
    const auto add = [&](const PlacementGroup &group) {
        if (!m_resumeAt || group.sortKey() >= m_resumeAt->sortKey()) {
            order.add(group);
        }
    };
    const auto rank = rankOf(job, now);
    for (const auto &step : job.backlog().m_steps) {
        if (!rank.m_yields) {
            add({rank, &job, &step});
            continue;
        }
        // Tasks that have waited for long go first, apart from the others of their step.
        const auto isPatient = [&](const JobBacklog::Task &task) {
            return now - task.m_since < m_limits.m_servingPatience;
        };
        const auto patient = static_cast<std::size_t>(std::ranges::count_if(step.m_tasks, isPatient));
        for (const bool yields : {false, true}) {
            if (yields ? patient > 0 : patient < step.m_tasks.size()) {
                auto own = rank;
                own.m_yields = yields;
                add({own, &job, &step});
            }
        }
    }
}

auto FleetScheduler::tasksOf(const PlacementGroup &group, TimePoint now) const -> std::vector<WaitingTask>
{
    std::vector<WaitingTask> tasks;
    const auto &step = *group.m_step;
    tasks.reserve(step.m_tasks.size());
    for (const auto &task : step.m_tasks) {
        const bool isOfGroup = !group.m_job->isServing() || (now - task.m_since < m_limits.m_servingPatience) == group.m_rank.m_yields;
        if (isOfGroup) {
            tasks.push_back({group.m_job,
                             step.m_occurrence,
                             step.m_step,
                             task.m_index,
                             task.m_progress,
                             &group.m_job->job().m_steps[step.m_step],
                             group.m_job->backlog().m_policy});
        }
    }
    return tasks;
}

auto FleetScheduler::placeWhenDue(TimePoint now) -> TimePoint
{
    const bool isDue = m_mustPlace || m_resumeAt || (m_waitingCount > 0 && now >= m_nextPlacement);
    // An assignment takes effect by a commit, so a round that no commit can follow would only be repeated before the next one.
    const bool isUseful = m_resumeAt || (!m_commit && now >= m_nextCommit);
    if (isDue && isUseful) {
        m_mustPlace = false;
        placeWaiting(now);
        m_nextPlacement = now + m_limits.m_placementInterval;
    }
    if (m_resumeAt) {
        // The inputs that have come meanwhile go first.
        return now;
    }
    TimePoint next = TimePoint::max();
    if (!m_commit && m_mustPlace) {
        next = m_nextCommit;
    }
    if (!m_commit && m_waitingCount > 0) {
        next = std::min(next, std::max(m_nextPlacement, m_nextCommit));
    }
    return next;
}

auto FleetScheduler::placeWaiting(TimePoint now) -> void
{
    ++m_effort.m_rounds;
    updateBacklogs(now);
    PoolCapacities rooms(m_limits, now);
    double capacity = 1.0;
    for (auto &[id, worker] : m_workers) {
        rooms.add(worker);
        capacity += static_cast<double>(worker.m_record.m_capacity.m_cpuMillis);
    }
    PlacementOrder order(m_kinds);
    for (auto *const job : m_changes.m_waiting) {
        addGroups(*job, order, now);
    }
    order.buildHeaps();
    m_resumeAt.reset();
    m_triesLeft = m_limits.m_triesPerRound;
    while (const auto group = order.next()) {
        if (!placeGroup(*group, order, rooms, now)) {
            m_resumeAt = PlacementPosition{group->m_rank, group->m_job->job().m_id, group->m_step->m_occurrence, group->m_step->m_step};
            ++m_effort.m_truncatedRounds;
            break;
        }
    }
    // Tells what still waits.
    updateBacklogs(now);
    m_paces.noteBacklog(static_cast<double>(m_waitingFillCpu) / capacity, now);
}

auto FleetScheduler::placeGroup(const PlacementGroup &group, PlacementOrder &order, PoolCapacities &rooms, TimePoint now) -> bool
{
    if (m_triesLeft == 0) {
        return false;
    }
    const auto tasks = tasksOf(group, now);
    const auto countTries = [this](std::size_t tries) {
        m_effort.m_tasksTried += tries;
        m_triesLeft -= std::min(m_triesLeft, tries);
    };
    if (tasks.front().m_step->m_isGang) {
        // All members start together, so a member that is still ending holds back the others.
        if (tasks.size() == tasks.front().m_step->m_count) {
            countTries(tasks.size());
            static_cast<void>(placeGang(tasks, rooms, now));
        }
        return true;
    }
    for (const auto &task : tasks) {
        if (m_triesLeft == 0) {
            return false;
        }
        countTries(1);
        const auto choice = chooseWorker(task, rooms, now);
        if (choice.m_worker != nullptr) {
            assign(task, *choice.m_worker, task.m_progress->m_run + 1, now);
            rooms.update(*choice.m_worker);
            continue;
        }
        const bool isLimited = task.m_step->m_maxPerWorker != 0;
        if (isLimited && choice.m_isStillRunning) {
            // Another task of the step may go where this one still runs.
            continue;
        }
        if (!choice.m_isSpread) {
            order.markUnplaceable(group);
        }
        break;
    }
    return true;
}

auto FleetScheduler::chooseWorker(const WaitingTask &waiting, PoolCapacities &rooms, TimePoint now) -> Choice
{
    const auto &step = *waiting.m_step;
    Resources demand = step.m_demand;
    demand.m_cpuMillis = step.m_fills ? 0 : demand.m_cpuMillis;
    const auto image = m_paces.model().imageId(step.m_image);
    const auto task = waiting.id();
    const auto name = task.text();
    Choice best;
    std::tuple<bool, bool, int, std::int64_t> bestRank;
    const double leastFillRoom = fillShare * static_cast<double>(step.m_demand.m_cpuMillis);
    for (const auto &room : rooms.freeCapacitiesOf(waiting.m_policy->m_pool)) {
        // A serving task rather runs on a doubtful worker than nowhere; other tasks would use up their attempts there.
        if (!demand.fitsInto(room.m_free) || (!room.m_isTrusted && !step.m_isServing)) {
            continue;
        }
        auto &worker = *room.m_worker;
        if (!hasLabel(worker.m_record, step.m_requiredLabel)) {
            continue;
        }
        int affinity = 0;
        std::int64_t fit = 0;
        if (step.m_fills) {
            if (static_cast<double>(room.m_unusedCpuMillis) < leastFillRoom) {
                continue;
            }
            const auto fillFit = m_paces.fitOf(worker, image, step.m_demand.m_cpuMillis, now);
            if (fillFit.m_slack < 0) {
                continue;
            }
            // Thousandths, so that both kinds of fit are whole numbers.
            fit = static_cast<std::int64_t>(fillFit.rank() * 1000);
        } else {
            // Best fit: the least room that is left keeps large gaps for large tasks.
            fit = -room.m_free.m_cpuMillis;
            affinity = step.m_isServing ? imageAffinity(worker, image) : 0;
        }
        const std::tuple rank(room.m_isTrusted, step.m_preferredRack.empty() || worker.m_record.m_rack == step.m_preferredRack, affinity, fit);
        if (best.m_worker != nullptr && rank <= bestRank) {
            continue;
        }
        // Looked up last, for the few workers that would be chosen.
        const bool isFull = step.m_maxPerWorker != 0 && worker.countOf(task) >= step.m_maxPerWorker;
        const bool isStillRunning = worker.run(name) != nullptr;
        best.m_isSpread = best.m_isSpread || isFull;
        best.m_isStillRunning = best.m_isStillRunning || isStillRunning;
        if (!isFull && !isStillRunning) {
            best.m_worker = &worker;
            bestRank = rank;
        }
    }
    return best;
}

auto FleetScheduler::placeGang(std::span<const WaitingTask> members, PoolCapacities &rooms, TimePoint now) -> bool
{
    RunNumber run = 0;
    std::string checkpoint;
    for (const auto &member : members) {
        run = std::max(run, member.m_progress->m_run);
        checkpoint = checkpoint.empty() ? member.m_progress->m_checkpoint : checkpoint;
    }
    std::vector<FleetWorker *> chosen;
    for (const auto &member : members) {
        auto *const worker = chooseWorker(member, rooms, now).m_worker;
        if (worker == nullptr) {
            break;
        }
        // Members start from one checkpoint; that of any member is valid for all.
        member.m_progress->m_checkpoint = checkpoint;
        assign(member, *worker, run + 1, now);
        rooms.update(*worker);
        chosen.push_back(worker);
    }
    if (chosen.size() == members.size()) {
        return true;
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        // Nothing was stored or sent since the assignment, so it can be taken back.
        chosen[i]->remove(members[i].id().text());
        rooms.update(*chosen[i]);
        auto &task = *members[i].m_progress;
        task.m_phase = TaskPhase::Waiting;
        task.m_worker.clear();
        task.m_incarnation = 0;
    }
    return false;
}

auto FleetScheduler::assign(const WaitingTask &waiting, FleetWorker &worker, RunNumber run, TimePoint now) -> void
{
    const auto id = waiting.id();
    auto &task = *waiting.m_progress;
    task.m_phase = TaskPhase::Assigned;
    task.m_run = run;
    task.m_worker = worker.m_record.m_id;
    task.m_incarnation = worker.m_record.m_incarnation;
    TaskRun entry;
    entry.m_job = waiting.m_job;
    entry.m_task = id;
    entry.m_run = run;
    entry.m_assignedAt = now;
    entry.m_checkpoint = task.m_checkpoint;
    entry.describe(*waiting.m_step, m_paces.model());
    worker.add(std::move(entry));
    worker.m_health.noteAssigned(now);
    waiting.m_job->setPhase(JobPhase::Running);
    waiting.m_job->touch();
    waiting.m_job->noteTasksChanged();
    logEvent(LogLevel::Info,
             "task_assigned",
             {{"job", id.m_job},
              {"task", id.text()},
              {"run", run},
              {"worker", task.m_worker},
              {"free_cpu", worker.free().m_cpuMillis},
              {"free_mem", worker.free().m_memoryMb},
              {"report_age_ms", std::chrono::duration_cast<Milliseconds>(now - worker.m_heardAt).count()},
              {"epoch", m_epoch}});
}

auto FleetScheduler::sendStart(FleetWorker &worker, TaskRun &run, TimePoint now) -> void
{
    const bool mayRenew = now - m_storeConfirmedAt <= m_limits.m_renewWithoutStore && worker.m_isAnswering;
    const auto lease = mayRenew ? worker.m_life.extend(m_limits.m_lease, now) : std::nullopt;
    const bool mayStart = !run.m_stopWanted && worker.m_isListed && !worker.m_record.m_leavesIn && !isFinal(run.m_job->progress().m_phase);
    if (run.m_stage == RunStage::Recorded && (!lease || !mayStart)) {
        returnRun(worker, run, !lease ? "no_lease" : "no_longer_wanted");
        return;
    }
    if (!lease || !mayStart) {
        worker.wantStop(run);
        return;
    }
    run.m_stage = RunStage::Starting;
    m_commands.emplace_back(RunStartOrder{addressOf(worker), run.m_task, run.m_run, run.m_job->job().m_payload, run.m_checkpoint, *lease});
}
}
