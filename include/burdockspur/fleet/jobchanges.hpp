#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <unordered_set>
#include <vector>

namespace Burdockspur
{
class FleetJob;

/// @brief Lists the jobs of an owner that have changed, so that a round does not have to visit all jobs.
class JobChanges
{
public:
    /// Jobs whose progress has to be stored, by the number of their first change that is not stored. If they were ordered by id, low
    /// ids that keep changing would prevent that high ids are ever stored.
    std::map<std::uint64_t, FleetJob *> m_dirtyJobs;
    std::uint64_t m_lastChange = 0; ///< number of the last change of any job
    std::vector<FleetJob *> m_staleBacklogs; ///< jobs whose backlog is out of date, without duplicates
    std::unordered_set<FleetJob *> m_waiting; ///< jobs with tasks that may start, as of their last backlog
    std::unordered_set<FleetJob *> m_awaitingDueTime; ///< jobs with occurrences that were not opened yet

    /// @brief Removes a job from all lists; required before the job is destroyed.
    auto removeJob(FleetJob &job) -> void;

    auto clear() noexcept -> void;

    /// @brief Number of the oldest change that is not part of a commit; the largest number if there is none.
    [[nodiscard]] auto oldestDirtyChange() const noexcept -> std::uint64_t
    {
        return m_dirtyJobs.empty() ? std::numeric_limits<std::uint64_t>::max() : m_dirtyJobs.begin()->first;
    }
};
}
