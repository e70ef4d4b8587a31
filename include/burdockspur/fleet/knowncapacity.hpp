#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/hostcapacity.hpp"

namespace Burdockspur
{
/// @brief Best capacity of the recent owners and candidates.
struct KnownCapacity {
    /// A capacity that no host has confirmed for this long is dropped: the hosts that had it are assumed to have left, and weaker hosts
    /// stop waiting for them.
    static constexpr Milliseconds lifetime{30'000};

    HostCapacity m_capacity;
    Milliseconds m_age{0}; ///< time since a host last confirmed it; a duration, because the clocks of two hosts differ

    [[nodiscard]] auto operator==(const KnownCapacity &) const -> bool = default;

    /// @brief The value updated by the passed time and by the capacity of a host.
    /// @param passed time since this value was computed
    /// @param observed capacity of the host
    [[nodiscard]] auto updated(Milliseconds passed, const HostCapacity &observed) const noexcept -> KnownCapacity;
};
}
