#include "burdockspur/fleet/fleetsettings.hpp"

#include "burdockspur/link/endpointtext.hpp"
#include "burdockspur/operations/log.hpp"

#include <array>

namespace Burdockspur
{
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
    static constexpr std::array<SettingsField<S>, 19> table{{
        {"host.name", &S::m_hostName, Text, Required, name, "", "Name of this entry host"},
        {"host.zone", &S::m_zone, Text, Required, name, "", "Availability zone"},
        {"host.cpu_share", &S::m_cpuShare, Number, Optional, SettingRange{0, 1e3}, "", "Share of each processor that the host may use; 0 if not known"},
        {"host.cores", &S::m_cores, Number, Optional, SettingRange{0, 1e4}, "", "Processors of the host"},
        {"host.link_mbps", &S::m_linkMbps, Number, Optional, SettingRange{0, 1e7}, "Mbit/s", "Link of the host; 0 if not known"},
        {"log.level", &S::m_logLevel, Text, Optional, name, "", "debug, info, warning or error"},
        {"log.lines_per_s",
         &S::m_logLines,
         Integer,
         Optional,
         SettingRange{0, 1e6},
         "lines",
         "Maximum number of log lines per second below warnings; 0 for no limit"},
        {"callers.endpoint", &S::m_callersEndpoint, Text, Required, endpoint, "", "ADDRESS:PORT for callers"},
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
    static constexpr std::array<SettingsCheck<S>, 6> checks{{
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
    }};
    return checks;
}

auto fleetLimitsOf(const FleetSettings &settings) noexcept -> FleetLimits
{
    /// Added to the retention, because a repeated submission may arrive seconds after its answer, and the job must still be known then.
    constexpr Milliseconds lateRepeatTime{30'000};
    FleetLimits limits;
    limits.m_rowBytes = static_cast<std::size_t>(settings.m_rowBytes);
    limits.m_lookAhead.m_isOn = settings.m_looksAhead;
    limits.m_retention = std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(settings.m_retentionSeconds)) + lateRepeatTime;
    return limits;
}

auto hostCapacityOf(const FleetSettings &settings) noexcept -> HostCapacity
{
    return {settings.m_cpuShare * settings.m_cores, settings.m_linkMbps};
}
}
