#include "burdockspur/fleet/workerlease.hpp"

#include <algorithm>

namespace Burdockspur
{
auto WorkerLease::recordClock(Milliseconds clock, TimePoint receivedAt) noexcept -> void
{
    // Answers on two connections may overtake each other; an older clock value is a weaker bound.
    if (!m_clock || clock >= *m_clock) {
        m_clock = clock;
        m_clockAt = receivedAt;
    }
}

auto WorkerLease::extendLease(Milliseconds lease, TimePoint now) noexcept -> std::optional<Milliseconds>
{
    if (!m_clock) {
        return std::nullopt;
    }
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - m_clockAt);
    const auto deadline = *m_clock + elapsed + lease;
    m_grantedDeadline = std::max(m_grantedDeadline.value_or(deadline), deadline);
    return m_grantedDeadline;
}

auto WorkerLease::latestExpiry() const noexcept -> TimePoint
{
    if (!m_clock || !m_grantedDeadline) {
        return m_inheritedLeaseEnd;
    }
    const std::chrono::duration<double, std::milli> left(*m_grantedDeadline - *m_clock);
    const auto atSlowest = std::chrono::duration_cast<Duration>(left / (1.0 - m_drift));
    return std::max(m_clockAt + std::max(atSlowest, Duration::zero()), m_clockAt);
}
}
