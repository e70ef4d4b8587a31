#include "burdockspur/fleet/evacuation/closedzones.hpp"

#include <algorithm>

namespace Burdockspur
{
auto ClosedZones::replace(std::span<const ZoneRequest> requests, const ZoneConfirmation &confirmation) -> bool
{
    if (!confirm(confirmation)) {
        return false;
    }
    const auto reopened = std::erase_if(m_zones, [requests](const auto &entry) {
        return std::ranges::none_of(requests, [&entry](const ZoneRequest &request) {
            return request.m_isClosed && request.m_zone == entry.first;
        });
    });
    bool hasChanged = reopened > 0;
    for (const auto &request : requests) {
        hasChanged = applyOne(request, confirmation.m_now) || hasChanged;
    }
    return hasChanged;
}

auto ClosedZones::apply(std::span<const ZoneRequest> requests, const ZoneConfirmation &confirmation) -> bool
{
    if (!confirm(confirmation)) {
        return false;
    }
    bool hasChanged = false;
    for (const auto &request : requests) {
        hasChanged = applyOne(request, confirmation.m_now) || hasChanged;
    }
    return hasChanged;
}

auto ClosedZones::confirm(const ZoneConfirmation &confirmation) noexcept -> bool
{
    if (confirmation.m_version < m_version) {
        return false;
    }
    m_version = confirmation.m_version;
    m_confirmedAt = std::max(m_confirmedAt, confirmation.m_confirmedAt);
    return true;
}

auto ClosedZones::applyOne(const ZoneRequest &request, TimePoint now) -> bool
{
    return request.m_isClosed ? m_zones.try_emplace(request.m_zone, now).second : m_zones.erase(request.m_zone) > 0;
}
}
