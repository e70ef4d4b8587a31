#pragma once

#include "burdockspur/core/clock.hpp"

namespace Burdockspur
{
struct FleetLimits;

/// @brief How long workers may wait before they report without news: longer while the owner does not keep up.
///
/// A report costs the owner the same whether it tells something or not, so an owner that is late asks less often. Ends are told
/// at once whatever the wait.
class ReportPacing
{
public:
    /// @brief Takes how long a report lay in the owner's ring before a round took it.
    /// @param receivedAt when it came from the worker
    /// @param now begin of the round
    auto noteReport(TimePoint receivedAt, TimePoint now) noexcept -> void;

    /// @brief Longest wait of the next report.
    /// @param limits shortest and longest wait
    /// @param isIdle whether nothing runs on the worker
    [[nodiscard]] auto wait(const FleetLimits &limits, bool isIdle, TimePoint now) const noexcept -> Milliseconds;

private:
    [[nodiscard]] auto lateness(TimePoint now) const noexcept -> double;

    double m_lateness = 0; ///< seconds; the largest of late, falling with time
    TimePoint m_notedAt;
};
}
