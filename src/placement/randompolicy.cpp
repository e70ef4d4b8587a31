#include "burdockspur/placement/randompolicy.hpp"

#include "burdockspur/contract/job.hpp"
#include "burdockspur/core/randomsource.hpp"

namespace Burdockspur
{
auto RandomPolicy::choose(const JobSpec & /*spec*/, std::span<const PlacementCandidate> candidates, RandomSource &random) const -> std::optional<std::size_t>
{
    return candidates.empty() ? std::nullopt : std::optional<std::size_t>(random.below(static_cast<std::uint32_t>(candidates.size())));
}
}
