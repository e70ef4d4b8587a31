#pragma once

#include <string>

namespace Burdockspur
{
/// @brief What a host can carry.
struct HostCapacity {
    double m_processors = 0; ///< processors that the host may use; 0 when not known
    double m_linkMbps = 0; ///< of its link, in Mbit/s; 0 when not known

    [[nodiscard]] auto operator==(const HostCapacity &) const -> bool = default;

    [[nodiscard]] auto isKnown() const noexcept -> bool
    {
        return m_processors > 0 && m_linkMbps > 0;
    }

    /// @brief As many processors and as much link as another host, or more.
    [[nodiscard]] auto isAtLeast(const HostCapacity &other) const noexcept -> bool
    {
        return m_processors >= other.m_processors && m_linkMbps >= other.m_linkMbps;
    }

    /// @brief True when the fleet is clearly better scheduled by this host than by another.
    ///
    /// Clearly more processors and no weaker link, or a much faster link and no fewer processors. Hosts that are alike, or whose
    /// capacity is not known, are never much stronger than each other.
    [[nodiscard]] auto isMuchStrongerThan(const HostCapacity &other) const noexcept -> bool;

    /// @brief For the log, e.g. `0.5 processors 200 Mbit/s`.
    [[nodiscard]] auto text() const -> std::string;
};
}
