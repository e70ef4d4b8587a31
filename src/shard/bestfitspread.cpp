#include "burdockspur/shard/bestfitspread.hpp"

#include "burdockspur/contract/job.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/shard/worker.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
// Each job of the same class costs as much as a quarter of the worker's capacity left free.
constexpr double classPenalty = 0.25;
constexpr double tieRange = 0.01; // largest random addition to a score, which breaks ties

[[nodiscard]] auto leftShare(std::int64_t free, std::int64_t demand, std::int64_t capacity) noexcept -> double
{
    return capacity <= 0 ? 0.0 : static_cast<double>(free - demand) / static_cast<double>(capacity);
}

[[nodiscard]] auto scoreOf(const JobSpec &spec, const PlacementCandidate &candidate) -> double
{
    const auto &capacity = candidate.m_worker->m_host.m_capacity;
    const double cpu = leftShare(candidate.m_free.m_cpuMillis, spec.m_demand.m_cpuMillis, capacity.m_cpuMillis);
    const double memory = leftShare(candidate.m_free.m_memoryMb, spec.m_demand.m_memoryMb, capacity.m_memoryMb);
    const double accelerators = leftShare(candidate.m_free.m_accelerators, spec.m_demand.m_accelerators, capacity.m_accelerators);
    return std::max({cpu, memory, accelerators}) + classPenalty * candidate.m_worker->jobsOfClass(spec.m_class);
}
}

auto BestFitSpread::choose(const JobSpec &spec, std::span<const PlacementCandidate> candidates, RandomSource &random) const -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    double lowest = 0.0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const double score = scoreOf(spec, candidates[i]) + tieRange * random.unit();
        if (!best || score < lowest) {
            best = i;
            lowest = score;
        }
    }
    return best;
}
}
