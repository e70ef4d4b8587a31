#include "burdockspur/fleet/fleetjob.hpp"

#include "burdockspur/fleet/jobchanges.hpp"
#include "burdockspur/fleet/taskkinds.hpp"

#include <algorithm>
#include <utility>

namespace Burdockspur
{
namespace
{
/// Longest objective; three times as long still fits into a time point.
constexpr Milliseconds maxObjective{1'000'000'000'000};

/// Larger ages of a job are cut to this value, because the wall clocks of two hosts may differ or jump.
constexpr Milliseconds maxTrustedAge{60'000};

[[nodiscard]] auto isDone(const StepProgress &step) noexcept -> bool
{
    return std::ranges::all_of(step.m_tasks, [](const TaskProgress &task) {
        return task.m_phase == TaskPhase::Done;
    });
}

/// A job that takes longer than this multiple of its objective no longer has any value (platform's rule).
constexpr int expiryFactor = 3;

/// @brief Declared duration of the longest chain of steps, without the steps that are done.
/// @param occurrence progress of the occurrence whose finished steps count as zero; nullptr counts all steps
[[nodiscard]] auto criticalPath(const TaskJob &job, const OccurrenceProgress *occurrence) -> Milliseconds
{
    std::vector<Milliseconds> ends;
    ends.reserve(job.m_steps.size());
    for (std::size_t i = 0; i < job.m_steps.size(); ++i) {
        Milliseconds begin{0};
        for (const auto earlier : job.m_steps[i].m_after) {
            begin = std::max(begin, ends[earlier]);
        }
        const bool isOver = occurrence != nullptr && isDone(occurrence->m_steps[i]);
        ends.push_back(isOver ? begin : begin + job.m_steps[i].m_estimate);
    }
    return ends.empty() ? Milliseconds{0} : *std::ranges::max_element(ends);
}

/// @brief True if a run of the occurrence is known to have succeeded or failed.
[[nodiscard]] auto hasEndedRun(const OccurrenceProgress &occurrence) noexcept -> bool
{
    return std::ranges::any_of(occurrence.m_steps, [](const StepProgress &step) {
        return std::ranges::any_of(step.m_tasks, [](const TaskProgress &task) {
            return task.m_phase == TaskPhase::Done || task.m_failures > 0;
        });
    });
}

[[nodiscard]] auto taskCountOf(const TaskJob &job) noexcept -> std::size_t
{
    std::size_t tasks = 0;
    for (const auto &step : job.m_steps) {
        tasks += step.m_count;
    }
    return tasks;
}

/// @brief Finds a task; nullptr if there is none.
template<typename Progress>
[[nodiscard]] auto taskIn(Progress &progress, const TaskId &id) noexcept -> decltype(&progress.m_open[0].m_steps[0].m_tasks[0])
{
    const auto occurrence = std::ranges::find(progress.m_open, id.m_occurrence, &OccurrenceProgress::m_number);
    if (occurrence == progress.m_open.end() || id.m_step >= occurrence->m_steps.size()) {
        return nullptr;
    }
    auto &tasks = occurrence->m_steps[id.m_step].m_tasks;
    return id.m_index < tasks.size() ? &tasks[id.m_index] : nullptr;
}

[[nodiscard]] auto workOf(const TaskStep &step) noexcept -> double
{
    constexpr double millisPerUnit = 1000.0;
    return static_cast<double>(step.m_demand.m_cpuMillis) / millisPerUnit * static_cast<double>(step.m_estimate.count()) / millisPerUnit;
}

}

FleetJob::FleetJob(TaskJob job, TimePoint now, TaskJob::WallTime wallNow)
    : m_job(std::move(job))
{
    const auto age = std::clamp(std::chrono::duration_cast<Milliseconds>(wallNow - m_job.m_acceptedAt), Milliseconds{0}, maxTrustedAge);
    using RealMilliseconds = std::chrono::duration<double, std::milli>;
    const auto wanted = RealMilliseconds(criticalPath(m_job, nullptr)) * m_job.m_policy.m_stretch + RealMilliseconds(m_job.m_policy.m_target);
    const auto objective = std::chrono::duration_cast<Milliseconds>(std::clamp(wanted, RealMilliseconds::zero(), RealMilliseconds(maxObjective)));
    m_acceptedAt = now - age;
    m_deadline = m_acceptedAt + objective;
    m_expiry = m_acceptedAt + expiryFactor * objective;
    for (const auto &step : m_job.m_steps) {
        m_totalWork += step.m_count * workOf(step);
    }
}

auto FleetJob::trackChanges(JobChanges &changes) -> void
{
    m_changes = &changes;
    if (m_isDirty) {
        restoreChange(++changes.m_lastChange);
    }
    m_isBacklogStale = false;
    invalidateBacklog();
}

auto FleetJob::markChanged() -> void
{
    if (!m_isDirty) {
        restoreChange(m_changes == nullptr ? 0 : ++m_changes->m_lastChange);
    }
}

auto FleetJob::restoreChange(std::uint64_t change) -> void
{
    if (m_changes != nullptr) {
        if (m_isDirty) {
            m_changes->m_dirtyJobs.erase(m_changeNumber);
        }
        m_changes->m_dirtyJobs.emplace(change, this);
    }
    m_isDirty = true;
    m_changeNumber = change;
}

auto FleetJob::invalidateBacklog() -> void
{
    if (!std::exchange(m_isBacklogStale, true) && m_changes != nullptr) {
        m_changes->m_staleBacklogs.push_back(this);
    }
}

auto FleetJob::updateBacklog(const JobQueuePolicy &policy, TaskKinds &kinds, TimePoint now) -> void
{
    m_isBacklogStale = false;
    const auto before = std::exchange(m_backlog, {});
    m_backlog.m_policy = &policy;
    // A queue may come to need advice after it has accepted jobs; without a ticket, every start would be refused.
    if (isFinal(m_progress.m_phase) || policy.m_needsAdvice) {
        return;
    }
    const auto left = remainingWork();
    m_backlog.m_criticalPath = left.m_criticalPath;
    m_backlog.m_coreSeconds = left.m_coreSeconds;
    auto earlier = std::span(before.m_steps);
    for (auto &occurrence : m_progress.m_open) {
        for (std::uint32_t number = 0; number < occurrence.m_steps.size(); ++number) {
            if (!isReady(occurrence, number)) {
                continue;
            }
            const auto &step = m_job.m_steps[number];
            JobBacklog::Step entry{occurrence.m_number, number, 0, {}, {}};
            auto &tasks = occurrence.m_steps[number].m_tasks;
            while (!earlier.empty() && earlier.front().position() < std::pair(occurrence.m_number, number)) {
                earlier = earlier.subspan(1);
            }
            const bool hasEarlier = !earlier.empty() && earlier.front().position() == std::pair(occurrence.m_number, number);
            auto known = hasEarlier ? std::span(earlier.front().m_tasks) : std::span<const JobBacklog::Task>();
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                while (!known.empty() && known.front().m_index < index) {
                    known = known.subspan(1);
                }
                if (tasks[index].m_phase == TaskPhase::Waiting) {
                    const bool isKnown = !known.empty() && known.front().m_index == index;
                    entry.m_tasks.push_back({index, &tasks[index], isKnown ? known.front().m_waitingSince : now});
                }
            }
            if (entry.m_tasks.empty()) {
                continue;
            }
            entry.m_newestSince = std::ranges::max(entry.m_tasks, {}, &JobBacklog::Task::m_waitingSince).m_waitingSince;
            const auto oldest = std::ranges::min(entry.m_tasks, {}, &JobBacklog::Task::m_waitingSince).m_waitingSince;
            m_backlog.m_waitingSince = m_backlog.m_taskCount == 0 ? oldest : std::min(m_backlog.m_waitingSince, oldest);
            entry.m_kind = kinds.numberOf(policy.m_pool, step);
            m_backlog.m_taskCount += entry.m_tasks.size();
            m_backlog.m_fillCpu += step.m_isFilling ? step.m_demand.m_cpuMillis * static_cast<std::int64_t>(entry.m_tasks.size()) : 0;
            m_backlog.m_steps.push_back(std::move(entry));
        }
    }
    if (m_backlog.m_taskCount > 0 && !(m_hasConfirmedRun && hasRuns())) {
        m_backlog.m_idleSince = m_hasConfirmedRun ? now : before.m_idleSince.value_or(now);
    }
    m_hasConfirmedRun = m_hasConfirmedRun && hasRuns();
}

auto FleetJob::remainingWork() const -> RemainingWork
{
    RemainingWork left;
    for (const auto &occurrence : m_progress.m_open) {
        left.m_criticalPath = std::max(left.m_criticalPath, criticalPath(m_job, &occurrence));
        for (std::size_t i = 0; i < occurrence.m_steps.size(); ++i) {
            const auto unfinished = std::ranges::count_if(occurrence.m_steps[i].m_tasks, [](const TaskProgress &task) {
                return task.m_phase != TaskPhase::Done;
            });
            left.m_coreSeconds += static_cast<double>(unfinished) * workOf(m_job.m_steps[i]);
        }
    }
    return left;
}

auto FleetJob::restore(JobProgress &&progress) -> bool
{
    const bool fits = std::ranges::all_of(progress.m_open, [this](const OccurrenceProgress &occurrence) {
        return std::ranges::equal(occurrence.m_steps, m_job.m_steps, [](const StepProgress &stored, const TaskStep &step) {
            return stored.m_tasks.size() == step.m_count;
        });
    });
    if (fits) {
        m_progress = std::move(progress);
        invalidateBacklog();
        // An assignment does not prove a start; a report will confirm it.
        m_hasStarted = m_progress.m_nextOccurrence > m_progress.m_open.size() || std::ranges::any_of(m_progress.m_open, hasEndedRun);
    }
    return fits;
}

auto FleetJob::continueWait() noexcept -> void
{
    if (!hasAssignedTask()) {
        m_backlog.m_idleSince = m_acceptedAt;
    }
}

auto FleetJob::nextDueTime() const noexcept -> std::optional<TaskJob::WallTime>
{
    if (m_job.m_repeats == 0) {
        return m_progress.m_nextOccurrence == 0 ? std::optional(TaskJob::WallTime{}) : std::nullopt;
    }
    if (m_progress.m_nextOccurrence >= m_job.m_repeats) {
        return std::nullopt;
    }
    return m_job.m_firstDue + m_job.m_interval * m_progress.m_nextOccurrence;
}

auto FleetJob::openDueOccurrences(TaskJob::WallTime wallNow) -> bool
{
    bool hasOpened = false;
    while (!isFinal(m_progress.m_phase)) {
        const auto due = nextDueTime();
        if (!due || *due > wallNow || openTaskCount() + taskCountOf(m_job) > maxOpenTasks) {
            break;
        }
        openOccurrence(m_progress.m_nextOccurrence++);
        invalidateBacklog();
        hasOpened = true;
    }
    return hasOpened;
}

auto FleetJob::openTaskCount() const noexcept -> std::size_t
{
    return m_progress.m_open.size() * taskCountOf(m_job);
}

auto FleetJob::openOccurrence(std::uint32_t number) -> void
{
    auto &occurrence = m_progress.m_open.emplace_back();
    occurrence.m_number = number;
    occurrence.m_steps.resize(m_job.m_steps.size());
    for (std::size_t i = 0; i < m_job.m_steps.size(); ++i) {
        occurrence.m_steps[i].m_tasks.resize(m_job.m_steps[i].m_count);
    }
}

auto FleetJob::findTask(const TaskId &id) -> TaskProgress *
{
    auto *const task = taskIn(m_progress, id);
    if (task != nullptr) {
        invalidateBacklog();
    }
    return task;
}

auto FleetJob::taskAt(const TaskId &id) const noexcept -> const TaskProgress *
{
    return taskIn(m_progress, id);
}

auto FleetJob::isReady(const OccurrenceProgress &occurrence, std::size_t step) const noexcept -> bool
{
    return std::ranges::all_of(m_job.m_steps[step].m_after, [&occurrence](std::uint32_t earlier) {
        return isDone(occurrence.m_steps[earlier]);
    });
}

auto FleetJob::closeFinishedOccurrences() -> bool
{
    if (isFinal(m_progress.m_phase)) {
        return false;
    }
    const auto closed = std::erase_if(m_progress.m_open, [](const OccurrenceProgress &occurrence) {
        return std::ranges::all_of(occurrence.m_steps, isDone);
    });
    if (closed > 0) {
        m_stepDurations.forgetBefore(m_progress.m_open.empty() ? m_progress.m_nextOccurrence : m_progress.m_open.front().m_number);
        invalidateBacklog();
    }
    const bool isOver = m_progress.m_open.empty() && !nextDueTime();
    if (isOver) {
        setPhase(JobPhase::Completed);
    }
    return isOver;
}

auto FleetJob::setPhase(JobPhase phase) -> void
{
    if (!isFinal(m_progress.m_phase) && m_progress.m_phase != phase) {
        m_progress.m_phase = phase;
        markChanged();
        invalidateBacklog();
    }
}

auto FleetJob::hasAssignedTask() const noexcept -> bool
{
    return std::ranges::any_of(m_progress.m_open, [](const OccurrenceProgress &occurrence) {
        return std::ranges::any_of(occurrence.m_steps, [](const StepProgress &step) {
            return std::ranges::find(step.m_tasks, TaskPhase::Assigned, &TaskProgress::m_phase) != step.m_tasks.end();
        });
    });
}

auto FleetJob::dropTasksWhenIdle() -> void
{
    if (isFinal(m_progress.m_phase) && !hasAssignedTask() && !m_progress.m_open.empty()) {
        m_progress.m_open.clear();
        markChanged();
        invalidateBacklog();
    }
}
}
