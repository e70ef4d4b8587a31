#include "burdockspur/fleet/reportpacing.hpp"

#include "burdockspur/fleet/fleetlimits.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Burdockspur
{
namespace
{
/// Seconds in which the lateness falls to a third: a few reports of each worker.
constexpr double memory = 1.0;
/// Seconds that a report lies in the ring of an owner that keeps up: one round with placement and its commit.
constexpr double usualLateness = 0.02;
/// Seconds at which the wait is longest: the 0.1 to 0.2 s of a round of an owner that did not keep up (incident of 2026-12-05).
constexpr double fullLateness = 0.12;
}

auto ReportPacing::lateness(TimePoint now) const noexcept -> double
{
    const auto elapsed = std::chrono::duration<double>(now - m_notedAt).count();
    return m_lateness * std::exp(-std::max(0.0, elapsed) / memory);
}

auto ReportPacing::noteReport(TimePoint receivedAt, TimePoint now) noexcept -> void
{
    m_lateness = std::max(lateness(now), std::chrono::duration<double>(now - receivedAt).count());
    m_notedAt = now;
}

auto ReportPacing::wait(const FleetLimits &limits, bool isIdle, TimePoint now) const noexcept -> Milliseconds
{
    if (isIdle) {
        return limits.m_idleReportWait;
    }
    const double share = std::clamp((lateness(now) - usualLateness) / (fullLateness - usualLateness), 0.0, 1.0);
    const std::chrono::duration<double, std::milli> span(limits.m_lateReportWait - limits.m_reportWait);
    return limits.m_reportWait + std::chrono::duration_cast<Milliseconds>(span * share);
}
}
