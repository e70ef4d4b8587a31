#pragma once

#include "burdockspur/contract/peerquery.hpp"
#include "burdockspur/contract/targetorder.hpp"
#include "burdockspur/core/boundedring.hpp"
#include "burdockspur/host/callermessage.hpp"
#include "burdockspur/host/jobcommand.hpp"
#include "burdockspur/host/platformcommand.hpp"
#include "burdockspur/host/routerevent.hpp"

#include <cstddef>
#include <variant>

namespace Burdockspur
{
/// @brief Order to the target duty; the other entry daemons are asked there too.
using TargetOrder = std::variant<ForwardOrder, SettleOrder, PeerQuery>;

/// @brief The rings between the duties of an entry daemon, named after the duty that reads them.
struct EntryRings {
    /// @param capacity of the rings that carry requests
    explicit EntryRings(std::size_t capacity)
        : m_router(capacity)
        , m_targets(capacity)
        , m_callers(capacity)
        , m_links(capacity)
        , m_platform(controlCapacity)
    {
    }

    BoundedRing<RouterEvent> m_router;
    BoundedRing<TargetOrder> m_targets;
    BoundedRing<CallerMessage> m_callers;
    BoundedRing<LinkMessage> m_links;
    BoundedRing<PlatformCommand> m_platform;

private:
    static constexpr std::size_t controlCapacity = 64;
};
}
