#pragma once

#include "burdockspur/operations/settingstable.hpp"
#include "burdockspur/shard/shardsettings.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace Burdockspur
{
struct FrameLimits;

/// @brief Settings of `burdockspur-scheduler`.
struct SchedulerSettings : ShardSettings {
    std::string m_host;
    std::string m_zone;
    std::string m_region;
    std::uint64_t m_memoryMb = 0; ///< 0 when not known
    std::string m_logLevel = "info";
    std::string m_frameAddress = "127.0.0.1";
    std::uint16_t m_framePort = 0;
    std::string m_adminAddress = "127.0.0.1";
    std::uint16_t m_adminPort = 0;
    std::string m_tableAddress;
    std::uint16_t m_tablePort = 0;
    std::string m_objectsAddress;
    std::uint16_t m_objectsPort = 0;
    std::string m_hostsAddress;
    std::uint16_t m_hostsPort = 0;
    Milliseconds m_hostsPoll{
        1'000}; ///< period of reads of the host list; an unchanged list costs only a header, and a leaving worker also reports its state itself
    Milliseconds m_drain{15'000}; ///< longest drain; afterwards other schedulers take over shards that were not released
};

/// @brief Limits of the links of entry daemons, which follow from the memory of the machine.
[[nodiscard]] auto linkLimitsOf(const SchedulerSettings &settings) noexcept -> FrameLimits;

/// @brief Fields of the scheduler's settings file.
[[nodiscard]] auto schedulerFields() noexcept -> SettingsTable<SchedulerSettings>;

/// @brief Checks that the settings must pass, some of them across several settings.
[[nodiscard]] auto schedulerChecks() noexcept -> std::span<const SettingsCheck<SchedulerSettings>>;
}
