#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstdint>

namespace Burdockspur
{
struct FleetLimits;

/// @brief What the owner has to observe on a worker, which decides how often it reports.
enum class ReportNeed : std::uint8_t {
    Idle, ///< nothing runs
    Progress, ///< runs whose ends and leases count; no pace depends on the next report
    Tails, ///< a filling run works beside a serving task that it may bring over its target
};

/// @brief Chooses how long a worker may delay a report without news; longer while the owner cannot keep up.
///
/// A report costs the owner the same whether it contains news or not, so it is requested often only where a decision depends on it, and less often by a
/// late owner. Workers report the end of a run immediately, whatever the wait.
class ReportPacing
{
public:
    /// @brief Records how long a report and its order waited in the queues of the owner.
    /// @param queued sum of both times
    /// @param now start of the round that processes the report
    auto recordReport(Duration queued, TimePoint now) noexcept -> void;

    /// @brief Longest time by which a worker may delay its next report.
    /// @param limits shortest and longest wait for each need
    [[nodiscard]] auto wait(const FleetLimits &limits, ReportNeed need, TimePoint now) const noexcept -> Milliseconds;

private:
    /// Recorded lateness in seconds, decayed to a time.
    [[nodiscard]] auto lateness(TimePoint now) const noexcept -> double;

    double m_lateness = 0; ///< seconds, at m_recordedAt; the largest recent one, decaying exponentially
    TimePoint m_recordedAt;
};
}
