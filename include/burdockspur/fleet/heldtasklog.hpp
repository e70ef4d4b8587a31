#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/identifiers.hpp"

#include <cstddef>
#include <unordered_set>

namespace Burdockspur
{
class FleetJob;

/// @brief Logs why tasks wait: a line for each job whose oldest waiting task has waited for more than a second.
///
/// Bounded: the jobs that were not logged for the longest time go first, a few each second, and each job once in some seconds.
class HeldTaskLog
{
public:
    /// @brief Writes the lines that are due.
    /// @param waiting jobs with tasks that may start, with their latest refusals
    /// @param epoch of the owner
    auto write(const std::unordered_set<FleetJob *> &waiting, Epoch epoch, TimePoint now) -> void;

    /// @brief Number of jobs that had a waiting task and no run for more than a second when the lines were last due.
    [[nodiscard]] auto idleJobs() const noexcept -> std::size_t
    {
        return m_idleJobs;
    }

    /// @brief Longest time for which one of these jobs had no run.
    [[nodiscard]] auto longestIdle() const noexcept -> Duration
    {
        return m_longestIdle;
    }

private:
    TimePoint m_writtenAt;
    std::size_t m_idleJobs = 0;
    Duration m_longestIdle{0};
};
}
