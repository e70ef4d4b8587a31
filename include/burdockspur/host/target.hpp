#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/hostrecord.hpp"

#include <cstdint>
#include <string>

namespace Burdockspur
{
/// @brief State of a worker as tracked by this entry host.
struct Target {
    HostRecord m_record;
    std::uint32_t m_slotLimit = 0; ///< requests that this entry host may have in progress on the worker
    bool m_isBounded = true; ///< whether m_slotLimit is enforced; see Guards
    bool m_listed = true; ///< whether the latest host list contains it
    std::uint32_t m_inFlight = 0; ///< slots in use by requests of this entry host
    std::uint32_t m_references = 0; ///< exchanges that refer to this target
    std::uint32_t m_failures = 0; ///< consecutive failures
    TimePoint m_leavingUntil = TimePoint::min(); ///< until then it receives no requests because it replied `leaving`
    TimePoint m_avoidUntil = TimePoint::min(); ///< until then other workers are preferred
    std::string m_incarnation; ///< from its latest response; empty if unknown
    bool m_isProbed = false; ///< an incarnation probe was sent and has not failed

    /// @brief Returns true if new requests may be sent to it.
    [[nodiscard]] auto accepts(TimePoint now) const noexcept -> bool
    {
        return m_listed && m_record.m_state == HostState::Live && m_leavingUntil <= now;
    }

    [[nodiscard]] auto hasFreeSlot() const noexcept -> bool
    {
        return !m_isBounded || m_inFlight < m_slotLimit;
    }

    /// @brief Returns true while other workers are preferred.
    [[nodiscard]] auto isAvoided(TimePoint now) const noexcept -> bool
    {
        return m_avoidUntil > now;
    }

    /// @brief Returns the share of its slots in use, which is comparable between workers of different sizes.
    [[nodiscard]] auto load() const noexcept -> double
    {
        return m_slotLimit == 0 ? 1.0 : static_cast<double>(m_inFlight) / m_slotLimit;
    }
};
}
