#pragma once

#include "burdockspur/fleet/lookahead/rundurations.hpp"

namespace Burdockspur
{
/// @brief Durations as callers declare them; used where nothing was learned.
class DeclaredDurations : public RunDurations
{
public:
    [[nodiscard]] auto rangeOf(const TaskJob &job, std::uint32_t step) const -> DurationRange override;
};
}
