#pragma once

#include "burdockspur/core/clock.hpp"

#include <optional>

namespace Burdockspur
{
/// @brief Computes the deadlines of a worker's lease, and when the lease has certainly expired.
///
/// The worker kills its runs when its clock passes the latest deadline that it has received. Deadlines are times on the worker's
/// clock, which need not agree with the clock of this host. The class uses only a clock value that the worker has reported, the time
/// on this host at which it arrived, and the largest drift of the worker's clock.
class WorkerLease
{
public:
    /// @param drift largest share by which the worker's clock may be slow
    /// @param inheritedLeaseEnd how long runs of a previous owner may continue if the worker never reports its clock
    WorkerLease(double drift, TimePoint inheritedLeaseEnd) noexcept
        : m_drift(drift)
        , m_inheritedLeaseEnd(inheritedLeaseEnd)
    {
    }

    /// @brief Records a clock value that the worker has reported.
    /// @param clock value of the worker's clock
    /// @param receivedAt when the value arrived; the worker's clock has reached it by then
    auto recordClock(Milliseconds clock, TimePoint receivedAt) noexcept -> void;

    /// @brief Extends the lease and returns the deadline for an order that is sent now.
    /// @param lease length of the lease
    /// @returns time on the worker's clock, never earlier than the previous deadline; empty while its clock is unknown
    [[nodiscard]] auto extendLease(Milliseconds lease, TimePoint now) noexcept -> std::optional<Milliseconds>;

    /// @brief Latest deadline that extendLease() has returned.
    [[nodiscard]] auto grantedDeadline() const noexcept -> std::optional<Milliseconds>
    {
        return m_grantedDeadline;
    }

    /// @brief Time by which all runs of the worker have certainly ended if it receives no further deadline.
    [[nodiscard]] auto latestExpiry() const noexcept -> TimePoint;

private:
    double m_drift;
    TimePoint m_inheritedLeaseEnd; ///< applies until this owner has granted a lease
    std::optional<Milliseconds> m_clock;
    TimePoint m_clockAt;
    std::optional<Milliseconds> m_grantedDeadline;
};
}
