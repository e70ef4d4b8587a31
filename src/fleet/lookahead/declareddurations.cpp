#include "burdockspur/fleet/lookahead/declareddurations.hpp"

#include "burdockspur/contract/taskjob.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Declared durations are wrong by up to this factor in most cases.
constexpr int declaredSpread = 2;
/// Shorter declared durations are raised to this value.
constexpr Milliseconds minDuration{50};
}

auto DeclaredDurations::rangeOf(const TaskJob &job, std::uint32_t step) const -> DurationRange
{
    const auto estimate = std::max(minDuration, job.m_steps[step].m_estimate);
    return {estimate, declaredSpread * estimate, false};
}
}
