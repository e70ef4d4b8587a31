#include "burdockspur/placement/leastloaded.hpp"

#include "burdockspur/impl/remainingshare.hpp"

#include <algorithm>

namespace Burdockspur
{
auto LeastLoaded::choose(const JobSpec &spec, std::span<const PlacementCandidate> candidates, RandomSource & /*random*/) const -> std::optional<std::size_t>
{
    const auto best = std::ranges::max_element(candidates, {}, [&](const PlacementCandidate &candidate) {
        return remainingShare(spec, candidate);
    });
    return best == candidates.end() ? std::nullopt : std::optional<std::size_t>(best - candidates.begin());
}
}
