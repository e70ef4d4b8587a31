#pragma once

#include "burdockspur/fleet/lookahead/durationrange.hpp"

#include <cstdint>

namespace Burdockspur
{
struct TaskJob;

/// @brief Tells how long runs take that end by themselves.
class RunDurations
{
public:
    virtual ~RunDurations() = default;

    /// @param step number of a step of the job whose tasks end by themselves
    [[nodiscard]] virtual auto rangeOf(const TaskJob &job, std::uint32_t step) const -> DurationRange = 0;
};
}
