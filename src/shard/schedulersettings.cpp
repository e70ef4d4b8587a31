#include "burdockspur/shard/schedulersettings.hpp"

#include "burdockspur/link/framelimits.hpp"
#include "burdockspur/link/machinememory.hpp"
#include "burdockspur/operations/log.hpp"

#include <array>

namespace Burdockspur
{
namespace
{
using Field = SettingsField<SchedulerSettings>;
using S = SchedulerSettings;
constexpr auto required = SettingPresence::Required;
constexpr auto optional = SettingPresence::Optional;
constexpr auto text = SettingKind::Text;
constexpr auto address = SettingKind::IpAddress;
constexpr auto integer = SettingKind::Integer;
constexpr auto duration = SettingKind::DurationMs;
constexpr SettingRange name{1, 253};
constexpr SettingRange port{0, 65'535};
constexpr SettingRange servicePort{1, 65'535};
constexpr SettingRange time{50, 600'000};

constexpr std::array<Field, 27> fields{{
    {"host.name", &S::m_host, text, required, name, "", "Name of this entry host in the host list"},
    {"host.zone", &S::m_zone, text, required, name, "", "Availability zone of this host"},
    {"host.region", &S::m_region, text, required, name, "", "Region of this host"},
    {"host.memory_mb", &S::m_memoryMb, integer, optional, {0, 1e7}, "MB", "Memory of the machine; 0 if not known, which counts as 160"},
    {"log.level", &S::m_logLevel, text, optional, name, "", "debug, info, warning or error"},
    {"frames.address", &S::m_frameAddress, address, optional, {}, "", "Address for entry daemons"},
    {"frames.port", &S::m_framePort, integer, optional, port, "", "Port for entry daemons; 0 picks a free one"},
    {"admin.address", &S::m_adminAddress, address, optional, {}, "", "Address of the admin port"},
    {"admin.port", &S::m_adminPort, integer, optional, port, "", "Admin port; 0 picks a free one"},
    {"table.address", &S::m_tableAddress, address, required, {}, "", "Address of the table service"},
    {"table.port", &S::m_tablePort, integer, required, servicePort, "", "Port of the table service"},
    {"objects.address", &S::m_objectsAddress, address, required, {}, "", "Address of the object store"},
    {"objects.port", &S::m_objectsPort, integer, required, servicePort, "", "Port of the object store"},
    {"hostlist.address", &S::m_hostsAddress, address, required, {}, "", "Address of the host list"},
    {"hostlist.port", &S::m_hostsPort, integer, required, servicePort, "", "Port of the host list"},
    {"hostlist.poll_ms", &S::m_hostsPoll, duration, optional, time, "ms", "Period of reading the host list"},
    {"shard.takeover_ms", &S::m_takeover, duration, optional, time, "ms", "Time without a new heartbeat after which another scheduler takes over"},
    {"shard.heartbeat_ms", &S::m_heartbeat, duration, optional, time, "ms", "Period of the owner's heartbeat"},
    {"shard.owner_lease_ms", &S::m_ownerLease, duration, optional, time, "ms", "Time without a confirmed heartbeat after which an owner stops acting"},
    {"shard.rebalance_ms", &S::m_rebalance, duration, optional, time, "ms", "Time with more shards than its share after which a scheduler hands one over"},
    {"shard.tick_ms", &S::m_tick, duration, optional, {1, 1'000}, "ms", "Changes of one tick go into one journal row"},
    {"shard.store_timeout_ms", &S::m_storeTimeout, duration, optional, time, "ms", "Timeout for calls to the table service and the object store"},
    {"shard.drain_ms", &S::m_drain, duration, optional, time, "ms", "Longest graceful shutdown"},
    {"worker.lease_ms", &S::m_workerLease, duration, optional, time, "ms", "Time after the last report answered by a renewal when a worker stops its tasks"},
    {"worker.renewal_ms", &S::m_renewal, duration, optional, time, "ms", "Period of lease renewals"},
    {"worker.call_timeout_ms", &S::m_callTimeout, duration, optional, time, "ms", "Timeout for calls to workers"},
    {"worker.unfenced_wait_ms",
     &S::m_unfencedWait,
     duration,
     optional,
     {0, 600'000},
     "ms",
     "Extra wait for the lease of an unlisted worker that a new owner never reached"},
}};
}

auto linkLimitsOf(const SchedulerSettings &settings) noexcept -> FrameLimits
{
    FrameLimits limits;
    limits.m_maxHeldBytes = MachineMemory(settings.m_memoryMb).share(MachineMemory::clientPercent);
    return limits;
}

auto schedulerFields() noexcept -> SettingsTable<SchedulerSettings>
{
    return fields;
}

auto schedulerChecks() noexcept -> std::span<const SettingsCheck<SchedulerSettings>>
{
    static constexpr std::array<SettingsCheck<SchedulerSettings>, 4> checks{{
        {"log.level",
         [](const SchedulerSettings &settings) {
             return isLogLevel(settings.m_logLevel);
         },
         "debug, info, warning or error"},
        {"shard.heartbeat_ms",
         [](const SchedulerSettings &settings) {
             return settings.m_heartbeat < settings.m_ownerLease;
         },
         "less than shard.owner_lease_ms"},
        {"shard.owner_lease_ms",
         [](const SchedulerSettings &settings) {
             return settings.m_ownerLease < settings.m_takeover;
         },
         "less than shard.takeover_ms"},
        {"worker.renewal_ms",
         [](const SchedulerSettings &settings) {
             // A renewal extends the lease from the report that answered the previous renewal.
             return 2 * settings.m_renewal < settings.m_workerLease;
         },
         "less than half of worker.lease_ms"},
    }};
    return checks;
}
}
