#pragma once

#include <chrono>

namespace Burdockspur
{
/// @brief Monotonic clock of this process; never compared between hosts.
using Clock = std::chrono::steady_clock;

/// @brief Instant on the monotonic clock of this process.
using TimePoint = Clock::time_point;

/// @brief Span of time, nanosecond resolution.
using Duration = Clock::duration;

/// @brief Whole milliseconds, the unit of settings and messages.
using Milliseconds = std::chrono::milliseconds;
}
