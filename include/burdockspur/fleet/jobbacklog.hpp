#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/jobprogress.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Burdockspur
{
struct JobQueuePolicy;

/// @brief What the placement needs of one job; computed again only when the tasks of the job change.
struct JobBacklog {
    /// @brief A task that may start.
    struct Task {
        std::uint32_t m_index = 0;
        TaskProgress *m_progress = nullptr; ///< in the job's progress
        TimePoint m_since; ///< when it was first seen waiting; serving tasks only
    };

    /// @brief The tasks of one step of an occurrence that may start.
    struct Step {
        std::uint32_t m_occurrence = 0;
        std::uint32_t m_step = 0;
        std::size_t m_kind = 0; ///< see TaskKinds
        std::vector<Task> m_tasks;
    };

    const JobQueuePolicy *m_policy = nullptr; ///< in force
    std::vector<Step> m_steps;
    std::size_t m_taskCount = 0; ///< of all steps
    std::int64_t m_fillCpu = 0; ///< declared by the filling tasks among them, in thousandths of a core
    /// @brief When a task was first seen waiting; nothing when it was not waiting.
    [[nodiscard]] auto waitingSince(std::uint32_t occurrence, std::uint32_t step, std::uint32_t index) const noexcept -> std::optional<TimePoint>;

    Milliseconds m_chain{0}; ///< see FleetJob::Remaining
    double m_coreSeconds = 0; ///< see FleetJob::Remaining
};
}
