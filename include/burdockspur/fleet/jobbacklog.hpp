#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/jobprogress.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace Burdockspur
{
struct JobQueuePolicy;

/// @brief The tasks of one job that may start, and its remaining work; recomputed only when the tasks of the job change.
struct JobBacklog {
    /// @brief A task that may start.
    struct Task {
        std::uint32_t m_index = 0;
        TaskProgress *m_progress = nullptr; ///< in the job's progress
        TimePoint m_waitingSince; ///< when the task was first found waiting
    };

    /// @brief The tasks of one step of an occurrence that may start.
    struct Step {
        std::uint32_t m_occurrence = 0;
        std::uint32_t m_step = 0;
        std::size_t m_kind = 0; ///< see TaskKinds
        std::vector<Task> m_tasks; ///< in ascending order of their index
        TimePoint m_newestSince; ///< when the latest of the tasks has begun to wait

        /// @brief Place of the step in m_steps, which are in ascending order.
        [[nodiscard]] auto position() const noexcept
        {
            return std::pair(m_occurrence, m_step);
        }
    };

    const JobQueuePolicy *m_policy = nullptr; ///< policy in force
    std::vector<Step> m_steps;
    std::size_t m_taskCount = 0; ///< number of tasks in all steps
    std::int64_t m_fillCpu = 0; ///< declared demand of the filling tasks among them, in thousandths of a core
    TimePoint m_waitingSince; ///< when the task that waits longest was first found waiting
    /// When the job was first found with waiting tasks and without a run that a worker has confirmed; empty while it has such a run.
    std::optional<TimePoint> m_idleSince;

    Milliseconds m_criticalPath{0}; ///< see FleetJob::RemainingWork
    double m_coreSeconds = 0; ///< see FleetJob::RemainingWork
};
}
