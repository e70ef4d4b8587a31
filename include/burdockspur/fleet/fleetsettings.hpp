#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/fleetlimits.hpp"
#include "burdockspur/fleet/hostcapacity.hpp"
#include "burdockspur/link/machinememory.hpp"
#include "burdockspur/operations/settingstable.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace Burdockspur
{
struct ClientLimits;
struct HttpClientLimits;
struct HttpLimits;

/// @brief Settings of burdockspur-host.
struct FleetSettings {
    std::string m_hostName;
    std::string m_zone;
    double m_cpuShare = 0; ///< usable share of each processor; 0 when not known
    double m_cores = 1;
    double m_linkMbps = 0; ///< 0 when not known
    std::uint64_t m_memoryMb = 0; ///< 0 when not known
    std::uint64_t m_maxFds = 0; ///< 0 when not known
    std::uint64_t m_clientMemoryPercent = MachineMemory::clientPercent;
    std::uint64_t m_answerMemoryPercent = MachineMemory::answerPercent;
    std::uint64_t m_maxClientConnections = 1'024;
    std::uint64_t m_maxClientTurnover = 500;
    std::string m_logLevel = "info";
    std::uint64_t m_logLines = 2'000; ///< maximum per second; hosts with 66 workers wrote up to 1,138 on a day of high load
    std::string m_callersEndpoint; ///< ADDRESS:PORT
    std::string m_readyEndpoint; ///< ADDRESS:PORT
    std::string m_metricsEndpoint; ///< ADDRESS:PORT
    std::string m_storeEndpoint; ///< ADDRESS:PORT
    Milliseconds m_storeTimeout{1'200};
    Milliseconds m_configApply{2'000};
    double m_graceSeconds = 6.0;
    double m_retentionSeconds = 120.0;
    Milliseconds m_jobVisible{3'000};
    Milliseconds m_ownerTimeout{1'600};
    std::uint64_t m_rowBytes = 65'536;
    Milliseconds m_evacuate{0}; ///< 0 for no bound
    bool m_looksAhead = false; ///< see LookAheadLimits
};

/// @brief Names, types and ranges of the settings in the file.
[[nodiscard]] auto fleetSettingsTable() -> SettingsTable<FleetSettings>;

/// @brief Checks of the settings beyond type and range.
[[nodiscard]] auto fleetSettingsChecks() noexcept -> std::span<const SettingsCheck<FleetSettings>>;

/// @brief Limits of the scheduling decisions that follow from the settings.
[[nodiscard]] auto fleetLimitsOf(const FleetSettings &settings) noexcept -> FleetLimits;

/// @brief Capacity of the host according to its settings.
[[nodiscard]] auto hostCapacityOf(const FleetSettings &settings) noexcept -> HostCapacity;

/// @brief What the clients of all ports may hold together.
[[nodiscard]] auto clientLimitsOf(const FleetSettings &settings) noexcept -> ClientLimits;

/// @brief Limits of the callers' port.
[[nodiscard]] auto callerLimitsOf(const FleetSettings &settings) noexcept -> HttpLimits;

/// @brief Limits of the port for readiness checks.
[[nodiscard]] auto readyLimitsOf(const FleetSettings &settings) noexcept -> HttpLimits;

/// @brief Maximum number of connections to the port of the metrics.
[[nodiscard]] auto metricsConnectionsOf(const FleetSettings &settings) noexcept -> std::size_t;

/// @brief Limits of what the host receives from the store, or from the workers.
[[nodiscard]] auto answerLimitsOf(const FleetSettings &settings) noexcept -> HttpClientLimits;
}
