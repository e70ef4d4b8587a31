#include "burdockspur/placement/bestfit.hpp"

#include "burdockspur/impl/remainingshare.hpp"

#include <algorithm>

namespace Burdockspur
{
auto BestFit::choose(const JobSpec &spec, std::span<const PlacementCandidate> candidates, RandomSource & /*random*/) const -> std::optional<std::size_t>
{
    const auto best = std::ranges::min_element(candidates, {}, [&](const PlacementCandidate &candidate) {
        return remainingShare(spec, candidate);
    });
    return best == candidates.end() ? std::nullopt : std::optional<std::size_t>(best - candidates.begin());
}
}
