#pragma once

#include "burdockspur/core/clock.hpp"

#include <algorithm>

namespace Burdockspur::Standins
{
/// @brief Limits a rate; tokens accumulate for at most one second.
class TokenBucket
{
public:
    /// @brief Takes tokens if enough are available.
    /// @param now never decreases
    /// @param perSecond rate since the last call; 0 is unlimited
    /// @param tokens number to take; more than the bucket can hold is granted when the bucket is full
    /// @returns false when the rate is exceeded; no tokens are taken then
    [[nodiscard]] auto take(TimePoint now, double perSecond, double tokens) -> bool
    {
        if (perSecond <= 0) {
            m_isNew = true;
            return true;
        }
        const std::chrono::duration<double> elapsed = now - m_time;
        m_tokens = m_isNew ? perSecond : std::min(perSecond, m_tokens + elapsed.count() * perSecond);
        m_isNew = false;
        m_time = now;
        if (m_tokens < std::min(tokens, perSecond)) {
            return false;
        }
        m_tokens -= tokens;
        return true;
    }

private:
    TimePoint m_time;
    double m_tokens = 0;
    bool m_isNew = true;
};
}
