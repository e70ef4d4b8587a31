#include "burdockspur/fleet/workercallduty.hpp"

#include "burdockspur/fleet/fleetmetrics.hpp"
#include "burdockspur/host/ringoutbox.hpp"
#include "burdockspur/link/httpclient.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/port/fleetplatform.hpp"
#include "burdockspur/port/runworkerport.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Connections to each worker: one for a report that waits, the others for orders. A worker accepts 64 connections in total.
constexpr std::size_t connectionsPerWorker = 6;
constexpr Milliseconds connectTimeout{1'000};
/// A report lists what runs on one worker and at most 500 ends, about 100 bytes each.
constexpr std::uint64_t maxAnswerBytes = std::uint64_t{1024} * 1024;
/// Answers of many workers arrive in this time. Handling them together saves a change of threads for each on a host with one processor.
constexpr Milliseconds waitInterval{2};
/// Keeps a connection open between two reports of an owner; of the order of magnitude of a worker's own idle limit.
constexpr Milliseconds idleTimeout{15'000};
}

WorkerCallDuty::WorkerCallDuty(const HttpClientLimits &limits, const FleetPlatform &platform, FleetRings &rings, FleetMetrics &metrics)
    : EventLoopDuty("workers", waitInterval)
    , m_limits(limits)
    , m_platform(platform)
    , m_rings(rings)
    , m_metrics(metrics)
{
}

WorkerCallDuty::~WorkerCallDuty()
{
    stop();
}

auto WorkerCallDuty::setUp() -> void
{
    m_toScheduler = std::make_unique<RingOutbox<FleetInput>>(m_rings.m_scheduler, [] {
        logEvent(LogLevel::Warning, "ring_full", {{"ring", "scheduler"}, {"from", "workers"}});
    });
    HttpClientLimits limits = m_limits;
    limits.m_maxBodyBytes = std::min(limits.m_maxBodyBytes, maxAnswerBytes);
    limits.m_maxConnectionsPerEndpoint = connectionsPerWorker;
    limits.m_connectTimeout = connectTimeout;
    limits.m_idleTimeout = idleTimeout;
    m_client = std::make_unique<HttpClient>(limits);
    m_client->onResponseLimited([this] {
        m_metrics.recordLimitedAnswer();
    });
    m_port = m_platform.makeWorkerPort(*m_client);
    watch(m_rings.m_workers.wakeDescriptor(), [this] {
        sendOrders();
    });
    sendOrders();
}

auto WorkerCallDuty::tearDown() -> void
{
    m_port.reset();
    m_client.reset();
    m_toScheduler.reset();
}

auto WorkerCallDuty::sendOrders() -> void
{
    m_orders.clear();
    m_rings.m_workers.drain(m_orders);
    for (const auto &order : m_orders) {
        std::visit(
            [this](const auto &content) {
                m_port->send(content, [this](WorkerAnswer &&answer) {
                    std::visit(
                        [this](auto &reply) {
                            m_toScheduler->push(std::move(reply));
                        },
                        answer);
                });
            },
            order);
    }
}
}
