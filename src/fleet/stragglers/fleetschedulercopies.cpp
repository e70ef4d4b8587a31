#include "burdockspur/fleet/fleetscheduler.hpp"
#include "burdockspur/fleet/poolcapacities.hpp"
#include "burdockspur/fleet/stragglers/undisturbedduration.hpp"
#include "burdockspur/impl/fleetschedulerparts.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <limits>

namespace Burdockspur
{
namespace
{
[[nodiscard]] auto inMs(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

[[nodiscard]] auto hasLabel(const WorkerRecord &record, std::string_view label) noexcept -> bool
{
    return label.empty() || std::ranges::find(record.m_labels, label) != record.m_labels.end();
}

/// @brief True if tasks of a job wait in a pool for counted room.
[[nodiscard]] auto waitsForRoom(const FleetJob &job, std::string_view pool) noexcept -> bool
{
    const auto &backlog = job.backlog();
    return backlog.m_policy->m_pool == pool && std::ranges::any_of(backlog.m_steps, [&job](const JobBacklog::Step &step) {
               return !job.job().m_steps[step.m_step].m_isFilling;
           });
}
}

auto FleetScheduler::watchStragglers(FleetWorker &worker, TimePoint now) -> void
{
    for (auto &[name, run] : worker.m_runs) {
        if (!StragglerWatch::mayBeCopied(run.m_job->stepOf(run.m_task))) {
            continue;
        }
        if (run.m_isCopy) {
            stopIfNoFaster(worker, run, now);
            continue;
        }
        if (m_stragglers.observe(worker, run, policyOf(*run.m_job), m_durations, now)) {
            m_needsPlacement = true;
        }
    }
}

auto FleetScheduler::stopIfNoFaster(FleetWorker &worker, TaskRun &copy, TimePoint now) -> void
{
    const auto *const task = copy.m_job->taskAt(copy.m_task);
    auto *const holder = task == nullptr ? nullptr : findWorker(task->m_worker);
    const auto *const original = holder == nullptr ? nullptr : holder->findRun(copy.m_task.text());
    const bool isPair = original != nullptr && original->m_run == task->m_run && !original->m_isStopRequested && !copy.m_isStopRequested;
    if (!isPair || !m_stragglers.isNoFaster(worker, copy, *holder, *original, m_durations, now)) {
        return;
    }
    worker.markForStop(copy);
    logEvent(LogLevel::Info,
             "copy_stopped",
             {{"job", copy.m_task.m_job},
              {"task", copy.m_task.text()},
              {"run", copy.m_run},
              {"worker", worker.m_record.m_id},
              {"reason", "no_faster"},
              {"epoch", m_epoch}});
}

auto FleetScheduler::learnFromEnd(const TaskRun &run, RunEnd how, bool isWorkerTrusted, TimePoint now) -> void
{
    auto &job = *run.m_job;
    const auto &step = job.stepOf(run.m_task);
    const bool isOfCopiedStep = StragglerWatch::mayBeCopied(step);
    if (how == RunEnd::Done && !step.m_isGang) {
        if (const auto took = undisturbedDuration(run, isWorkerTrusted, now)) {
            m_durations.recordEnd(DurationKey::of(job.job(), run.m_task.m_step), *took);
            if (isOfCopiedStep) {
                job.m_stepDurations.record(run.m_task, step.m_count, *took);
            }
        }
    }
    const bool wasGivenUp = job.progress().m_phase == JobPhase::Cancelled || job.progress().m_phase == JobPhase::Failed;
    if (isOfCopiedStep && !wasGivenUp) {
        const auto *const task = job.taskAt(run.m_task);
        const bool isNeeded = task != nullptr && task->roleOf(run.m_run) != RunRole::None && !(run.m_isCopy && how == RunEnd::Stopped);
        if (!isNeeded) {
            m_stragglers.recordWaste(run, now);
        }
    }
}

auto FleetScheduler::withdrawRun(std::string_view worker, const TaskId &id, RunNumber run) -> void
{
    auto *const holder = findWorker(worker);
    auto *const found = holder == nullptr ? nullptr : holder->findRun(id.text());
    if (found == nullptr || found->m_run != run) {
        return;
    }
    if (found->m_stage == RunStage::Unsent) {
        holder->removeRun(id.text());
    } else {
        holder->markForStop(*found);
    }
}

auto FleetScheduler::completeTask(FleetJob &job, const TaskId &id, RunNumber run) -> void
{
    auto *const task = job.findTask(id);
    if (task == nullptr || task->m_phase == TaskPhase::Done) {
        return;
    }
    if (task->hasCopy()) {
        const bool hasCopyWon = run == task->m_copy.m_run;
        if (hasCopyWon) {
            m_stragglers.recordWin();
            logEvent(LogLevel::Info,
                     "copy_won",
                     {{"job", id.m_job}, {"task", id.text()}, {"run", run}, {"worker", task->m_copy.m_worker}, {"original", task->m_run}, {"epoch", m_epoch}});
        } else {
            logEvent(LogLevel::Info,
                     "copy_stopped",
                     {{"job", id.m_job},
                      {"task", id.text()},
                      {"run", task->m_copy.m_run},
                      {"worker", task->m_copy.m_worker},
                      {"reason", "task_done"},
                      {"epoch", m_epoch}});
        }
        if (!hasCopyWon) {
            withdrawRun(task->m_copy.m_worker, id, task->m_copy.m_run);
        }
        m_stragglers.endCopy(id.text());
    }
    if (task->m_phase == TaskPhase::Assigned && run != task->m_run) {
        withdrawRun(task->m_worker, id, task->m_run);
    }
    task->complete();
    handleTaskChange(job);
}

auto FleetScheduler::promoteCopy(const TaskId &id, const TaskProgress &task) -> void
{
    auto *const worker = findWorker(task.m_worker);
    auto *const run = worker == nullptr ? nullptr : worker->findRun(id.text());
    if (run != nullptr && run->m_run == task.m_run) {
        run->m_isCopy = false;
        logEvent(
            LogLevel::Info, "copy_took_over", {{"job", id.m_job}, {"task", id.text()}, {"run", task.m_run}, {"worker", task.m_worker}, {"epoch", m_epoch}});
    }
}

auto FleetScheduler::placeCopies(PoolCapacities &pools, TimePoint now) -> void
{
    if (!m_stragglers.hasCandidates()) {
        return;
    }
    std::size_t runs = 0;
    for (const auto &[id, worker] : m_workers) {
        runs += worker.m_runs.size();
    }
    const auto startRoom = m_startWindow.room();
    auto allowance = m_stragglers.allowance(runs, startRoom - std::min(startRoom, m_assignedSinceCommit));
    for (const auto &candidate : m_stragglers.candidates()) {
        if (allowance == 0 || m_triesLeft == 0) {
            return;
        }
        const auto name = candidate.m_task.text();
        auto *const worker = findWorker(candidate.m_worker);
        const auto *const run = worker == nullptr ? nullptr : worker->findRun(name);
        const bool isKnown = run != nullptr && run->m_run == candidate.m_run;
        const auto worth = isKnown ? m_stragglers.worthOf(*worker, *run, policyOf(*run->m_job), m_durations, now) : std::nullopt;
        if (!worth) {
            m_stragglers.dropCandidate(name);
            continue;
        }
        const auto &pool = policyOf(*run->m_job).m_pool;
        const bool isRoomWanted = std::ranges::any_of(m_changes.m_waiting, [&pool](const FleetJob *job) {
            return waitsForRoom(*job, pool);
        });
        if (isRoomWanted) {
            continue;
        }
        --m_triesLeft;
        ++m_placementCounters.m_tasksTried;
        allowance -= placeCopy(*run, *worth, pools, now) ? 1 : 0;
    }
}

auto FleetScheduler::placeCopy(const TaskRun &original, const CopyWorth &worth, PoolCapacities &pools, TimePoint now) -> bool
{
    auto &job = *original.m_job;
    const auto &id = original.m_task;
    auto *const task = job.findTask(id);
    const WaitingTask waiting{&job, id.m_occurrence, id.m_step, id.m_index, task, now, &job.stepOf(id), &policyOf(job), PlacementTurn::Ranked, &original};
    // A copy ranks behind all work that room is kept for.
    const RoomClaim claim{.m_job = id.m_job,
                          .m_occurrence = id.m_occurrence,
                          .m_step = id.m_step,
                          .m_demand = waiting.m_step->m_demand,
                          .m_priority = std::numeric_limits<std::uint32_t>::max(),
                          .m_lateness = std::numeric_limits<std::uint8_t>::max(),
                          .m_endsBy = now + worth.m_copyTakes};
    auto search = beginSearch(waiting, claim, pools, now);
    const auto choice = chooseWorker(search, waiting, pools, now);
    if (choice.m_worker == nullptr) {
        return false;
    }
    const auto run = task->nextRun();
    assign(waiting, choice, run, now);
    static_cast<void>(pools.update(*choice.m_worker));
    const auto &worker = choice.m_worker->m_record.m_id;
    m_stragglers.addCopy(id.text(), {worker, original.m_priority}, true);
    logEvent(LogLevel::Info,
             "copy_assigned",
             {{"job", id.m_job},
              {"task", id.text()},
              {"run", run},
              {"worker", worker},
              {"original", original.m_run},
              {"percent", static_cast<int>(original.m_percent)},
              {"left_ms", inMs(worth.m_remaining)},
              {"copy_ms", inMs(worth.m_copyTakes)},
              {"in_time", worth.m_makesObjective},
              {"epoch", m_epoch}});
    return true;
}

auto FleetScheduler::yieldCopies() -> void
{
    if (m_stragglers.copies().empty()) {
        return;
    }
    for (const auto *const job : m_changes.m_waiting) {
        const auto &backlog = job->backlog();
        for (const auto &group : backlog.m_steps) {
            const auto &step = job->job().m_steps[group.m_step];
            auto waiting = step.m_isFilling ? 0 : group.m_tasks.size();
            for (const auto &[name, copy] : m_stragglers.copies()) {
                auto *const worker = findWorker(copy.m_worker);
                auto *const run = worker == nullptr ? nullptr : worker->findRun(name);
                // Work of a lower priority does not take room from a copy: it would not have got it before the copied task either.
                const bool mayYield = waiting > 0 && run != nullptr && run->m_isCopy && !run->m_isStopRequested && run->m_stage != RunStage::Unsent
                    && backlog.m_policy->m_priority <= copy.m_priority && worker->isDescribed() && worker->m_record.m_pool == backlog.m_policy->m_pool
                    && hasLabel(worker->m_record, step.m_requiredLabel);
                if (!mayYield) {
                    continue;
                }
                auto free = worker->freeResources();
                free += run->m_reserved;
                if (!step.m_demand.fitsInto(free)) {
                    continue;
                }
                worker->markForStop(*run);
                --waiting;
                logEvent(LogLevel::Info,
                         "copy_stopped",
                         {{"job", run->m_task.m_job}, {"task", name}, {"run", run->m_run}, {"worker", copy.m_worker}, {"reason", "room"}, {"epoch", m_epoch}});
            }
        }
    }
}
}
