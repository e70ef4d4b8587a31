#pragma once

#include "burdockspur/contract/taskid.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief State of a job as shown to its caller.
enum class JobPhase : std::uint8_t {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/// @brief Name of a phase, e.g. `queued`.
[[nodiscard]] auto phaseName(JobPhase phase) noexcept -> std::string_view;

/// @brief True for a phase that never changes again.
[[nodiscard]] auto isFinal(JobPhase phase) noexcept -> bool;

/// @brief State of a task.
enum class TaskPhase : std::uint8_t {
    Waiting,
    Assigned, ///< a run may exist on the worker
    Done,
};

/// @brief Which of the runs of a task a run is.
enum class RunRole : std::uint8_t {
    None, ///< not assigned any more, or never was
    Original,
    Copy,
};

/// @brief A second run of a task, which runs beside the first one.
struct TaskCopy {
    RunNumber m_run = 0; ///< number of the last copy that was assigned; 0 if none was
    std::string m_worker; ///< id of the worker while assigned; otherwise empty
    std::uint64_t m_incarnation = 0; ///< incarnation of the worker while assigned

    [[nodiscard]] auto operator==(const TaskCopy &) const -> bool = default;
};

/// @brief Stored state of a task.
struct TaskProgress {
    TaskPhase m_phase = TaskPhase::Waiting;
    RunNumber m_run = 0; ///< number of the last run that was assigned, apart from a copy that has not taken its place
    std::uint32_t m_failures = 0;
    std::string m_worker; ///< id of the worker while assigned; otherwise empty
    std::uint64_t m_incarnation = 0; ///< incarnation of the worker while assigned
    std::string m_checkpoint; ///< empty for none
    RunNumber m_lastFailedRun = 0; ///< highest run that was counted in m_failures
    TaskCopy m_copy{}; ///< only of a step that allows copies; assigned only while the task is

    [[nodiscard]] auto hasCopy() const noexcept -> bool
    {
        return !m_copy.m_worker.empty();
    }

    /// @brief Number of the next run; no run of the task has had it.
    [[nodiscard]] auto nextRun() const noexcept -> RunNumber;

    [[nodiscard]] auto roleOf(RunNumber run) const noexcept -> RunRole;

    /// @brief Assigns a copy.
    auto assignCopy(RunNumber run, std::string_view worker, std::uint64_t incarnation) -> void;

    /// @brief Ends the assignment of a run. The copy takes the place of the original run; without one, the task waits again.
    auto release(RunNumber run) -> void;

    /// @brief Ends all assignments of a task that has succeeded.
    auto complete() -> void;

    [[nodiscard]] auto operator==(const TaskProgress &) const -> bool = default;
};

/// @brief Stored state of the tasks of one step of an occurrence.
struct StepProgress {
    std::vector<TaskProgress> m_tasks;

    [[nodiscard]] auto operator==(const StepProgress &) const -> bool = default;
};

/// @brief Stored state of one occurrence: one execution of all steps of a job.
struct OccurrenceProgress {
    std::uint32_t m_number = 0;
    std::vector<StepProgress> m_steps;

    [[nodiscard]] auto operator==(const OccurrenceProgress &) const -> bool = default;
};

/// @brief Stored state of a job, apart from its submission.
struct JobProgress {
    JobPhase m_phase = JobPhase::Queued;
    std::uint32_t m_nextOccurrence = 0; ///< number of the first occurrence that was not opened yet
    std::vector<OccurrenceProgress> m_open; ///< occurrences that were opened and have not ended

    [[nodiscard]] auto operator==(const JobProgress &) const -> bool = default;
};
}
