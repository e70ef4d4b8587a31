#pragma once

#include "burdockspur/host/targetpicker.hpp"

namespace Burdockspur
{
/// @brief The listed worker with the highest hash of its name and the affinity.
///
/// Every entry host with the same host list chooses the same worker. Leaving and full workers are
/// chosen too: whether another worker may be used instead is the router's decision.
class RendezvousPicker final : public TargetPicker
{
public:
    [[nodiscard]] auto pick(const TargetTable &table, const PickCriteria &criteria, RandomSource &random) const -> Target * override;
};
}
