#include "burdockspur/fleet/jobbacklog.hpp"

#include <algorithm>

namespace Burdockspur
{
auto JobBacklog::waitingSince(std::uint32_t occurrence, std::uint32_t step, std::uint32_t index) const noexcept -> std::optional<TimePoint>
{
    const auto entry = std::ranges::find_if(m_steps, [=](const Step &other) {
        return other.m_occurrence == occurrence && other.m_step == step;
    });
    if (entry == m_steps.end()) {
        return std::nullopt;
    }
    const auto task = std::ranges::find(entry->m_tasks, index, &Task::m_index);
    return task == entry->m_tasks.end() ? std::nullopt : std::optional(task->m_waitingSince);
}
}
