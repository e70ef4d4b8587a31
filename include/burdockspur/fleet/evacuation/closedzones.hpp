#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief An operator's request to close a zone, or the withdrawal of that request.
struct ZoneRequest {
    std::string m_zone;
    bool m_isClosed = true; ///< false for a withdrawal
};

/// @brief The state of the store of which requests were read.
struct ZoneConfirmation {
    std::uint64_t m_version = 0; ///< version of the store that the answer shows
    TimePoint m_confirmedAt; ///< at this time the store had no later request
    TimePoint m_now; ///< when the answer was read
};

/// @brief The zones whose workers may get no new tasks, as far as this host knows the operator's requests.
///
/// A value that uses no I/O or clock. Answers of the store may arrive in another order than they were given in; one that is older than what is
/// known has no effect.
class ClosedZones
{
public:
    using Zones = std::map<std::string, TimePoint, std::less<>>; ///< zone, and since when this host knows that it is closed

    /// @brief Takes over a whole list of requests; a zone that is not in the list is open.
    /// @returns true if a zone was closed or reopened
    auto replace(std::span<const ZoneRequest> requests, const ZoneConfirmation &confirmation) -> bool;

    /// @brief Takes over changes of the list; no requests confirm that there are none.
    /// @returns true if a zone was closed or reopened
    auto apply(std::span<const ZoneRequest> requests, const ZoneConfirmation &confirmation) -> bool;

    [[nodiscard]] auto isClosed(std::string_view zone) const noexcept -> bool
    {
        return m_zones.contains(zone);
    }

    [[nodiscard]] auto zones() const noexcept -> const Zones &
    {
        return m_zones;
    }

    /// @brief At this time the store had no request that this host does not know; the default value before the first answer.
    [[nodiscard]] auto confirmedAt() const noexcept -> TimePoint
    {
        return m_confirmedAt;
    }

private:
    /// @returns false if something later is known
    [[nodiscard]] auto confirm(const ZoneConfirmation &confirmation) noexcept -> bool;
    [[nodiscard]] auto applyOne(const ZoneRequest &request, TimePoint now) -> bool;

    Zones m_zones;
    std::uint64_t m_version = 0;
    TimePoint m_confirmedAt;
};
}
