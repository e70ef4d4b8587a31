#include "burdockspur/fleet/placementrefusal.hpp"

#include <algorithm>

namespace Burdockspur
{
auto PlacementRefusal::mainGuard() const noexcept -> PlacementGuard
{
    return static_cast<PlacementGuard>(std::ranges::max_element(m_workers) - m_workers.begin());
}
}
