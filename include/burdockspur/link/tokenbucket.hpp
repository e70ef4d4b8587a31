#pragma once

#include "burdockspur/core/clock.hpp"

#include <algorithm>
#include <cstdint>

namespace Burdockspur
{
/// @brief Limits how often something happens: a token is added in each interval, up to a maximum, and each event takes one.
class TokenBucket
{
public:
    /// @param interval time in which one token is added
    /// @param capacity most tokens, at least 1; the bucket begins full
    constexpr TokenBucket(Duration interval, std::uint32_t capacity) noexcept
        : m_interval(interval)
        , m_tolerance(interval * (capacity - 1))
    {
    }

    /// @brief Takes a token.
    /// @returns false when there is none
    constexpr auto tryTake(TimePoint now) noexcept -> bool
    {
        if (nextAt(now) > now) {
            return false;
        }
        m_fullAt = std::max(m_fullAt, now) + m_interval;
        return true;
    }

    /// @brief Takes a token also when there is none; the next ones then come later, by a limited time.
    /// @param mostDelay longest time from now until a token can be taken again
    constexpr auto forceTake(TimePoint now, Duration mostDelay) noexcept -> void
    {
        m_fullAt = std::min(std::max(m_fullAt, now) + m_interval, now + m_tolerance + mostDelay);
    }

    /// @brief Earliest time at which a token can be taken.
    [[nodiscard]] constexpr auto nextAt(TimePoint now) const noexcept -> TimePoint
    {
        return std::max(now, m_fullAt - m_tolerance);
    }

private:
    Duration m_interval;
    Duration m_tolerance;
    TimePoint m_fullAt; ///< time at which the bucket is full again, less one interval
};
}
