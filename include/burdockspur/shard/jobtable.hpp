#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/shard/jobentry.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Burdockspur
{
/// @brief Holds the jobs of one shard by id, their deadlines and the number of jobs in each state.
class JobTable
{
public:
    static constexpr std::size_t stateCount = 7;

    /// @brief Adds a job, or replaces the record of a known job.
    auto put(const JobRecord &record) -> JobEntry &;

    [[nodiscard]] auto find(std::string_view id) -> JobEntry *;
    [[nodiscard]] auto find(std::string_view id) const -> const JobEntry *;

    /// @brief Returns the job of an id, which must exist.
    [[nodiscard]] auto at(std::string_view id) const -> const JobEntry &;

    auto setState(JobEntry &entry, JobState state) -> void;

    /// @brief Sets the time from which dueJobs() returns the job; TimePoint::max() for never.
    auto setDue(JobEntry &entry, TimePoint due) -> void;

    /// @brief Ids of the jobs whose due time has passed.
    [[nodiscard]] auto dueJobs(TimePoint now) const -> std::vector<std::string>;

    /// @brief Earliest due time.
    [[nodiscard]] auto deadline() const noexcept -> TimePoint;

    /// @brief Removes the oldest ended jobs beyond a number.
    /// @param maxEnded number of ended jobs to keep
    /// @param isNeeded returns true for a job that must stay
    auto trimEnded(std::size_t maxEnded, const std::function<bool(std::string_view)> &isNeeded) -> void;

    /// @brief Appends jobs in id order.
    /// @param state only jobs in this state; nullptr for all states
    /// @param after only ids greater than this one
    /// @param limit largest size of the list afterwards
    /// @param jobs list to which the jobs are appended
    auto list(const JobState *state, std::string_view after, std::size_t limit, std::vector<Job> &jobs) const -> void;

    /// @brief Copies all records, for a snapshot.
    [[nodiscard]] auto records() const -> std::vector<JobRecord>;

    [[nodiscard]] auto size() const noexcept -> std::size_t
    {
        return m_entries.size();
    }

    [[nodiscard]] auto entries() noexcept -> std::map<std::string, JobEntry, std::less<>> &
    {
        return m_entries;
    }

    [[nodiscard]] auto countByState() const noexcept -> const std::array<std::size_t, stateCount> &
    {
        return m_counts;
    }

private:
    std::map<std::string, JobEntry, std::less<>> m_entries;
    std::set<std::pair<TimePoint, std::string>> m_timers;
    std::deque<std::string> m_ended; ///< ids of the ended jobs, oldest first
    std::array<std::size_t, stateCount> m_counts{};
};
}
