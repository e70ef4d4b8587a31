#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/stragglers/copycandidate.hpp"
#include "burdockspur/fleet/stragglers/copycounters.hpp"
#include "burdockspur/fleet/stragglers/copyrecord.hpp"
#include "burdockspur/fleet/stragglers/stragglerpolicy.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
class DurationModel;
class FleetWorker;
struct JobQueuePolicy;
struct TaskRun;
struct TaskStep;

/// @brief Watches the runs of steps that allow copies: which of them are worth one, and which copies run.
///
/// Runs of other steps are never added, so nothing is decided where no job asks for copies.
class StragglerWatch
{
public:
    /// @brief True if the tasks of a step may have copies. Serving tasks do not end, a gang works only as a whole, a step that is to stay in one rack would
    /// be spread, and a filling task is slowed by its neighbours, so that a copy would only press on others.
    [[nodiscard]] static auto mayBeCopied(const TaskStep &step) noexcept -> bool;

    /// @brief Judges a run after a report, or after a report order without an answer.
    /// @param policy policy in force for the job
    /// @returns true if the run has become worth a copy
    auto observe(const FleetWorker &worker, const TaskRun &run, const JobQueuePolicy &policy, const DurationModel &durations, TimePoint now) -> bool;

    /// @brief Worth of a copy of a run now; empty if there is to be none.
    [[nodiscard]] auto worthOf(const FleetWorker &worker, const TaskRun &run, const JobQueuePolicy &policy, const DurationModel &durations, TimePoint now) const
        -> std::optional<CopyWorth>;

    /// @brief True if a copy is projected to end after the original run, so that it is to be stopped.
    /// @param worker worker of the copy
    /// @param originalWorker worker of the original run
    [[nodiscard]] auto isNoFaster(const FleetWorker &worker,
                                  const TaskRun &copy,
                                  const FleetWorker &originalWorker,
                                  const TaskRun &original,
                                  const DurationModel &durations,
                                  TimePoint now) const -> bool;

    [[nodiscard]] auto hasCandidates() const noexcept -> bool
    {
        return !m_candidates.empty();
    }

    /// @brief Runs that were worth a copy when they were last observed, the best first.
    [[nodiscard]] auto candidates() const -> std::vector<CopyCandidate>;

    /// @brief Forgets a candidate that is none any more.
    auto dropCandidate(std::string_view task) -> void;

    /// @brief Records that a copy of a task was assigned, by this owner or a former one.
    auto addCopy(const std::string &task, CopyRecord copy, bool isNew) -> void;

    /// @brief Records that a task has a single run again, or none.
    auto endCopy(std::string_view task) -> void;

    /// @brief Records that a copy has succeeded before the original run.
    auto recordWin() noexcept -> void
    {
        ++m_counters.m_won;
    }

    /// @brief Counts the work of a run that is stopped for another one.
    auto recordWaste(const TaskRun &run, TimePoint now) noexcept -> void;

    /// @brief Copies that run, by the name of their task.
    [[nodiscard]] auto copies() const noexcept -> const std::map<std::string, CopyRecord, std::less<>> &
    {
        return m_copies;
    }

    /// @brief Number of further copies that may be started in a round, see StragglerPolicy::allowance().
    [[nodiscard]] auto allowance(std::size_t runs, std::size_t startRoom) const noexcept -> std::size_t
    {
        return m_policy.allowance(m_copies.size(), runs, startRoom);
    }

    /// @brief Counters since construction.
    [[nodiscard]] auto counters() const noexcept -> const CopyCounters &
    {
        return m_counters;
    }

    /// @brief Forgets all runs; the counters stay.
    auto clear() noexcept -> void;

private:
    StragglerPolicy m_policy;
    std::map<std::string, CopyCandidate, std::less<>> m_candidates; ///< by the name of the task
    std::map<std::string, CopyRecord, std::less<>> m_copies; ///< by the name of the task
    CopyCounters m_counters;
};
}
