#include "burdockspur/fleet/lookahead/jobsizes.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
constexpr std::size_t maxWorks = 256;
constexpr std::size_t minWorks = 20;
/// The bounds are computed again after this many jobs.
constexpr std::size_t sortInterval = 16;
/// Queues of a configuration are few; more come only from a caller's error.
constexpr std::size_t maxQueues = 256;
}

auto JobSizes::record(std::string_view queue, double work) -> JobSize
{
    auto entry = m_queues.find(queue);
    if (entry == m_queues.end()) {
        if (m_queues.size() >= maxQueues) {
            return JobSize::Rest;
        }
        entry = m_queues.emplace(std::string(queue), Queue{}).first;
    }
    auto &known = entry->second;
    if (known.m_works.size() < maxWorks) {
        known.m_works.push_back(work);
    } else {
        known.m_works[known.m_next] = work;
        known.m_next = (known.m_next + 1) % maxWorks;
    }
    if (known.m_works.size() < minWorks) {
        return JobSize::Rest;
    }
    if (known.m_sinceSorted++ % sortInterval == 0) {
        auto sorted = known.m_works;
        std::ranges::sort(sorted);
        known.m_largestTenth = sorted[sorted.size() * 9 / 10];
        known.m_nextFifth = sorted[sorted.size() * 7 / 10];
    }
    if (work >= known.m_largestTenth) {
        return JobSize::LargestTenth;
    }
    return work >= known.m_nextFifth ? JobSize::NextFifth : JobSize::Rest;
}
}
