#pragma once

#include "burdockspur/host/targetpicker.hpp"

namespace Burdockspur
{
/// @brief The less loaded of two random workers; the own zone first, avoided workers last.
///
/// Chooses only workers that accept requests and have a free slot.
class LeastLoadedPicker final : public TargetPicker
{
public:
    [[nodiscard]] auto pick(const TargetTable &table, const PickCriteria &criteria, RandomSource &random) const -> Target * override;
};
}
