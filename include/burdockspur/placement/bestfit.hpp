#pragma once

#include "burdockspur/shard/placementpolicy.hpp"

namespace Burdockspur
{
/// @brief Baseline policy: chooses the candidate with the smallest remaining share, and ignores interference and spread.
class BestFit : public PlacementPolicy
{
public:
    [[nodiscard]] auto choose(const JobSpec &spec, std::span<const PlacementCandidate> candidates, RandomSource &random) const
        -> std::optional<std::size_t> override;
};
}
