#include "burdockspur/fleet/drainorder.hpp"

namespace Burdockspur
{
DrainOrder::DrainOrder(BoundedRing<ApiInput> &api, BoundedRing<FleetStoreInput> &store) noexcept
    : m_api(api)
    , m_store(store)
{
}

auto DrainOrder::send() -> bool
{
    m_isSentToApi = m_isSentToApi || m_api.tryPush(DrainStarted{});
    m_isSentToStore = m_isSentToStore || m_store.tryPush(DrainStarted{});
    return m_isSentToApi && m_isSentToStore;
}
}
