#pragma once

#include "burdockspur/host/targetpicker.hpp"

namespace Burdockspur
{
/// @brief Picks the less loaded of two random workers, preferring the own zone and workers that are not avoided.
///
/// Picks only workers that accept requests and have a free slot. If both random workers are ineligible, it picks the
/// least loaded one of the group.
class LeastLoadedPicker final : public TargetPicker
{
public:
    [[nodiscard]] auto pick(const TargetTable &table, const PickCriteria &criteria, RandomSource &random) const -> Target * override;
};
}
