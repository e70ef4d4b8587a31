#pragma once

#include <map>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace Burdockspur
{
class FleetJob;

/// @brief Which jobs of an owner have changed, so that a round looks at these instead of at all.
class JobChanges
{
public:
    std::map<std::string_view, FleetJob *> m_dirty; ///< whose progress has to be stored, by id
    std::vector<FleetJob *> m_tasksChanged; ///< whose backlog is out of date; each once
    std::unordered_set<FleetJob *> m_waiting; ///< with tasks that may start, by their last backlog
    std::unordered_set<FleetJob *> m_due; ///< with occurrences that have not begun

    /// @brief Drops a job that ends to exist.
    auto forget(FleetJob &job) -> void;

    auto clear() noexcept -> void;
};
}
