#include "fleetsimulation.hpp"
#include "simulatedinterference.hpp"
#include "simulatedworker.hpp"

#include <algorithm>
#include <limits>

namespace Burdockspur::Testing
{
namespace
{
/// Interval at which processors are shared out and the rules are checked.
constexpr Milliseconds interferenceInterval{20};
/// A disruption is near for this time after its end (platform's rules).
constexpr Milliseconds disruptionTail{4'000};

/// @brief Resources that a task counts against a worker's capacity.
[[nodiscard]] auto countedDemand(const TaskStep &step) noexcept -> Resources
{
    auto demand = step.m_demand;
    demand.m_cpuMillis = step.m_isFilling ? 0 : demand.m_cpuMillis;
    return demand;
}

[[nodiscard]] auto freeOf(const SimulatedWorker &worker) -> Resources
{
    auto free = worker.m_record.m_capacity;
    for (const auto &[name, run] : worker.m_runs) {
        free -= run.m_reserved;
    }
    return free;
}

/// @brief Capacity that is left when all finite runs are stopped, apart from those of gangs.
[[nodiscard]] auto reclaimableOf(const SimulatedWorker &worker) -> Resources
{
    auto left = worker.m_record.m_capacity;
    for (const auto &[name, run] : worker.m_runs) {
        if (run.m_step->m_isServing || run.m_step->m_isGang) {
            left -= run.m_reserved;
        }
    }
    return left;
}

[[nodiscard]] auto describe(const TaskStep &step) -> std::string
{
    const std::string finiteKind = step.m_isFilling ? "filling" : "counted";
    return (step.m_isServing ? "serving" : finiteKind) + " task with cpu " + std::to_string(step.m_demand.m_cpuMillis) + ", image " + step.m_image;
}

[[nodiscard]] auto describeFills(const SimulatedWorker &worker) -> std::string
{
    std::string text;
    for (const auto &[name, run] : worker.m_runs) {
        if (run.m_step->m_isFilling) {
            text += ", " + run.m_step->m_image + " at pace " + std::to_string(run.m_pace);
        }
    }
    return text;
}

[[nodiscard]] auto hasLabel(const SimulatedWorker &worker, std::string_view label) noexcept -> bool
{
    return label.empty() || std::ranges::find(worker.m_record.m_labels, label) != worker.m_record.m_labels.end();
}
}

auto FleetSimulation::enableInterference() -> SimulatedInterference &
{
    m_interference = std::make_unique<SimulatedInterference>(m_seed);
    schedule(interferenceInterval, [this] {
        advanceInterference();
    });
    return *m_interference;
}

auto FleetSimulation::PoolUse::isUnderHalf() const noexcept -> bool
{
    return 2 * m_used.m_cpuMillis < m_capacity.m_cpuMillis && 2 * m_used.m_memoryMb < m_capacity.m_memoryMb;
}

auto FleetSimulation::recordDisruption(Milliseconds length) noexcept -> void
{
    m_disruptedUntil = std::max(m_disruptedUntil, m_now + length);
}

auto FleetSimulation::isCalm() const noexcept -> bool
{
    return !m_isOwnerAway && m_now >= m_disruptedUntil + disruptionTail;
}

auto FleetSimulation::advanceInterference() -> void
{
    for (auto &worker : m_workers) {
        m_interference->advance(*worker, m_now, interferenceInterval);
    }
    m_calmTime += isCalm() ? interferenceInterval : Milliseconds{0};
    checkJobWaits();
    checkServingTasks();
    checkHarm();
    schedule(interferenceInterval, [this] {
        advanceInterference();
    });
}

auto FleetSimulation::poolUse() const -> PoolUse
{
    PoolUse use;
    for (const auto &worker : m_workers) {
        use.m_capacity += worker->m_record.m_capacity;
        for (const auto &[name, run] : worker->m_runs) {
            use.m_used += run.m_reserved;
        }
    }
    return use;
}

auto FleetSimulation::jobsWithRuns() const -> std::set<std::string_view>
{
    std::set<std::string_view> jobs;
    for (const auto &worker : m_workers) {
        for (const auto &[name, run] : worker->m_runs) {
            jobs.insert(run.m_task.m_job);
        }
    }
    return jobs;
}

auto FleetSimulation::runningTasks() const -> std::set<std::string_view>
{
    std::set<std::string_view> tasks;
    for (const auto &worker : m_workers) {
        for (const auto &[name, run] : worker->m_runs) {
            tasks.insert(name);
        }
    }
    return tasks;
}

auto FleetSimulation::countFits(const TaskStep &step, Available available) const -> std::int64_t
{
    const auto demand = countedDemand(step);
    std::int64_t fits = 0;
    for (const auto &worker : m_workers) {
        const auto free = available(*worker);
        if (!hasLabel(*worker, step.m_requiredLabel) || !demand.fitsInto(free)) {
            continue;
        }
        std::int64_t fitsHere = std::numeric_limits<std::int32_t>::max();
        for (const auto amount : {&Resources::m_cpuMillis, &Resources::m_memoryMb, &Resources::m_accelerators}) {
            fitsHere = demand.*amount > 0 ? std::min(fitsHere, free.*amount / (demand.*amount)) : fitsHere;
        }
        fits += fitsHere;
    }
    return fits;
}

auto FleetSimulation::findStartableTask(const TaskJob &job) const -> std::optional<TaskId>
{
    const auto &progress = m_store.find(job.m_id)->second.m_progress;
    const auto *const occurrence = progress && !progress->m_open.empty() ? &progress->m_open.front() : nullptr;
    const auto isStoredDone = [occurrence](std::uint32_t step, std::uint32_t index) {
        return occurrence != nullptr && occurrence->m_steps[step].m_tasks[index].m_phase == TaskPhase::Done;
    };
    const auto isStepDone = [&](std::uint32_t step) {
        for (std::uint32_t index = 0; index < job.m_steps[step].m_count; ++index) {
            if (!isStoredDone(step, index)) {
                return false;
            }
        }
        return true;
    };
    for (std::uint32_t number = 0; number < job.m_steps.size(); ++number) {
        const auto &step = job.m_steps[number];
        // All members of a gang start together.
        const std::int64_t tasksTogether = step.m_isGang ? step.m_count : 1;
        if (!std::ranges::all_of(step.m_after, isStepDone) || countFits(step, freeOf) < 2 * tasksTogether) {
            continue;
        }
        for (std::uint32_t index = 0; index < step.m_count; ++index) {
            TaskId task{job.m_id, 0, number, index};
            if (!isStoredDone(number, index) && !m_done.contains(task.text())) {
                return task;
            }
        }
    }
    return std::nullopt;
}

auto FleetSimulation::checkJobWaits() -> void
{
    const auto use = poolUse();
    const bool isCounted = isCalm() && use.isUnderHalf();
    const auto running = jobsWithRuns();
    for (const auto &id : m_jobs) {
        const bool mayWait = !isCounted || running.contains(id) || m_cancelledAt.contains(id) || isFinal(phaseOf(id));
        const auto task = mayWait ? std::nullopt : findStartableTask(m_submittedJobs.at(id));
        if (m_jobWaits.update(id, task.has_value(), m_now)) {
            const auto name = task->text();
            recordHistory(name,
                          describe(m_submittedJobs.at(id).m_steps[task->m_step]) + " has waited for more than " + std::to_string(longestWait.count())
                              + " ms, used cpu " + std::to_string(use.m_used.m_cpuMillis) + " of " + std::to_string(use.m_capacity.m_cpuMillis) + ", memory "
                              + std::to_string(use.m_used.m_memoryMb) + " of " + std::to_string(use.m_capacity.m_memoryMb));
            recordViolation("held_back", name);
        }
    }
}

auto FleetSimulation::checkServingTasks() -> void
{
    const bool isCalmNow = isCalm();
    const auto running = runningTasks();
    for (const auto &id : m_jobs) {
        const auto &job = m_submittedJobs.at(id);
        const bool isOver = m_cancelledAt.contains(id) || isFinal(phaseOf(id));
        for (std::uint32_t number = 0; number < job.m_steps.size(); ++number) {
            const auto &step = job.m_steps[number];
            // A limit for each worker, or a step that must come first, may keep a task away for longer.
            if (!step.m_isServing || step.m_maxPerWorker != 0 || !step.m_after.empty()) {
                continue;
            }
            const bool mayWait = isOver || !isCalmNow || countFits(step, reclaimableOf) < 2;
            for (std::uint32_t index = 0; index < step.m_count; ++index) {
                const auto name = TaskId{id, 0, number, index}.text();
                if (m_absences.update(name, !mayWait && !running.contains(name), m_now)) {
                    recordHistory(name, describe(step) + " is away for more than " + std::to_string(longestServingAbsence.count()) + " ms");
                    recordViolation("away", name);
                }
            }
        }
    }
}

auto FleetSimulation::checkHarm() -> void
{
    const bool isCalmNow = isCalm();
    for (const auto &worker : m_workers) {
        const bool hasFills = std::ranges::any_of(worker->m_runs, [](const auto &entry) {
            return entry.second.m_step->m_isFilling && entry.second.m_pace > 0;
        });
        for (const auto &[name, run] : worker->m_runs) {
            const bool hasTarget = run.m_step->m_isServing && run.m_step->m_tailTarget.count() > 0;
            const bool isHarmed = isCalmNow && hasFills && hasTarget && run.m_headroom < 1.0 && run.m_headroomWithoutFills > 1.0;
            if (m_harms.update(name + "/" + std::to_string(run.m_run), isHarmed, m_now)) {
                recordHistory(name,
                              "is over its target for more than " + std::to_string(longestHarm.count()) + " ms, headroom " + std::to_string(run.m_headroom)
                                  + ", without filling tasks " + std::to_string(run.m_headroomWithoutFills) + describeFills(*worker));
                recordViolation("harm", name);
            }
        }
    }
}
}
