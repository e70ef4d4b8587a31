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
/// @brief The jobs of one shard by id, with their deadlines and the count of each state.
class JobTable
{
public:
    static constexpr std::size_t stateCount = 7;

    /// @brief Adds a job, or replaces the record of one.
    auto put(const JobRecord &record) -> JobEntry &;

    [[nodiscard]] auto find(std::string_view id) -> JobEntry *;
    [[nodiscard]] auto find(std::string_view id) const -> const JobEntry *;

    /// @brief The job of an id that must exist.
    [[nodiscard]] auto at(std::string_view id) const -> const JobEntry &;

    auto setState(JobEntry &entry, JobState state) -> void;

    /// @brief Sets the time at which expired() returns the job; TimePoint::max() for never.
    auto setDue(JobEntry &entry, TimePoint due) -> void;

    /// @brief Ids of the jobs that are due.
    [[nodiscard]] auto expired(TimePoint now) const -> std::vector<std::string>;

    /// @brief Earliest due time.
    [[nodiscard]] auto deadline() const noexcept -> TimePoint;

    /// @brief Forgets the oldest ended jobs above a count.
    /// @param most ended jobs kept
    /// @param isNeeded true for a job that must stay
    auto trimEnded(std::size_t most, const std::function<bool(std::string_view)> &isNeeded) -> void;

    /// @brief Appends jobs in id order.
    /// @param state only jobs in this state, or all when there is none
    /// @param after only ids greater than this one
    /// @param limit most jobs in the list afterwards
    /// @param jobs appended to
    auto list(const JobState *state, std::string_view after, std::size_t limit, std::vector<Job> &jobs) const -> void;

    /// @brief All records, for a snapshot.
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
    std::deque<std::string> m_ended; ///< oldest first
    std::array<std::size_t, stateCount> m_counts{};
};
}
