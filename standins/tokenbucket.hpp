#pragma once

#include "burdockspur/core/clock.hpp"

#include <algorithm>

namespace Burdockspur::Standins
{
/// @brief Limits a rate; unused capacity of up to one second is kept.
class TokenBucket
{
public:
    /// @brief Takes tokens when there are enough.
    /// @param now never decreases
    /// @param perSecond rate in force since the last call; 0 is unlimited
    /// @param tokens more than one second's worth passes when the bucket is full
    /// @returns false when the rate is exceeded; nothing is taken then
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
