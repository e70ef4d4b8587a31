#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/hostcapacity.hpp"

namespace Burdockspur
{
/// @brief The best capacity that an owner or a candidate had lately.
struct KnownCapacity {
    /// A capacity that nobody has confirmed for this long is forgotten: its hosts are taken to be gone for good, and the others
    /// wait for them no more.
    static constexpr Milliseconds lifetime{30'000};

    HostCapacity m_capacity;
    Milliseconds m_age{0}; ///< since a host with this capacity was last seen; a duration, because the clocks of two hosts differ

    [[nodiscard]] auto operator==(const KnownCapacity &) const -> bool = default;

    /// @brief What is known after some time, and after a host was seen.
    /// @param passed time since this was known
    /// @param seen capacity of the host
    [[nodiscard]] auto after(Milliseconds passed, const HostCapacity &seen) const noexcept -> KnownCapacity;
};
}
