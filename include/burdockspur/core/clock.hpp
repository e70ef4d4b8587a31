#pragma once

#include <chrono>
#include <cstdint>

namespace Burdockspur
{
/// @brief Monotonic clock of this process; never compared between hosts.
///
/// It also counts the time for which the machine was suspended, which std::chrono::steady_clock omits on Linux: a lease or an
/// ownership runs out during a suspension as well.
class Clock
{
public:
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the standard's requirements of a clock

    /// @brief Time since the machine was booted.
    [[nodiscard]] static auto now() noexcept -> time_point;
};

/// @brief Instant on the monotonic clock of this process.
using TimePoint = Clock::time_point;

/// @brief Span of time, nanosecond resolution.
using Duration = Clock::duration;

/// @brief Whole milliseconds, the unit of settings and messages.
using Milliseconds = std::chrono::milliseconds;
}
