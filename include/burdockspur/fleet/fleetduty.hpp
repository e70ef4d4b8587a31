#pragma once

#include "burdockspur/core/duty.hpp"
#include "burdockspur/fleet/fleetrings.hpp"
#include "burdockspur/fleet/fleetscheduler.hpp"
#include "burdockspur/fleet/ownerload.hpp"

#include <deque>
#include <vector>

namespace Burdockspur
{
class FleetMetrics;

/// @brief Thread that runs the FleetScheduler: passes it the messages of the other duties and sends its commands to them.
class FleetDuty final : public Duty
{
public:
    /// @param limits limits of the scheduling decisions
    /// @param rings must outlive the duty
    /// @param metrics must outlive the duty
    FleetDuty(const FleetLimits &limits, FleetRings &rings, FleetMetrics &metrics);
    ~FleetDuty() override;

    /// @brief Sets the threads of the host whose processor time is logged; called before start().
    auto watchProcessorUse(const HostDuties &duties) noexcept -> void
    {
        m_load.watch(duties);
    }

protected:
    auto run() -> void override;
    auto requestStop() -> void override;

private:
    auto on(OwnershipClaimed &&input, TimePoint now) -> void;
    auto on(OwnershipTaken &&input, TimePoint now) -> void;
    auto on(OwnershipEnded &&input, TimePoint now) -> void;
    auto on(JobsStored &&input, TimePoint now) -> void;
    auto on(JobsArchived &&input, TimePoint now) -> void;
    auto on(InterferencePairsStored &&input, TimePoint now) -> void;
    auto on(WorkersChanged &&input, TimePoint now) -> void;
    auto on(ConfigurationConfirmed &&input, TimePoint now) -> void;
    auto on(ZonesConfirmed &&input, TimePoint now) -> void;
    auto on(CommitAnswer &&input, TimePoint now) -> void;
    auto on(ReportAnswer &&input, TimePoint now) -> void;
    auto on(StartAnswer &&input, TimePoint now) -> void;
    auto on(StopAnswer &&input, TimePoint now) -> void;
    auto on(PaceAnswer &&input, TimePoint now) -> void;
    auto sendCommands() -> void;

    FleetScheduler m_scheduler;
    Milliseconds m_roundInterval;
    FleetRings &m_rings;
    FleetMetrics &m_metrics;
    OwnerLoad m_load;
    std::vector<FleetInput> m_inputs;
    std::deque<FleetCommand> m_unsent; ///< commands that wait because a ring is full
};
}
