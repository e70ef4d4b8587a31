#pragma once

#include "burdockspur/core/eventloopduty.hpp"
#include "burdockspur/fleet/fleetrings.hpp"
#include "burdockspur/link/httpclient.hpp"

#include <memory>
#include <vector>

namespace Burdockspur
{
class FleetMetrics;
class FleetPlatform;
class RunWorkerPort;
template<typename T>
class RingOutbox;

/// @brief Thread that sends the scheduler's orders to the workers and returns their answers.
class WorkerCallDuty final : public EventLoopDuty
{
public:
    /// @param limits limits of what the workers' answers may hold; the numbers of connections are the duty's own
    /// @param platform must outlive the duty
    /// @param rings must outlive the duty
    /// @param metrics must outlive the duty
    WorkerCallDuty(const HttpClientLimits &limits, const FleetPlatform &platform, FleetRings &rings, FleetMetrics &metrics);
    ~WorkerCallDuty() override;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    auto sendOrders() -> void;

    HttpClientLimits m_limits;
    const FleetPlatform &m_platform;
    FleetRings &m_rings;
    FleetMetrics &m_metrics;
    std::unique_ptr<RingOutbox<FleetInput>> m_toScheduler;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<RunWorkerPort> m_port;
    std::vector<WorkerOrder> m_orders;
};
}
