#pragma once

#include "burdockspur/contract/taskid.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief State of a job as its caller sees it.
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

/// @brief What is durable about a task.
struct TaskProgress {
    TaskPhase m_phase = TaskPhase::Waiting;
    RunNumber m_run = 0; ///< of the last run assigned
    std::uint32_t m_failures = 0;
    std::string m_worker; ///< while assigned
    std::uint64_t m_incarnation = 0; ///< of the worker, while assigned
    std::string m_checkpoint; ///< empty for none
    RunNumber m_failedRun = 0; ///< last run that is counted among the failures

    [[nodiscard]] auto operator==(const TaskProgress &) const -> bool = default;
};

/// @brief The tasks of one step of an occurrence.
struct StepProgress {
    std::vector<TaskProgress> m_tasks;

    [[nodiscard]] auto operator==(const StepProgress &) const -> bool = default;
};

/// @brief One time that the steps of a job run.
struct OccurrenceProgress {
    std::uint32_t m_number = 0;
    std::vector<StepProgress> m_steps;

    [[nodiscard]] auto operator==(const OccurrenceProgress &) const -> bool = default;
};

/// @brief What is durable about a job beside its submission.
struct JobProgress {
    JobPhase m_phase = JobPhase::Queued;
    std::uint32_t m_nextOccurrence = 0; ///< first occurrence that has not begun
    std::vector<OccurrenceProgress> m_open; ///< occurrences that have begun and not ended

    [[nodiscard]] auto operator==(const JobProgress &) const -> bool = default;
};
}
