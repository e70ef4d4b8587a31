#include "burdockspur/fleet/takeover/queueworkmeans.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Jobs that the running mean remembers; the mix of a queue changes within minutes.
constexpr std::uint32_t rememberedJobs = 20;
}

auto QueueWorkMeans::add(std::string_view queue, double coreSeconds) -> void
{
    auto entry = m_means.find(queue);
    if (entry == m_means.end()) {
        entry = m_means.emplace(std::string(queue), Mean{}).first;
    }
    auto &mean = entry->second;
    mean.m_jobs = std::min(mean.m_jobs + 1, rememberedJobs);
    mean.m_coreSeconds += (coreSeconds - mean.m_coreSeconds) / mean.m_jobs;
}

auto QueueWorkMeans::mean(std::string_view queue) const -> std::optional<double>
{
    const auto entry = m_means.find(queue);
    return entry == m_means.end() ? std::nullopt : std::optional(entry->second.m_coreSeconds);
}
}
