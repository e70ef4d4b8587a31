#include "burdockspur/fleet/refusals/retryadvice.hpp"

#include "burdockspur/core/identifiers.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Returning callers that a host takes in a second beside those that come for the first time.
constexpr double returnsPerSecond = 20;
/// Longest time over which the returns are spread; later ones would miss their objectives.
constexpr double maxSpreadSeconds = 2;
/// Part of the time that an outage has lasted for which it is expected to go on.
constexpr double remainderShare = 0.6;
}

auto RetryAdvice::observe(const StoreReport &report) -> void
{
    const bool wasAnswering = m_report.m_condition == StoreCondition::Answering;
    m_report = report;
    if (wasAnswering && report.m_condition != StoreCondition::Answering) {
        m_refused = 0;
    }
}

auto RetryAdvice::expectedRemainder(TimePoint now) const -> Duration
{
    if (m_report.m_condition == StoreCondition::Answering) {
        return Duration{0};
    }
    const Duration lasted = now - m_report.m_since;
    return lasted < m_report.m_lastOutage ? m_report.m_lastOutage - lasted : std::chrono::duration_cast<Duration>(lasted * remainderShare);
}

auto RetryAdvice::adviseRefused(std::string_view key, TimePoint now) -> int
{
    ++m_refused;
    if (m_report.m_condition == StoreCondition::Answering) {
        return 1;
    }
    constexpr std::uint64_t positions = 1'024;
    const double position = static_cast<double>(hashOf(key) % positions) / static_cast<double>(positions);
    // The position also rounds to whole seconds, so that callers with the same expectation do not return in the same second.
    const double spread = 1 + std::min(maxSpreadSeconds, static_cast<double>(m_refused) / returnsPerSecond);
    const double wanted = std::chrono::duration<double>(expectedRemainder(now)).count() + position * spread;
    return std::clamp(static_cast<int>(wanted), 1, maxSeconds);
}
}
