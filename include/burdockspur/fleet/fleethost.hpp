#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/core/wakedescriptor.hpp"
#include "burdockspur/fleet/drainorder.hpp"
#include "burdockspur/fleet/fleetrings.hpp"
#include "burdockspur/fleet/fleetsettings.hpp"
#include "burdockspur/operations/metrics.hpp"

#include <memory>

namespace Burdockspur
{
class FleetDuty;
class FleetMetrics;
class FleetPlatform;
class FleetStoreDuty;
class ApiDuty;
class WorkerCallDuty;

/// @brief One entry host: owns all duties of its process and the rings between them.
///
/// All hosts run the same duties; a conditional write to the store decides which of them schedules.
///
/// @code
/// FleetHost host(settings, platform);
/// if (const auto started = host.start(); !started) { return 1; }
/// @endcode
class FleetHost
{
public:
    /// @param settings settings of the host
    /// @param platform must outlive the host
    FleetHost(const FleetSettings &settings, const FleetPlatform &platform);
    ~FleetHost();
    FleetHost(const FleetHost &) = delete;
    FleetHost(FleetHost &&) = delete;
    auto operator=(const FleetHost &) -> FleetHost & = delete;
    auto operator=(FleetHost &&) -> FleetHost & = delete;

    /// @brief Starts all duties and waits until the ports are open.
    [[nodiscard]] auto start() -> Result<void>;

    /// @brief Begins a planned stop: leaves the rotation of the load balancer, releases the ownership and answers open calls.
    /// @returns false if the ring of a duty is full; the call must then be repeated
    [[nodiscard]] auto beginDrain() -> bool;

    /// @brief File descriptor that becomes readable once the host has drained.
    [[nodiscard]] auto drainedDescriptor() const noexcept -> int
    {
        return m_drained.descriptor();
    }

private:
    Metrics m_metrics;
    FleetRings m_rings;
    WakeDescriptor m_drained;
    DrainOrder m_drainOrder{m_rings.m_api, m_rings.m_store};
    std::unique_ptr<FleetMetrics> m_fleetMetrics;
    std::unique_ptr<FleetDuty> m_scheduler;
    std::unique_ptr<WorkerCallDuty> m_workers;
    std::unique_ptr<FleetStoreDuty> m_store;
    std::unique_ptr<ApiDuty> m_api;
};
}
