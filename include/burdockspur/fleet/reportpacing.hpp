#pragma once

#include "burdockspur/core/clock.hpp"

namespace Burdockspur
{
struct FleetLimits;

/// @brief Chooses how long a worker may delay a report without news; longer while the owner cannot keep up.
///
/// A report costs the owner the same whether it contains news or not, so a late owner requests fewer of them. Workers report the end
/// of a run immediately, whatever the wait.
class ReportPacing
{
public:
    /// @brief Records how long a report waited in the owner's ring.
    /// @param receivedAt when it was received from the worker
    /// @param now start of the round that processes it
    auto recordReport(TimePoint receivedAt, TimePoint now) noexcept -> void;

    /// @brief Longest time by which a worker may delay its next report.
    /// @param limits shortest and longest wait
    /// @param isIdle true when nothing runs on the worker
    [[nodiscard]] auto wait(const FleetLimits &limits, bool isIdle, TimePoint now) const noexcept -> Milliseconds;

private:
    /// Recorded lateness in seconds, decayed to a time.
    [[nodiscard]] auto lateness(TimePoint now) const noexcept -> double;

    double m_lateness = 0; ///< seconds, at m_recordedAt; the largest recent one, decaying exponentially
    TimePoint m_recordedAt;
};
}
