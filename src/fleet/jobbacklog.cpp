#include "burdockspur/fleet/jobbacklog.hpp"

#include <algorithm>

namespace Burdockspur
{
auto JobBacklog::tasksOf(std::uint32_t occurrence, std::uint32_t step) const noexcept -> std::span<const Task>
{
    const auto entry = std::ranges::find_if(m_steps, [=](const Step &other) {
        return other.m_occurrence == occurrence && other.m_step == step;
    });
    return entry == m_steps.end() ? std::span<const Task>() : std::span(entry->m_tasks);
}
}
