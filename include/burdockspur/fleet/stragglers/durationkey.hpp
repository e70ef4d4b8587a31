#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Burdockspur
{
struct TaskJob;

/// @brief Kind of a finite run: runs of one kind are expected to take equally long.
///
/// Amounts that differ from job to job are rounded to powers of two, so that jobs that differ little share what is learned.
struct DurationKey {
    std::string m_queue;
    std::string m_image;
    std::uint32_t m_step = 0; ///< number of the step in its job
    std::uint32_t m_cpuClass = 0; ///< binary logarithm of the declared processors in thousandths of a core
    std::uint32_t m_estimateClass = 0; ///< binary logarithm of the declared duration in milliseconds

    /// @brief Kind of the runs of a step.
    /// @param step number of the step; must exist in the job
    [[nodiscard]] static auto of(const TaskJob &job, std::uint32_t step) -> DurationKey;

    [[nodiscard]] auto operator<=>(const DurationKey &) const = default;
};
}
