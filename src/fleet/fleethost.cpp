#include "burdockspur/fleet/fleethost.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/fleet/apiduty.hpp"
#include "burdockspur/fleet/fleetduty.hpp"
#include "burdockspur/fleet/fleetmetrics.hpp"
#include "burdockspur/fleet/fleetstoreduty.hpp"
#include "burdockspur/fleet/workercallduty.hpp"
#include "burdockspur/operations/log.hpp"

#include <random>

namespace Burdockspur
{
namespace
{
[[nodiscard]] auto makeIncarnation() -> std::string
{
    std::random_device device;
    return hexOf((std::uint64_t{device()} << 32U) | device());
}
}

FleetHost::FleetHost(const FleetSettings &settings, const FleetPlatform &platform)
    : m_fleetMetrics(std::make_unique<FleetMetrics>(m_metrics))
{
    const auto incarnation = makeIncarnation();
    m_scheduler = std::make_unique<FleetDuty>(fleetLimitsOf(settings), m_rings, *m_fleetMetrics);
    m_workers = std::make_unique<WorkerCallDuty>(answerLimitsOf(settings), platform, m_rings, *m_fleetMetrics);
    m_store = std::make_unique<FleetStoreDuty>(settings, platform, incarnation, m_rings, *m_fleetMetrics);
    m_api = std::make_unique<ApiDuty>(settings, platform, m_rings, m_metrics, *m_fleetMetrics, [this] {
        m_drained.signal();
    });
}

FleetHost::~FleetHost()
{
    // The requests of callers are stopped first, so that the other duties receive nothing new.
    m_api->stop();
    m_store->stop();
    m_scheduler->stop();
    m_workers->stop();
}

auto FleetHost::start() -> Result<void>
{
    m_scheduler->watchProcessorUse({.m_gate = m_api.get(), .m_store = m_store.get(), .m_scheduler = m_scheduler.get(), .m_workers = m_workers.get()});
    m_scheduler->start();
    m_workers->start();
    m_api->start();
    m_store->start();
    return m_api->awaitPorts();
}

auto FleetHost::beginDrain() -> bool
{
    const bool isBegun = m_drainOrder.send();
    logEvent(LogLevel::Info, "drain_begun", {{"noted", isBegun}});
    return isBegun;
}
}
