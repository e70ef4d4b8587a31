#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/hostrecord.hpp"

#include <cstdint>
#include <string>

namespace Burdockspur
{
/// @brief A worker as this entry host sees it.
struct Target {
    HostRecord m_record;
    std::uint32_t m_slotLimit = 0; ///< requests that this entry host may have in progress on the worker
    bool m_isBounded = true; ///< by the slot limit; see Guards
    bool m_listed = true; ///< in the latest host list
    std::uint32_t m_inFlight = 0; ///< slots used by this entry host, never more than the worker has
    std::uint32_t m_references = 0; ///< exchanges that refer to this target
    std::uint32_t m_failures = 0; ///< consecutive failures
    TimePoint m_leavingUntil = TimePoint::min(); ///< end of the mark left by the reply `leaving`
    TimePoint m_avoidUntil = TimePoint::min();
    std::string m_incarnation; ///< told by the latest response; empty when not known
    bool m_isProbed = false; ///< asked for its incarnation, and no failure since

    /// @brief True when new requests may be sent.
    [[nodiscard]] auto accepts(TimePoint now) const noexcept -> bool
    {
        return m_listed && m_record.m_state == HostState::Live && m_leavingUntil <= now;
    }

    [[nodiscard]] auto hasFreeSlot() const noexcept -> bool
    {
        return !m_isBounded || m_inFlight < m_slotLimit;
    }

    /// @brief True while other workers are preferred.
    [[nodiscard]] auto isAvoided(TimePoint now) const noexcept -> bool
    {
        return m_avoidUntil > now;
    }

    /// @brief Share of the slots in use, for comparison between workers of different sizes.
    [[nodiscard]] auto load() const noexcept -> double
    {
        return m_slotLimit == 0 ? 1.0 : static_cast<double>(m_inFlight) / m_slotLimit;
    }
};
}
