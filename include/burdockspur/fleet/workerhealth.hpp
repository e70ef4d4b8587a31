#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Burdockspur
{
/// @brief Decides whether a worker may get tasks, from the failures and refusals on it.
///
/// Failures of a single job are attributed to the job. A worker on which tasks of several jobs fail within seconds is avoided for a
/// pause that grows each time. It is then on probation: it gets single tasks until one of them succeeds or some time passes without
/// a failure.
class WorkerHealth
{
public:
    /// @brief Records that a task on the worker has succeeded.
    auto recordSuccess() noexcept -> void;

    /// @brief Records that a task on the worker has failed.
    /// @param job job of the task; failures of one job alone do not count against the worker
    auto recordFailure(std::string_view job, TimePoint now) -> void;

    /// @brief Records that the worker has refused a start order.
    auto recordRefusal(TimePoint now) noexcept -> void;

    /// @brief Records that tasks of several jobs make hardly any progress on the worker.
    auto recordSlowRuns(TimePoint now) noexcept -> void;

    /// @brief Records that a task was assigned to the worker.
    auto recordAssignment(TimePoint now) noexcept -> void
    {
        m_assignedAt = now;
    }

    /// @brief True if the worker may get a task.
    [[nodiscard]] auto isTrusted(TimePoint now) const noexcept -> bool;

private:
    using Failure = std::pair<TimePoint, std::string>;

    [[nodiscard]] auto distinctJobs() const -> std::size_t;

    std::vector<Failure> m_failures; ///< recent failures since the last success
    TimePoint m_avoidUntil;
    TimePoint m_probationUntil;
    TimePoint m_assignedAt;
    Milliseconds m_pause{0}; ///< length of the last pause after failures
};
}
