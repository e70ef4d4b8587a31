#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/host/callercodec.hpp"
#include "burdockspur/host/routerlimits.hpp"
#include "burdockspur/link/httplimits.hpp"
#include "burdockspur/operations/settingstable.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace Burdockspur
{
struct HttpClientLimits;

/// @brief Settings of burdockspur-entry.
struct EntrySettings : RouterLimits, HttpLimits, CallerLimits {
    EntrySettings()
    {
        m_maxHeldBytes = 0;
    }

    std::string m_hostName;
    std::string m_zone;
    std::string m_region;
    std::uint64_t m_memoryMb = 0; ///< 0 when not known
    std::string m_logLevel = "info";
    std::string m_callersAddress = "127.0.0.1";
    std::uint16_t m_callersPort = 8080;
    std::string m_adminAddress = "127.0.0.1";
    std::uint16_t m_adminPort = 8081;
    std::string m_tableAddress;
    std::uint16_t m_tablePort = 0;
    std::string m_hostListAddress;
    std::uint16_t m_hostListPort = 0;
    Milliseconds m_platformTimeout{2'000};
    Milliseconds m_hostsInterval{1'000};
    Milliseconds m_configInterval{1'000};
    Milliseconds m_drainTimeout{30'000};
    std::uint64_t m_connectionsPerWorker = 8; ///< equals the slots of a worker; the router uses fewer when there are many entry hosts
    Milliseconds m_connectTimeout{1'000};
};

/// @brief Limits of the callers' connections; HttpLimits::m_maxHeldBytes follows from the memory of the machine unless it is set.
[[nodiscard]] auto callerLimitsOf(const EntrySettings &settings) noexcept -> HttpLimits;

/// @brief Limits of the connections to workers.
[[nodiscard]] auto workerLimitsOf(const EntrySettings &settings) noexcept -> HttpClientLimits;

/// @brief Settings of the file with their types, ranges and descriptions.
[[nodiscard]] auto entrySettingsTable() -> SettingsTable<EntrySettings>;

/// @brief Checks that a range cannot express, such as relations between settings.
[[nodiscard]] auto entrySettingsChecks() noexcept -> std::span<const SettingsCheck<EntrySettings>>;
}
