#pragma once

#include "burdockspur/contract/taskjob.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/fillinterferencemodel.hpp"
#include "burdockspur/fleet/headroomtrend.hpp"
#include "burdockspur/fleet/jobbacklog.hpp"
#include "burdockspur/fleet/jobprogress.hpp"

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

/// @brief A job with its progress, in the memory of the owner.
class FleetJob
{
public:
    /// @brief Mean headroom of the job's serving tasks on one worker, and what pressed on them; see PressureModel.
    struct HeadroomSample {
        std::string m_worker;
        double m_headroom = 0;
        std::vector<FillUse> m_fills;
        TimePoint m_at;
    };
    std::vector<HeadroomSample> m_headrooms; ///< last sample of each worker
    HeadroomTrend m_trend; ///< from the samples of all workers

    /// @param job as submitted
    /// @param now start of its age, unless the wall clock shows that it is older
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

    /// @brief Tells changes from now on.
    /// @param changes outlive the job
    auto tellChanges(JobChanges &changes) -> void;

    /// @brief Notes that a task has changed, so that the backlog is out of date.
    auto noteTasksChanged() -> void;

    /// @brief Computes the backlog again.
    /// @param policy in force for the job; outlives the next call or the job
    /// @param kinds number its steps
    auto updateBacklog(const JobQueuePolicy &policy, TaskKinds &kinds, TimePoint now) -> void;

    /// @brief What may start, and what is left, as of updateBacklog().
    [[nodiscard]] auto backlog() const noexcept -> const JobBacklog &
    {
        return m_backlog;
    }

    /// @brief True when tasks run until the job is cancelled.
    [[nodiscard]] auto isServing() const noexcept -> bool
    {
        return m_isServing;
    }

    /// @brief Counts the runs of the job's tasks on workers, whatever their task's phase.
    auto countRuns(int change) noexcept -> void
    {
        m_runs += change;
    }

    [[nodiscard]] auto hasRuns() const noexcept -> bool
    {
        return m_runs > 0;
    }

    /// @brief True when nothing more will happen to the job: it is final, no task of it is open, and that is stored or being stored.
    [[nodiscard]] auto isSettled() const noexcept -> bool
    {
        return isFinal(m_progress.m_phase) && m_progress.m_open.empty() && !m_isDirty;
    }

    /// @brief Takes the progress that a previous owner has stored.
    /// @returns false when it does not fit the job's steps; the progress stays as it was
    [[nodiscard]] auto restore(JobProgress &&progress) -> bool;

    /// @brief Begins occurrences that are due, as long as maxOpenTasks allows.
    /// @param wallNow wall clock of this host
    /// @returns true when one has begun
    auto beginDue(TaskJob::WallTime wallNow) -> bool;

    /// @brief Due time of the next occurrence; nothing when all have begun.
    [[nodiscard]] auto nextDue() const noexcept -> std::optional<TaskJob::WallTime>;

    /// @brief A task of an open occurrence, or nullptr. The caller may change it, so the backlog counts as out of date.
    [[nodiscard]] auto task(const TaskId &id) -> TaskProgress *;

    /// @brief The step of a task.
    [[nodiscard]] auto stepOf(const TaskId &id) const noexcept -> const TaskStep &
    {
        return m_job.m_steps[id.m_step];
    }

    /// @brief True when the tasks of a step may start: all tasks of the steps before it are done.
    [[nodiscard]] auto isReady(const OccurrenceProgress &occurrence, std::size_t step) const noexcept -> bool;

    /// @brief Closes occurrences whose tasks are all done, and completes the job when none is left.
    /// @returns true when the phase became final
    auto closeDone() -> bool;

    /// @brief Sets a phase; a final one never changes again.
    auto setPhase(JobPhase phase) -> void;

    /// @brief Forgets the tasks of a final job of which none is assigned any more.
    auto dropTasksWhenIdle() -> void;

    /// @brief A worker has confirmed that a task runs or has ended.
    auto noteBegun() noexcept -> void
    {
        m_hasBegun = true;
    }

    /// @brief False while every task waits, also for the store or for the answer to its order.
    [[nodiscard]] auto hasBegun() const noexcept -> bool
    {
        return m_hasBegun;
    }

    /// @brief When the objective of the job passes.
    [[nodiscard]] auto deadline() const noexcept -> TimePoint
    {
        return m_deadline;
    }

    /// @brief When the job is so late that it is worth nothing any more: three times its objective.
    [[nodiscard]] auto expiry() const noexcept -> TimePoint
    {
        return m_expiry;
    }

    /// @brief What is left to do in the open occurrences.
    struct Remaining {
        Milliseconds m_chain{0}; ///< declared length of the longest chain of unfinished steps
        double m_coreSeconds = 0; ///< declared work of the unfinished tasks
    };
    [[nodiscard]] auto remaining() const -> Remaining;

    /// @brief Declared work of all tasks of one occurrence, in core seconds.
    [[nodiscard]] auto wholeWork() const noexcept -> double
    {
        return m_wholeWork;
    }

    /// @brief Notes a change that has to be stored.
    auto touch() -> void;

    /// @brief Notes a change whose commit was not stored, in its former place.
    /// @param change number that it had
    auto touchAgain(std::uint64_t change) -> void;

    /// @brief The job has become part of a commit.
    /// @returns number of the first change that the commit stores
    [[nodiscard]] auto takeDirty() noexcept -> std::uint64_t
    {
        m_isDirty = false;
        return m_changeNumber;
    }

    [[nodiscard]] auto isDirty() const noexcept -> bool
    {
        return m_isDirty;
    }

    /// @brief Number of the first change that is not part of a commit; that of an earlier one when there is none.
    [[nodiscard]] auto changeNumber() const noexcept -> std::uint64_t
    {
        return m_changeNumber;
    }

private:
    [[nodiscard]] auto openTasks() const noexcept -> std::size_t;
    auto open(std::uint32_t number) -> void;

    TaskJob m_job;
    JobProgress m_progress;
    TimePoint m_deadline;
    TimePoint m_expiry;
    JobBacklog m_backlog;
    JobChanges *m_changes = nullptr;
    double m_wholeWork = 0;
    int m_runs = 0;
    bool m_isServing = false;
    bool m_hasTaskChanges = false; ///< since updateBacklog()
    bool m_isDirty = false;
    std::uint64_t m_changeNumber = 0; ///< see changeNumber()
    bool m_hasBegun = false;
};
}
