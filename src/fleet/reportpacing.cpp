#include "burdockspur/fleet/reportpacing.hpp"

#include "burdockspur/fleet/fleetlimits.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Burdockspur
{
namespace
{
/// Time constant of the decay: several reports of each worker.
constexpr double decaySeconds = 1.0;
/// Time that a report waits in the ring of an owner that keeps up: one round with placement and its commit.
constexpr double usualLatenessSeconds = 0.02;
/// Lateness from which the wait is longest. Rounds of an owner that could not keep up took 0.1 to 0.2 s (incident of 2026-12-05).
constexpr double fullLatenessSeconds = 0.12;
}

auto ReportPacing::lateness(TimePoint now) const noexcept -> double
{
    const auto elapsed = std::chrono::duration<double>(now - m_recordedAt).count();
    return m_lateness * std::exp(-std::max(0.0, elapsed) / decaySeconds);
}

auto ReportPacing::recordReport(TimePoint receivedAt, TimePoint now) noexcept -> void
{
    m_lateness = std::max(lateness(now), std::chrono::duration<double>(now - receivedAt).count());
    m_recordedAt = now;
}

auto ReportPacing::wait(const FleetLimits &limits, bool isIdle, TimePoint now) const noexcept -> Milliseconds
{
    if (isIdle) {
        return limits.m_idleReportWait;
    }
    const double share = std::clamp((lateness(now) - usualLatenessSeconds) / (fullLatenessSeconds - usualLatenessSeconds), 0.0, 1.0);
    const std::chrono::duration<double, std::milli> span(limits.m_lateReportWait - limits.m_reportWait);
    return limits.m_reportWait + std::chrono::duration_cast<Milliseconds>(span * share);
}
}
