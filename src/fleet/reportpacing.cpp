#include "burdockspur/fleet/reportpacing.hpp"

#include "burdockspur/fleet/fleetlimits.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

namespace Burdockspur
{
namespace
{
/// Time constant of the decay: several reports of each worker.
constexpr double decaySeconds = 1.0;
/// Time that a report and its order wait in the rings of an owner that keeps up: one round with placement and its commit.
constexpr double usualLatenessSeconds = 0.02;
/// Lateness from which the wait is longest. Rounds of an owner that could not keep up took 0.1 to 0.2 s (incident of 2026-12-05).
constexpr double fullLatenessSeconds = 0.12;

/// Waits of an owner that keeps up, and of one that does not.
struct WaitRange {
    Milliseconds FleetLimits::*m_usual;
    Milliseconds FleetLimits::*m_late;
};

/// By ReportNeed.
constexpr std::array<WaitRange, 3> waitRanges{{
    {&FleetLimits::m_idleReportWait, &FleetLimits::m_idleReportWait},
    {&FleetLimits::m_progressReportWait, &FleetLimits::m_progressReportWait},
    {&FleetLimits::m_reportWait, &FleetLimits::m_lateReportWait},
}};
}

auto ReportPacing::lateness(TimePoint now) const noexcept -> double
{
    const auto elapsed = std::chrono::duration<double>(now - m_recordedAt).count();
    return m_lateness * std::exp(-std::max(0.0, elapsed) / decaySeconds);
}

auto ReportPacing::recordReport(Duration queued, TimePoint now) noexcept -> void
{
    m_lateness = std::max(lateness(now), std::chrono::duration<double>(queued).count());
    m_recordedAt = now;
}

auto ReportPacing::wait(const FleetLimits &limits, ReportNeed need, TimePoint now) const noexcept -> Milliseconds
{
    const auto &range = waitRanges[static_cast<std::size_t>(need)];
    const double share = std::clamp((lateness(now) - usualLatenessSeconds) / (fullLatenessSeconds - usualLatenessSeconds), 0.0, 1.0);
    const std::chrono::duration<double, std::milli> span(limits.*range.m_late - limits.*range.m_usual);
    return limits.*range.m_usual + std::chrono::duration_cast<Milliseconds>(span * share);
}
}
