#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/eventloopduty.hpp"
#include "burdockspur/host/entryrings.hpp"
#include "burdockspur/link/httpclient.hpp"

#include <memory>
#include <vector>

namespace Burdockspur
{
class ConfigurationWatcher;
class EntryMetrics;
class EntryStatus;
class HostList;
class KeyMapStore;
class PollTimer;
class HostWatcher;
class TableStore;
template<typename T>
class RingOutbox;

/// @brief Fixed configuration of PlatformDuty.
struct PlatformDutyOptions {
    HttpEndpoint m_table;
    HttpEndpoint m_hostList;
    Milliseconds m_timeout{2'000}; ///< timeout of one call to the table service or the host list
    Milliseconds m_hostsInterval{1'000};
    Milliseconds m_configInterval{1'000};
    Milliseconds m_keyMapInterval{1'000};
    std::uint64_t m_seed = 0;
};

/// @brief Thread that polls the host list, the configuration and the key map, and writes the latter two.
class PlatformDuty final : public EventLoopDuty
{
public:
    /// @param options fixed configuration
    /// @param rings must outlive the duty
    /// @param metrics must outlive the duty
    /// @param status must outlive the duty
    PlatformDuty(PlatformDutyOptions options, EntryRings &rings, EntryMetrics &metrics, EntryStatus &status);
    ~PlatformDuty() override;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    auto publish(const HostListing &listing) -> void;
    auto publish(const Configuration &configuration) -> void;
    auto drainCommands() -> void;
    auto on(SwitchPreset &&command) -> void;
    auto on(ReplaceConfiguration &&command) -> void;
    auto on(ConfigVersionReported &&command) -> void;
    auto on(ProposeKeyMap &&command) -> void;
    auto on(ReadKeyMap &&command) -> void;

    PlatformDutyOptions m_options;
    EntryRings &m_rings;
    EntryMetrics &m_metrics;
    EntryStatus &m_status;
    std::vector<PlatformCommand> m_commands;
    std::unique_ptr<RingOutbox<RouterEvent>> m_toRouter;
    std::unique_ptr<RingOutbox<CallerMessage>> m_toCallers;
    std::unique_ptr<RingOutbox<LinkMessage>> m_toLinks;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<TableStore> m_store;
    std::unique_ptr<HostList> m_hostList;
    std::unique_ptr<ConfigurationWatcher> m_configuration;
    std::unique_ptr<HostWatcher> m_hosts;
    std::unique_ptr<KeyMapStore> m_keyMap;
    std::unique_ptr<PollTimer> m_keyMapTimer;
};
}
