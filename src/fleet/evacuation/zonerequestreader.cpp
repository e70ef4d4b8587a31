#include "burdockspur/fleet/evacuation/zonerequestreader.hpp"

#include "burdockspur/port/changestore.hpp"
#include "burdockspur/port/fleetcodec.hpp"

namespace Burdockspur
{
ZoneRequestReader::ZoneRequestReader(const FleetCodec &codec) noexcept
    : m_codec(codec)
{
}

auto ZoneRequestReader::takeList(const RowPage &page, TimePoint confirmedAt, TimePoint now) -> bool
{
    return m_zones.replace(requestsOf(page), {page.m_version, confirmedAt, now});
}

auto ZoneRequestReader::takeChanges(const RowPage &page, TimePoint confirmedAt, TimePoint now) -> bool
{
    return m_zones.apply(requestsOf(page), {page.m_version, confirmedAt, now});
}

auto ZoneRequestReader::requestsOf(const RowPage &page) const -> std::vector<ZoneRequest>
{
    std::vector<ZoneRequest> requests;
    for (const auto &change : page.m_rows) {
        if (const auto zone = m_codec.closedZoneOf(change.m_row.m_key)) {
            requests.push_back({std::string(*zone), !change.m_isDeleted});
        }
    }
    return requests;
}
}
