#pragma once

#include "burdockspur/core/eventloopduty.hpp"
#include "burdockspur/shard/schedulerrings.hpp"
#include "burdockspur/shard/schedulersettings.hpp"

#include <memory>
#include <optional>
#include <vector>

class QTimer;

namespace Burdockspur
{
class ConfigurationWatcher;
class HostList;
class HostWatcher;
class HttpClient;
class ObjectStore;
class ShardStore;
class TableStore;

/// @brief Thread `platform`: calls the table service and the object store, and watches host list and configuration.
class SchedulerPlatformDuty : public EventLoopDuty
{
public:
    SchedulerPlatformDuty(const SchedulerSettings &settings, SchedulerRings &rings);
    ~SchedulerPlatformDuty() override;
    SchedulerPlatformDuty(const SchedulerPlatformDuty &) = delete;
    SchedulerPlatformDuty(SchedulerPlatformDuty &&) = delete;
    auto operator=(const SchedulerPlatformDuty &) -> SchedulerPlatformDuty & = delete;
    auto operator=(SchedulerPlatformDuty &&) -> SchedulerPlatformDuty & = delete;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    auto executeCommands() -> void;
    auto forwardPeerVersions() -> void;
    auto pushAnswer(ShardInput &&input) -> void;
    auto pushPending() -> void;

    const SchedulerSettings &m_settings;
    SchedulerRings &m_rings;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<TableStore> m_table;
    std::unique_ptr<ObjectStore> m_objects;
    std::unique_ptr<HostList> m_hosts;
    std::unique_ptr<ShardStore> m_store;
    std::unique_ptr<HostWatcher> m_hostWatcher;
    std::unique_ptr<ConfigurationWatcher> m_configurationWatcher;
    // Latest host listing and configuration that are not in the ring yet. Pushed again when the ring was full, because the
    // shards thread never requests them again.
    std::optional<HostListing> m_pendingListing;
    std::optional<Configuration> m_pendingConfiguration;
    std::unique_ptr<QTimer> m_pushTimer;
    std::vector<StoreCommand> m_commandBuffer;
    std::vector<ConfigVersion> m_versionBuffer;
};
}
