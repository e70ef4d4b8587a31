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

/// @brief Thread that talks to workers: takes orders from its ring and gives replies to the router.
class TargetDuty final : public EventLoopDuty
{
public:
    /// @param limits of the connections that carry requests
    /// @param rings outlive the duty
    /// @param metrics outlive the duty
    TargetDuty(const HttpClientLimits &limits, EntryRings &rings, EntryMetrics &metrics);
    ~TargetDuty() override;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    auto drainOrders() -> void;
    auto carryOut(ForwardOrder &&order) -> void;
    auto carryOut(SettleOrder &&order) -> void;
    auto carryOut(PeerQuery &&question) -> void;

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
