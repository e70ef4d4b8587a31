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

/// @brief Stored state of a task.
struct TaskProgress {
    TaskPhase m_phase = TaskPhase::Waiting;
    RunNumber m_run = 0; ///< number of the last run that was assigned
    std::uint32_t m_failures = 0;
    std::string m_worker; ///< id of the worker while assigned; otherwise empty
    std::uint64_t m_incarnation = 0; ///< incarnation of the worker while assigned
    std::string m_checkpoint; ///< empty for none
    RunNumber m_lastFailedRun = 0; ///< last run that was counted in m_failures

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
