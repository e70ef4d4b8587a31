#pragma once

#include "burdockspur/shard/placementpolicy.hpp"

namespace Burdockspur
{
/// @brief Best fit with spread: fills workers, but keeps jobs of one class apart.
///
/// Best fit leaves room for large jobs. Jobs of a class load the same resources at the same time, and a
/// failed worker should not stop all of them.
class BestFitSpread : public PlacementPolicy
{
public:
    [[nodiscard]] auto choose(const JobSpec &spec, std::span<const PlacementCandidate> candidates, RandomSource &random) const
        -> std::optional<std::size_t> override;
};
}
