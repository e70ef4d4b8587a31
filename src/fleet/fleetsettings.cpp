#include "burdockspur/fleet/fleetsettings.hpp"

#include "burdockspur/contract/fleetconfiguration.hpp"
#include "burdockspur/link/clientlimits.hpp"
#include "burdockspur/link/endpointtext.hpp"
#include "burdockspur/link/httpclient.hpp"
#include "burdockspur/link/httplimits.hpp"
#include "burdockspur/link/machinememory.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
namespace
{
/// Time from the decision to start a task until the worker has begun it.
constexpr Milliseconds startReserve{1'000};
/// Shorter bounds would stop all starts whenever one answer of the store is late.
constexpr Milliseconds minEvacuate{3'000};
/// Descriptors of the smallest hosts, for a host whose settings do not tell them.
constexpr std::uint64_t assumedFds = 4'100;
/// A server keeps at least this many connections, also on a host with few descriptors.
constexpr std::size_t fewestConnections = 8;

/// Divisors of the descriptors of the process; the others are for the store, the workers and the owner's connections to them.
constexpr std::size_t callersPart = 4;
constexpr std::size_t readyPart = 64;
constexpr std::size_t metricsPart = 128;
/// Connections above the limit of a server that may read an error, as a part of the limit.
constexpr std::size_t rejectedPart = 16;

[[nodiscard]] auto connectionsOf(const FleetSettings &settings, std::size_t part) noexcept -> std::size_t
{
    const std::size_t descriptors = settings.m_maxFds == 0 ? assumedFds : settings.m_maxFds;
    return std::max(fewestConnections, descriptors / part);
}

[[nodiscard]] auto withConnections(HttpLimits limits, std::size_t connections) noexcept -> HttpLimits
{
    limits.m_maxConnections = connections;
    limits.m_maxRejected = std::max(fewestConnections, std::min(limits.m_maxRejected, connections / rejectedPart));
    return limits;
}
}

auto fleetSettingsTable() -> SettingsTable<FleetSettings>
{
    using enum SettingKind;
    using enum SettingPresence;
    using S = FleetSettings;
    static constexpr SettingRange name{1, 128};
    static constexpr SettingRange endpoint{9, 64};
    static constexpr SettingRange period{1, 3'600'000};
    static constexpr SettingRange bytes{1'024, 1e8};
    static constexpr SettingRange seconds{1, 86'400};
    static constexpr SettingRange percent{1, 80};
    static constexpr std::array<SettingsField<S>, 26> table{{
        {"host.name", &S::m_hostName, Text, Required, name, "", "Name of this entry host"},
        {"host.zone", &S::m_zone, Text, Required, name, "", "Availability zone"},
        {"host.cpu_share", &S::m_cpuShare, Number, Optional, SettingRange{0, 1e3}, "", "Share of each processor that the host may use; 0 if not known"},
        {"host.cores", &S::m_cores, Number, Optional, SettingRange{0, 1e4}, "", "Processors of the host"},
        {"host.link_mbps", &S::m_linkMbps, Number, Optional, SettingRange{0, 1e7}, "Mbit/s", "Link of the host; 0 if not known"},
        {"host.memory_mb", &S::m_memoryMb, Integer, Optional, SettingRange{0, 1e7}, "MB", "Memory of the host; 0 if not known, which counts as 160"},
        {"host.max_fds", &S::m_maxFds, Integer, Optional, SettingRange{0, 1e7}, "", "Descriptors of the process; 0 if not known, which counts as 4100"},
        {"log.level", &S::m_logLevel, Text, Optional, name, "", "debug, info, warning or error"},
        {"log.lines_per_s",
         &S::m_logLines,
         Integer,
         Optional,
         SettingRange{0, 1e6},
         "lines",
         "Maximum number of log lines per second below warnings; 0 for no limit"},
        {"callers.endpoint", &S::m_callersEndpoint, Text, Required, endpoint, "", "ADDRESS:PORT for callers"},
        {"clients.memory_percent",
         &S::m_clientMemoryPercent,
         Integer,
         Optional,
         percent,
         "%",
         "Part of host.memory_mb that the clients of all ports may hold together; beyond it, connections are closed"},
        {"clients.max_connections",
         &S::m_maxClientConnections,
         Integer,
         Optional,
         SettingRange{16, 1e6},
         "connections",
         "Maximum number of open connections of callers; at most a quarter of host.max_fds"},
        {"clients.max_turnover",
         &S::m_maxClientTurnover,
         Integer,
         Optional,
         SettingRange{1, 1e6},
         "connections/s",
         "New connections that a full port accepts, each in place of another one; the others wait"},
        {"answers.memory_percent",
         &S::m_answerMemoryPercent,
         Integer,
         Optional,
         percent,
         "%",
         "Part of host.memory_mb that incomplete answers of the store, or of the workers, may hold"},
        {"ready.endpoint", &S::m_readyEndpoint, Text, Required, endpoint, "", "ADDRESS:PORT for the readiness checks of the load balancer"},
        {"metrics.endpoint", &S::m_metricsEndpoint, Text, Required, endpoint, "", "ADDRESS:PORT of the metrics"},
        {"store.endpoint", &S::m_storeEndpoint, Text, Required, endpoint, "", "ADDRESS:PORT of the table service"},
        {"store.timeout_ms", &S::m_storeTimeout, DurationMs, Optional, period, "ms", "Time-out of a call to the table service"},
        {"store.row_bytes", &S::m_rowBytes, Integer, Optional, bytes, "bytes", "Largest value of a row"},
        {"config.apply_ms", &S::m_configApply, DurationMs, Optional, period, "ms", "Time within which a configuration must be in force everywhere"},
        {"stop.grace_s", &S::m_graceSeconds, Number, Optional, seconds, "s", "Time from SIGTERM to SIGKILL"},
        {"jobs.retention_s", &S::m_retentionSeconds, Number, Optional, seconds, "s", "Time for which the final state of a job is kept"},
        {"jobs.visible_ms",
         &S::m_jobVisible,
         DurationMs,
         Optional,
         SettingRange{1'000, 60'000},
         "ms",
         "Time within which an accepted job must be counted and shown"},
        {"owner.silence_ms", &S::m_ownerTimeout, DurationMs, Optional, period, "ms", "Time without a commit after which the owner of the fleet is replaced"},
        {"zones.evacuate_ms",
         &S::m_evacuate,
         DurationMs,
         Optional,
         SettingRange{0, 3'600'000},
         "ms",
         "Time from the operator's request to close a zone after which nothing may start there; 0 for no bound"},
        {"placement.look_ahead",
         &S::m_looksAhead,
         Boolean,
         Optional,
         {},
         "",
         "Whether placement reserves room for large work and lets smaller work fill the gaps"},
    }};
    return table;
}

auto fleetSettingsChecks() noexcept -> std::span<const SettingsCheck<FleetSettings>>
{
    using S = FleetSettings;
    static constexpr std::string_view endpoint = "ADDRESS:PORT with an IP number";
    static constexpr std::array<SettingsCheck<S>, 7> checks{{
        {"log.level",
         [](const S &settings) {
             return isLogLevel(settings.m_logLevel);
         },
         "debug, info, warning or error"},
        {"callers.endpoint",
         [](const S &settings) {
             return parseEndpoint(settings.m_callersEndpoint).has_value();
         },
         endpoint},
        {"ready.endpoint",
         [](const S &settings) {
             return parseEndpoint(settings.m_readyEndpoint).has_value();
         },
         endpoint},
        {"metrics.endpoint",
         [](const S &settings) {
             return parseEndpoint(settings.m_metricsEndpoint).has_value();
         },
         endpoint},
        {"store.endpoint",
         [](const S &settings) {
             return parseEndpoint(settings.m_storeEndpoint).has_value();
         },
         endpoint},
        {"owner.silence_ms",
         [](const S &settings) {
             return settings.m_ownerTimeout > 2 * FleetLimits{}.m_idleCommitInterval;
         },
         "more than twice the 400 ms between two heartbeats of an owner"},
        {"zones.evacuate_ms",
         [](const S &settings) {
             return settings.m_evacuate.count() == 0 || settings.m_evacuate >= minEvacuate;
         },
         "0, or at least 3000 ms: the requests are confirmed once a second, and an order may take a second"},
    }};
    return checks;
}

auto fleetLimitsOf(const FleetSettings &settings) noexcept -> FleetLimits
{
    /// Added to the retention, because a repeated submission may arrive seconds after its answer, and the job must still be known then.
    constexpr Milliseconds lateRepeatTime{30'000};
    FleetLimits limits;
    limits.m_maxZonesAge = settings.m_evacuate.count() == 0 ? Milliseconds{0} : settings.m_evacuate - startReserve;
    limits.m_rowBytes = static_cast<std::size_t>(settings.m_rowBytes);
    limits.m_lookAhead.m_isOn = settings.m_looksAhead;
    limits.m_retention = std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(settings.m_retentionSeconds)) + lateRepeatTime;
    return limits;
}

auto clientLimitsOf(const FleetSettings &settings) noexcept -> ClientLimits
{
    return MachineMemory::clientLimits(MachineMemory(settings.m_memoryMb).share(settings.m_clientMemoryPercent));
}

auto callerLimitsOf(const FleetSettings &settings) noexcept -> HttpLimits
{
    HttpLimits limits;
    limits.m_maxBodyBytes = FleetConfiguration{}.m_maxBodyBytes;
    limits.m_maxHeaderBytes = FleetConfiguration{}.m_maxHeaderBytes;
    limits.m_requestTimeout = FleetConfiguration{}.m_headerTimeout;
    limits.m_idleTimeout = FleetConfiguration{}.m_idleTimeout;
    limits.m_maxTurnover = static_cast<std::uint32_t>(settings.m_maxClientTurnover);
    return withConnections(limits, std::min<std::size_t>(settings.m_maxClientConnections, connectionsOf(settings, callersPart)));
}

auto readyLimitsOf(const FleetSettings &settings) noexcept -> HttpLimits
{
    return withConnections(callerLimitsOf(settings), connectionsOf(settings, readyPart));
}

auto metricsConnectionsOf(const FleetSettings &settings) noexcept -> std::size_t
{
    return connectionsOf(settings, metricsPart);
}

auto answerLimitsOf(const FleetSettings &settings) noexcept -> HttpClientLimits
{
    HttpClientLimits limits;
    limits.m_maxHeldBytes = MachineMemory(settings.m_memoryMb).share(settings.m_answerMemoryPercent);
    limits.m_maxBodyBytes = std::min<std::uint64_t>(limits.m_maxBodyBytes, limits.m_maxHeldBytes);
    return limits;
}

auto hostCapacityOf(const FleetSettings &settings) noexcept -> HostCapacity
{
    return {settings.m_cpuShare * settings.m_cores, settings.m_linkMbps};
}
}
