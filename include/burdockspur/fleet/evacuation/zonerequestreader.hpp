#pragma once

#include "burdockspur/fleet/evacuation/closedzones.hpp"

#include <vector>

namespace Burdockspur
{
class FleetCodec;
struct RowPage;

/// @brief Keeps the closed zones up to date with the rows of the operator's table.
///
/// The key of a row is the request; its value is not read.
class ZoneRequestReader
{
public:
    /// @param codec must outlive the object
    explicit ZoneRequestReader(const FleetCodec &codec) noexcept;

    /// @brief Takes over a list of all rows of the table.
    /// @param confirmedAt at this time the store had no later change
    /// @returns true if a zone was closed or reopened
    auto takeList(const RowPage &page, TimePoint confirmedAt, TimePoint now) -> bool;

    /// @brief Takes over changes of the table; rows of other kinds have no effect.
    /// @param confirmedAt at this time the store had no later change
    /// @returns true if a zone was closed or reopened
    auto takeChanges(const RowPage &page, TimePoint confirmedAt, TimePoint now) -> bool;

    [[nodiscard]] auto zones() const noexcept -> const ClosedZones &
    {
        return m_zones;
    }

private:
    [[nodiscard]] auto requestsOf(const RowPage &page) const -> std::vector<ZoneRequest>;

    const FleetCodec &m_codec;
    ClosedZones m_zones;
};
}
