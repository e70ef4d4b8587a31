#include "burdockspur/host/entrysettings.hpp"

#include "burdockspur/link/httpclient.hpp"
#include "burdockspur/link/machinememory.hpp"
#include "burdockspur/operations/log.hpp"

#include <array>

namespace Burdockspur
{
namespace
{
constexpr std::size_t fewestHeldBytes = 1'000'000;
}

auto callerLimitsOf(const EntrySettings &settings) noexcept -> HttpLimits
{
    HttpLimits limits = settings;
    if (limits.m_maxHeldBytes == 0) {
        limits.m_maxHeldBytes = MachineMemory(settings.m_memoryMb).share(MachineMemory::clientPercent);
    }
    return limits;
}

auto workerLimitsOf(const EntrySettings &settings) noexcept -> HttpClientLimits
{
    HttpClientLimits limits;
    limits.m_maxConnectionsPerEndpoint = settings.m_connectionsPerWorker;
    limits.m_connectTimeout = settings.m_connectTimeout;
    limits.m_maxHeldBytes = MachineMemory(settings.m_memoryMb).share(MachineMemory::answerPercent);
    return limits;
}

auto entrySettingsTable() -> SettingsTable<EntrySettings>
{
    using enum SettingKind;
    using enum SettingPresence;
    using S = EntrySettings;
    static constexpr SettingRange name{1, 128};
    static constexpr SettingRange port{1, 65'535};
    static constexpr SettingRange anyPort{0, 65'535};
    static constexpr SettingRange period{1, 3'600'000};
    static constexpr SettingRange count{1, 1'000'000};
    static constexpr SettingRange percent{0, 100};
    static constexpr SettingRange bytes{1'024, 1e9};
    static constexpr std::array<SettingsField<S>, 49> table{{
        {"host.name", &S::m_hostName, Text, Required, name, "", "Name of this entry host in the host list"},
        {"host.zone", &S::m_zone, Text, Required, name, "", "Availability zone; workers in it are preferred"},
        {"host.region", &S::m_region, Text, Required, name, "", "Region"},
        {"host.memory_mb", &S::m_memoryMb, Integer, Optional, SettingRange{0, 1e7}, "MB", "Memory of the machine; 0 if not known, which counts as 160"},
        {"log.level", &S::m_logLevel, Text, Optional, name, "", "debug, info, warning or error"},
        {"callers.address", &S::m_callersAddress, IpAddress, Optional, {}, "", "Address for callers and operators"},
        {"callers.port", &S::m_callersPort, Integer, Optional, anyPort, "", "Port for callers and operators; 0 picks a free one"},
        {"callers.max_connections", &S::m_maxConnections, Integer, Optional, count, "connections", "Maximum number of open connections"},
        {"callers.max_header_bytes", &S::m_maxHeaderBytes, Integer, Optional, bytes, "bytes", "Longest header of a request"},
        {"callers.max_body_bytes", &S::m_maxBodyBytes, Integer, Optional, bytes, "bytes", "Longest body of a request"},
        {"callers.max_held_bytes",
         &S::m_maxHeldBytes,
         Integer,
         Optional,
         SettingRange{0, 1e12},
         "bytes",
         "Memory that all callers may hold together; beyond it, connections are closed; 0 for a third of host.memory_mb"},
        {"callers.max_turnover",
         &HttpLimits::m_maxTurnover,
         Integer,
         Optional,
         count,
         "connections/s",
         "New connections that a full port accepts, each in place of another one; the others wait"},
        {"callers.max_pipelined", &S::m_maxPipelined, Integer, Optional, count, "requests", "Unanswered requests of one connection"},
        {"callers.request_timeout_ms", &HttpLimits::m_requestTimeout, DurationMs, Optional, period, "ms", "Timeout to receive a request that has begun"},
        {"callers.idle_timeout_ms", &S::m_idleTimeout, DurationMs, Optional, period, "ms", "Timeout of a connection without a request"},
        {"callers.write_timeout_ms", &S::m_writeTimeout, DurationMs, Optional, period, "ms", "Timeout for a caller that does not read its answer"},
        {"callers.default_deadline_ms", &S::m_defaultDeadline, DurationMs, Optional, period, "ms", "Deadline of a request that gives none"},
        {"callers.max_deadline_ms", &S::m_maxDeadline, DurationMs, Optional, period, "ms", "Longest deadline that a request may give"},
        {"callers.job_deadline_ms", &S::m_jobDeadline, DurationMs, Optional, period, "ms", "Deadline of job commands"},
        {"admin.address", &S::m_adminAddress, IpAddress, Optional, {}, "", "Address of the admin port"},
        {"admin.port", &S::m_adminPort, Integer, Optional, anyPort, "", "Admin port; 0 picks a free one"},
        {"table.address", &S::m_tableAddress, IpAddress, Required, {}, "", "Address of the table service"},
        {"table.port", &S::m_tablePort, Integer, Required, port, "", "Port of the table service"},
        {"hostlist.address", &S::m_hostListAddress, IpAddress, Required, {}, "", "Address of the host list"},
        {"hostlist.port", &S::m_hostListPort, Integer, Required, port, "", "Port of the host list"},
        {"platform.timeout_ms", &S::m_platformTimeout, DurationMs, Optional, period, "ms", "Timeout of one call to the table service or the host list"},
        {"platform.hosts_interval_ms", &S::m_hostsInterval, DurationMs, Optional, period, "ms", "Period between two reads of the host list"},
        {"platform.config_interval_ms", &S::m_configInterval, DurationMs, Optional, period, "ms", "Period between two reads of the configuration"},
        {"router.max_in_flight", &S::m_maxInFlight, Integer, Optional, count, "requests", "Maximum number of requests in progress"},
        {"router.max_queued_per_class", &S::m_maxQueuedPerClass, Integer, Optional, count, "requests", "Maximum queued requests of a service"},
        {"router.forward_timeout_ms", &S::m_forwardTimeout, DurationMs, Optional, period, "ms", "Longest wait for an answer before the request is settled"},
        {"router.settle_reserve_ms", &S::m_settleReserve, DurationMs, Optional, period, "ms", "Part of a deadline reserved for settling"},
        {"router.settle_timeout_ms", &S::m_settleTimeout, DurationMs, Optional, period, "ms", "Timeout of one settle"},
        {"router.settle_grace_ms", &S::m_settleGrace, DurationMs, Optional, period, "ms", "Period after the deadline in which settling may continue"},
        {"router.pause_min_ms", &S::m_pauseMin, DurationMs, Optional, period, "ms", "First backoff before a repeated settle or forward; doubles"},
        {"router.pause_max_ms", &S::m_pauseMax, DurationMs, Optional, period, "ms", "Longest backoff before a repeated settle or forward"},
        {"router.leaving_mark_ms", &S::m_leavingMark, DurationMs, Optional, period, "ms", "Period without requests for a worker that replied leaving"},
        {"router.avoid_min_ms", &S::m_avoidMin, DurationMs, Optional, period, "ms", "Avoidance of a worker after a failure; doubles"},
        {"router.avoid_max_ms", &S::m_avoidMax, DurationMs, Optional, period, "ms", "Longest avoidance of a worker"},
        {"router.retry_percent", &S::m_retryPercent, Integer, Optional, percent, "%", "Retries, as a share of a caller's recent requests"},
        {"router.retry_minimum", &S::m_retryMinimum, Integer, Optional, count, "retries", "Retries allowed to every caller"},
        {"router.retry_window_ms", &S::m_retryWindow, DurationMs, Optional, period, "ms", "Length of a window; the last two count as recent"},
        {"router.retry_callers", &S::m_retryCallers, Integer, Optional, count, "callers", "Callers with their own retry budget"},
        {"idempotency.entries", &S::m_idempotencyEntries, Integer, Optional, count, "keys", "Maximum number of stored idempotency keys"},
        {"idempotency.bytes", &S::m_idempotencyBytes, Integer, Optional, bytes, "bytes", "Maximum total size of stored answers"},
        {"idempotency.ttl_ms", &S::m_idempotencyTtl, DurationMs, Optional, {1, 86'400'000}, "ms", "Lifetime of a stored answer"},
        {"workers.connections", &S::m_connectionsPerWorker, Integer, Optional, {1, 1'024}, "connections", "Connections to one worker"},
        {"workers.connect_timeout_ms", &S::m_connectTimeout, DurationMs, Optional, period, "ms", "Timeout for opening a connection to a worker"},
        {"drain.timeout_ms", &S::m_drainTimeout, DurationMs, Optional, period, "ms", "Longest graceful shutdown"},
    }};
    return table;
}

auto entrySettingsChecks() noexcept -> std::span<const SettingsCheck<EntrySettings>>
{
    static constexpr std::array<SettingsCheck<EntrySettings>, 3> checks{{
        {"log.level",
         [](const EntrySettings &settings) {
             return isLogLevel(settings.m_logLevel);
         },
         "debug, info, warning or error"},
        {"callers.max_held_bytes",
         [](const EntrySettings &settings) {
             return settings.m_maxHeldBytes == 0 || settings.m_maxHeldBytes >= fewestHeldBytes;
         },
         "0, or at least 1000000"},
        {"callers.default_deadline_ms",
         [](const EntrySettings &settings) {
             return settings.m_defaultDeadline <= settings.m_maxDeadline;
         },
         "at most callers.max_deadline_ms"},
    }};
    return checks;
}
}
