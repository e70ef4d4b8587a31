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
/// @brief Order to TargetDuty, which contacts the workers and the other entry daemons.
using TargetOrder = std::variant<ForwardOrder, SettleOrder, PeerQuery>;

/// @brief The rings between the duties of an entry daemon; each is named after the duty that reads it.
struct EntryRings {
    /// @param capacity entries of each ring that carries requests or job commands
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
    static constexpr std::size_t controlCapacity = 64; ///< entries of the ring that carries configuration and key map commands
};
}
