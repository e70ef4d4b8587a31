#pragma once

#include "burdockspur/core/boundedring.hpp"
#include "burdockspur/fleet/fleetrings.hpp"

namespace Burdockspur
{
/// @brief The order to drain, for the two duties of a host that take part in a planned stop.
class DrainOrder
{
public:
    /// @param api ring of the duty that serves the callers; must outlive the order
    /// @param store ring of the duty that holds the ownership; must outlive the order
    DrainOrder(BoundedRing<ApiInput> &api, BoundedRing<FleetStoreInput> &store) noexcept;

    /// @brief Passes the order to the duties that do not have it yet.
    /// @returns true when both have it; otherwise a ring is full, and the call must be repeated
    [[nodiscard]] auto send() -> bool;

private:
    BoundedRing<ApiInput> &m_api;
    BoundedRing<FleetStoreInput> &m_store;
    bool m_isSentToApi = false;
    bool m_isSentToStore = false;
};
}
