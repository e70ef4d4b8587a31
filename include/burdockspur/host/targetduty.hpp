#pragma once

#include "burdockspur/core/eventloopduty.hpp"
#include "burdockspur/host/entryrings.hpp"
#include "burdockspur/link/httpclient.hpp"

#include <memory>
#include <vector>

namespace Burdockspur
{
class EntryMetrics;
class TargetPort;
template<typename T>
class RingOutbox;

/// @brief Thread that sends requests, settles and peer queries over HTTP and passes the replies to the router.
class TargetDuty final : public EventLoopDuty
{
public:
    /// @param limits limits of the connections that carry requests
    /// @param rings must outlive the duty
    /// @param metrics must outlive the duty
    TargetDuty(const HttpClientLimits &limits, EntryRings &rings, EntryMetrics &metrics);
    ~TargetDuty() override;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    auto drainOrders() -> void;
    auto execute(ForwardOrder &&order) -> void;
    auto execute(SettleOrder &&order) -> void;
    auto execute(PeerQuery &&query) -> void;

    HttpClientLimits m_limits;
    EntryRings &m_rings;
    EntryMetrics &m_metrics;
    std::vector<TargetOrder> m_orders;
    std::unique_ptr<HttpClient> m_forwards;
    std::unique_ptr<HttpClient> m_settles;
    std::unique_ptr<TargetPort> m_port;
    std::unique_ptr<RingOutbox<RouterEvent>> m_replies;
};
}
