#pragma once

#include "burdockspur/contract/taskjob.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/failureattribution.hpp"
#include "burdockspur/fleet/fillinterferencemodel.hpp"
#include "burdockspur/fleet/headroomtrend.hpp"
#include "burdockspur/fleet/jobbacklog.hpp"
#include "burdockspur/fleet/jobprogress.hpp"
#include "burdockspur/fleet/placementrefusal.hpp"
#include "burdockspur/fleet/stragglers/stepdurations.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace Burdockspur
{
class JobChanges;
class TaskKinds;

/// @brief A job of the owner with its progress: tracks its occurrences and tasks, and which changes are not stored yet.
class FleetJob
{
public:
    /// @brief Mean headroom of the job's serving tasks on one worker, with the filling tasks beside them; see FillInterferenceModel.
    struct HeadroomSample {
        std::string m_worker;
        double m_headroom = 0;
        std::vector<FillUse> m_fillUses;
        TimePoint m_at;
    };
    std::vector<HeadroomSample> m_headrooms; ///< latest sample of each worker
    HeadroomTrend m_trend; ///< trend of the samples of all workers
    PlacementRefusal m_refusal; ///< latest search that found no worker for a task of the job
    TimePoint m_heldLoggedAt; ///< see HeldTaskLog
    FailureAttribution m_failedRuns;
    FailureAttribution m_slowRuns;
    StepDurations m_stepDurations; ///< of the steps that allow copies

    /// @param job the job as submitted
    /// @param now start of its deadline, unless the wall clock shows that the job is older
    /// @param wallNow wall clock of this host
    FleetJob(TaskJob job, TimePoint now, TaskJob::WallTime wallNow);

    [[nodiscard]] auto job() const noexcept -> const TaskJob &
    {
        return m_job;
    }

    [[nodiscard]] auto progress() const noexcept -> const JobProgress &
    {
        return m_progress;
    }

    /// @brief Registers this job's changes in a list from now on.
    /// @param changes list; must outlive the job
    auto trackChanges(JobChanges &changes) -> void;

    /// @brief Marks the backlog as out of date after a change of a task.
    auto invalidateBacklog() -> void;

    /// @brief Recomputes the backlog.
    /// @param policy policy in force for the job; must live until the next call or the end of the job
    /// @param kinds numbers the kinds of the steps
    auto updateBacklog(const JobQueuePolicy &policy, TaskKinds &kinds, TimePoint now) -> void;

    /// @brief The tasks that may start and the remaining work, as of the last updateBacklog().
    [[nodiscard]] auto backlog() const noexcept -> const JobBacklog &
    {
        return m_backlog;
    }

    /// @brief Adjusts the number of runs of this job on workers; a run counts whatever the phase of its task.
    /// @param change 1 for a new run, -1 for a removed one
    auto adjustRunCount(int change) noexcept -> void
    {
        m_runCount += change;
    }

    [[nodiscard]] auto hasRuns() const noexcept -> bool
    {
        return m_runCount > 0;
    }

    /// @brief True if no more decisions concern the job: it is final, has no open task, and all of that is stored or being stored.
    [[nodiscard]] auto isSettled() const noexcept -> bool
    {
        return isFinal(m_progress.m_phase) && m_progress.m_open.empty() && !m_isDirty;
    }

    /// @brief Restores the progress that a previous owner has stored.
    /// @returns false if it does not match the job's steps; the progress is then unchanged
    [[nodiscard]] auto restore(JobProgress &&progress) -> bool;

    /// @brief Declares that the job has waited for a run under an earlier owner, unless a run of it is stored.
    ///
    /// That owner's times are not stored, so the job counts as idle since its acceptance.
    auto continueWait() noexcept -> void;

    /// @brief Opens all occurrences that are due, as far as maxOpenTasks allows.
    /// @param wallNow wall clock of this host
    /// @returns true if at least one was opened
    auto openDueOccurrences(TaskJob::WallTime wallNow) -> bool;

    /// @brief Due time of the next occurrence; empty if all were opened.
    [[nodiscard]] auto nextDueTime() const noexcept -> std::optional<TaskJob::WallTime>;

    /// @brief Finds a task of an open occurrence; nullptr if there is none. Marks the backlog as out of date, because the caller may change the task.
    [[nodiscard]] auto findTask(const TaskId &id) -> TaskProgress *;

    /// @brief Finds a task of an open occurrence; nullptr if there is none.
    [[nodiscard]] auto taskAt(const TaskId &id) const noexcept -> const TaskProgress *;

    /// @brief Step of a task.
    [[nodiscard]] auto stepOf(const TaskId &id) const noexcept -> const TaskStep &
    {
        return m_job.m_steps[id.m_step];
    }

    /// @brief True if the tasks of a step may start: all tasks of the steps that it depends on are done.
    [[nodiscard]] auto isReady(const OccurrenceProgress &occurrence, std::size_t step) const noexcept -> bool;

    /// @brief Closes occurrences whose tasks are all done, and completes the job if none is left.
    /// @returns true if the job was completed
    auto closeFinishedOccurrences() -> bool;

    /// @brief Sets the phase; has no effect if the current phase is final.
    auto setPhase(JobPhase phase) -> void;

    /// @brief Removes the tasks of a final job once none of them is assigned any more.
    auto dropTasksWhenIdle() -> void;

    /// @brief Records that a worker has confirmed a running or ended task.
    auto markStarted() noexcept -> void
    {
        m_hasStarted = true;
        m_hasConfirmedRun = true;
        m_backlog.m_idleSince.reset();
    }

    /// @brief False until a worker has confirmed a task; assignments that are only stored or ordered do not count.
    [[nodiscard]] auto hasStarted() const noexcept -> bool
    {
        return m_hasStarted;
    }

    /// @brief When the job was accepted, as far as the clocks of the hosts allow to tell.
    [[nodiscard]] auto acceptedAt() const noexcept -> TimePoint
    {
        return m_acceptedAt;
    }

    /// @brief End of the job's objective.
    [[nodiscard]] auto deadline() const noexcept -> TimePoint
    {
        return m_deadline;
    }

    /// @brief Time after which the completion of the job no longer counts: three times its objective.
    [[nodiscard]] auto expiry() const noexcept -> TimePoint
    {
        return m_expiry;
    }

    /// @brief Remaining work of the open occurrences.
    struct RemainingWork {
        Milliseconds m_criticalPath{0}; ///< declared duration of the longest chain of unfinished steps
        double m_coreSeconds = 0; ///< declared work of all unfinished tasks
    };
    [[nodiscard]] auto remainingWork() const -> RemainingWork;

    /// @brief Declared work of all tasks of one occurrence, in core seconds.
    [[nodiscard]] auto totalWork() const noexcept -> double
    {
        return m_totalWork;
    }

    /// @brief Records a change of the progress that has to be stored.
    auto markChanged() -> void;

    /// @brief Puts a change whose commit was not stored back into its place in the order of changes.
    /// @param change number of the change
    auto restoreChange(std::uint64_t change) -> void;

    /// @brief Records that the job's progress has become part of a commit.
    /// @returns number of the job's first change that the commit stores
    [[nodiscard]] auto clearDirty() noexcept -> std::uint64_t
    {
        m_isDirty = false;
        return m_changeNumber;
    }

    [[nodiscard]] auto isDirty() const noexcept -> bool
    {
        return m_isDirty;
    }

    /// @brief Records that continuation rows of the progress may be stored.
    /// @param count highest number of such a row; see encodeProgressRows()
    auto recordContinuationRows(std::uint32_t count) noexcept -> void
    {
        m_continuationRows = std::max(m_continuationRows, count);
    }

    /// @brief Highest number of a continuation row that may be stored; 0 for none.
    [[nodiscard]] auto continuationRows() const noexcept -> std::uint32_t
    {
        return m_continuationRows;
    }

    /// @brief Number of the first change that is not part of a commit; an earlier number if there is no such change.
    [[nodiscard]] auto changeNumber() const noexcept -> std::uint64_t
    {
        return m_changeNumber;
    }

private:
    [[nodiscard]] auto openTaskCount() const noexcept -> std::size_t;
    [[nodiscard]] auto hasAssignedTask() const noexcept -> bool;
    auto openOccurrence(std::uint32_t number) -> void;

    TaskJob m_job;
    JobProgress m_progress;
    TimePoint m_acceptedAt;
    TimePoint m_deadline;
    TimePoint m_expiry;
    JobBacklog m_backlog;
    JobChanges *m_changes = nullptr;
    double m_totalWork = 0;
    int m_runCount = 0;
    bool m_isBacklogStale = false; ///< the backlog is out of date
    bool m_isDirty = false;
    std::uint64_t m_changeNumber = 0; ///< see changeNumber()
    std::uint32_t m_continuationRows = 0; ///< see continuationRows()
    bool m_hasStarted = false;
    bool m_hasConfirmedRun = false; ///< a worker has confirmed a run since the job had none
};
}
