#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <unordered_set>
#include <vector>

namespace Burdockspur
{
class FleetJob;

/// @brief Which jobs of an owner have changed, so that a round looks at these instead of at all.
class JobChanges
{
public:
    /// Whose progress has to be stored, by the number of the first change that is not. By id, low ids that change again and again
    /// would keep high ones from ever being stored.
    std::map<std::uint64_t, FleetJob *> m_dirty;
    std::uint64_t m_lastChange = 0; ///< number of the last change of any job
    std::vector<FleetJob *> m_tasksChanged; ///< whose backlog is out of date; each once
    std::unordered_set<FleetJob *> m_waiting; ///< with tasks that may start, by their last backlog
    std::unordered_set<FleetJob *> m_due; ///< with occurrences that have not begun

    /// @brief Drops a job that ends to exist.
    auto forget(FleetJob &job) -> void;

    auto clear() noexcept -> void;

    /// @brief Number of the oldest change that is not part of a commit; a number that is never reached when there is none.
    [[nodiscard]] auto oldestDirty() const noexcept -> std::uint64_t
    {
        return m_dirty.empty() ? std::numeric_limits<std::uint64_t>::max() : m_dirty.begin()->first;
    }
};
}
