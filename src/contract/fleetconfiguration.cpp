#include "burdockspur/contract/fleetconfiguration.hpp"

#include <algorithm>

namespace Burdockspur
{
auto FleetConfiguration::queueFor(std::string_view host, std::string_view path) const noexcept -> const JobQueuePolicy *
{
    const JobQueuePolicy *best = nullptr;
    for (const auto &queue : m_queues) {
        const bool matches = queue.m_host == host && path.starts_with(queue.m_prefix);
        if (matches && (best == nullptr || queue.m_prefix.size() > best->m_prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

auto FleetConfiguration::queueNamed(std::string_view name) const noexcept -> const JobQueuePolicy *
{
    const auto found = std::ranges::find(m_queues, name, &JobQueuePolicy::m_name);
    return found == m_queues.end() ? nullptr : &*found;
}
}
