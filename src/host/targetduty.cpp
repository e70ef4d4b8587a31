#include "burdockspur/host/targetduty.hpp"

#include "burdockspur/host/entrymetrics.hpp"
#include "burdockspur/host/ringoutbox.hpp"
#include "burdockspur/port/httptargetport.hpp"

namespace Burdockspur
{
namespace
{
/// @brief Returns the limits of the separate connection for settles, which are rare and must not wait behind requests.
[[nodiscard]] auto settleLimits(HttpClientLimits limits) -> HttpClientLimits
{
    limits.m_maxConnectionsPerEndpoint = 1;
    return limits;
}
}

TargetDuty::TargetDuty(const HttpClientLimits &limits, EntryRings &rings, EntryMetrics &metrics)
    : EventLoopDuty("targets")
    , m_limits(limits)
    , m_rings(rings)
    , m_metrics(metrics)
{
}

TargetDuty::~TargetDuty()
{
    stop();
}

auto TargetDuty::setUp() -> void
{
    m_forwards = std::make_unique<HttpClient>(m_limits);
    m_settles = std::make_unique<HttpClient>(settleLimits(m_limits));
    m_port = std::make_unique<HttpTargetPort>(*m_forwards, *m_settles);
    m_replies = std::make_unique<RingOutbox<RouterEvent>>(m_rings.m_router, [this] {
        m_metrics.countRingFull(RingName::Router);
    });
    watch(m_rings.m_targets.wakeDescriptor(), [this] {
        drainOrders();
    });
}

auto TargetDuty::tearDown() -> void
{
    m_port.reset();
    m_settles.reset();
    m_forwards.reset();
    m_replies.reset();
}

auto TargetDuty::drainOrders() -> void
{
    m_orders.clear();
    m_rings.m_targets.drain(m_orders);
    for (auto &order : m_orders) {
        std::visit(
            [this](auto &content) {
                execute(std::move(content));
            },
            order);
    }
}

auto TargetDuty::execute(ForwardOrder &&order) -> void
{
    m_port->forward(std::move(order), [this](TargetReply &&reply) {
        m_replies->push(TargetReplied{std::move(reply)});
    });
}

auto TargetDuty::execute(SettleOrder &&order) -> void
{
    m_port->settle(std::move(order), [this](SettleReply &&reply) {
        m_replies->push(SettleReplied{std::move(reply)});
    });
}

auto TargetDuty::execute(PeerQuery &&query) -> void
{
    m_port->queryPeer(std::move(query), [this](PeerReply &&reply) {
        m_replies->push(PeerReplied{std::move(reply)});
    });
}
}
