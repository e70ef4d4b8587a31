#pragma once

#include "burdockspur/shard/placementpolicy.hpp"

namespace Burdockspur
{
/// @brief Chooses the worker with the best fit, with a penalty for each job of the same class that it already has.
///
/// Best fit keeps free capacity together for large jobs. The penalty spreads the jobs of a class, because they use the
/// same resources at the same time, and the failure of one worker should not stop all of them.
class BestFitSpread : public PlacementPolicy
{
public:
    [[nodiscard]] auto choose(const JobSpec &spec, std::span<const PlacementCandidate> candidates, RandomSource &random) const
        -> std::optional<std::size_t> override;
};
}
