#pragma once

#include "burdockspur/host/targetpicker.hpp"

namespace Burdockspur
{
/// @brief Picks the listed worker with the highest hash of its name and the affinity (rendezvous hashing).
///
/// Every entry host with the same host list picks the same worker. Leaving and full workers are picked too, because
/// the router decides whether another worker may be used instead.
class RendezvousPicker final : public TargetPicker
{
public:
    [[nodiscard]] auto pick(const TargetTable &table, const PickCriteria &criteria, RandomSource &random) const -> Target * override;
};
}
