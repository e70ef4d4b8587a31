#pragma once

#include <string>

namespace Burdockspur
{
/// @brief Processors and link speed of a host.
struct HostCapacity {
    double m_processors = 0; ///< number of processors that the host may use; 0 when unknown
    double m_linkMbps = 0; ///< speed of its link in Mbit/s; 0 when unknown

    [[nodiscard]] auto operator==(const HostCapacity &) const -> bool = default;

    [[nodiscard]] auto isKnown() const noexcept -> bool
    {
        return m_processors > 0 && m_linkMbps > 0;
    }

    /// @brief True when the host has at least the processors and the link speed of another.
    [[nodiscard]] auto isAtLeast(const HostCapacity &other) const noexcept -> bool
    {
        return m_processors >= other.m_processors && m_linkMbps >= other.m_linkMbps;
    }

    /// @brief True when this host is so much stronger than another that it should own the fleet instead.
    ///
    /// It needs clearly more processors or a much faster link, and not less of the other. False when either capacity is unknown.
    [[nodiscard]] auto isMuchStrongerThan(const HostCapacity &other) const noexcept -> bool;

    /// @brief Text for the log, e.g. `0.5 processors 200 Mbit/s`.
    [[nodiscard]] auto text() const -> std::string;
};
}
