#include "burdockspur/placement/scoredpolicy.hpp"

#include "burdockspur/contract/job.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/placement/classspread.hpp"
#include "burdockspur/placement/interferencemodel.hpp"
#include "burdockspur/shard/worker.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
constexpr double explorationShare = 0.02; // share of the placements; kept low because each may disturb a service
constexpr double nearTargetRatio = 0.95; // from this ratio of tail latency to target on, throttling is near
constexpr double nearTargetPenalty = 4.0;
// Largest allowed growth of tail latency over that of the service alone. A job that exceeds it waits for another worker, which leaves
// this one to jobs that disturb its services less. The intended bound is 10%; the difference covers errors of the model.
constexpr double allowedGrowth = 0.08;
constexpr double fitFactor = 0.02; // small, so that fit only decides between candidates with similar interference
constexpr double harmlessGrowth = 0.3; // growth per full worker; smaller values are within the error of the model
constexpr double meanEffectFactor = 0.5; // less than 1, so that the job's own interference counts more
constexpr double spreadFactor = 0.05; // weight of the concentration of the class

[[nodiscard]] auto share(std::int64_t amount, std::int64_t capacity) noexcept -> double
{
    return capacity <= 0 ? 0.0 : static_cast<double>(amount) / static_cast<double>(capacity);
}
}

ScoredPolicy::ScoredPolicy(const InterferenceModel &model, const ClassSpread &spread) noexcept
    : m_model(model)
    , m_spread(spread)
{
}

auto ScoredPolicy::setPreset(const Preset &preset) -> void
{
    m_preset = preset;
}

auto ScoredPolicy::setTime(TimePoint now) noexcept -> void
{
    m_now = now;
}

auto ScoredPolicy::scoreOf(const JobSpec &spec, const PlacementCandidate &candidate) const -> double
{
    const Worker &worker = *candidate.m_worker;
    const Resources &capacity = worker.m_host.m_capacity;
    const double added = share(spec.m_demand.m_cpuMillis, capacity.m_cpuMillis);
    const double before = m_model.expectedRatio(worker.m_name, spec.m_class, 0.0, m_now);
    const double after = m_model.expectedRatio(worker.m_name, spec.m_class, added, m_now);
    // The growth relates to the added share, so that small jobs avoid interference as much as large ones.
    const double growth = added > 0.0 ? (after - before) / added : 0.0;
    const double nearTarget = std::max(0.0, after - nearTargetRatio) * nearTargetPenalty;
    const double left = std::max(share(candidate.m_free.m_cpuMillis - spec.m_demand.m_cpuMillis, capacity.m_cpuMillis),
                                 share(candidate.m_free.m_memoryMb - spec.m_demand.m_memoryMb, capacity.m_memoryMb));
    return m_preset.m_tailWeight * (growth + nearTarget - meanEffectFactor * m_model.meanEffect(worker.m_name)) + m_preset.m_evictionWeight * nearTarget
        + m_preset.m_batchWeight * fitFactor * left + spreadFactor * m_spread.concentration(spec.m_class, worker.m_host.m_place);
}

auto ScoredPolicy::explore(const JobSpec &spec, std::span<const PlacementCandidate> candidates, RandomSource &random) const -> std::optional<std::size_t>
{
    if (random.unit() >= explorationShare) {
        return std::nullopt;
    }
    const std::size_t index = random.below(static_cast<std::uint32_t>(candidates.size()));
    const bool isUnknown = m_model.isUnknown(candidates[index].m_worker->m_name, spec.m_class);
    return isUnknown ? std::optional(index) : std::nullopt;
}

auto ScoredPolicy::choose(const JobSpec &spec, std::span<const PlacementCandidate> candidates, RandomSource &random) const -> std::optional<std::size_t>
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (const auto explored = explore(spec, candidates, random)) {
        return explored;
    }
    const std::size_t count = std::min(candidates.size(), maxCandidates);
    const std::size_t first = random.below(static_cast<std::uint32_t>(candidates.size()));
    std::optional<std::size_t> best;
    double lowest = 0.0;
    for (std::size_t i = 0; i < count; ++i) {
        // Evenly spaced, to cover all parts of the list.
        const std::size_t index = (first + i * candidates.size() / count) % candidates.size();
        const double score = scoreOf(spec, candidates[index]);
        if (!best || score < lowest) {
            best = index;
            lowest = score;
        }
    }
    return best && isAllowed(spec, candidates[*best]) ? best : std::nullopt;
}

auto ScoredPolicy::isAllowed(const JobSpec &spec, const PlacementCandidate &candidate) const -> bool
{
    const Worker &worker = *candidate.m_worker;
    const double added = share(spec.m_demand.m_cpuMillis, worker.m_host.m_capacity.m_cpuMillis);
    const double before = m_model.expectedGrowth(worker.m_name, spec.m_class, 0.0, m_now);
    const double after = m_model.expectedGrowth(worker.m_name, spec.m_class, added, m_now);
    // Unknown pairs are allowed, because a refused one would never be measured. So are harmless jobs, which do not disturb an already
    // disturbed service noticeably further.
    return spec.m_urgent || m_model.isUnknown(worker.m_name, spec.m_class) || after <= allowedGrowth || after - before <= harmlessGrowth * added;
}
}
