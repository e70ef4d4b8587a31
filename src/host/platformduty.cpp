#include "burdockspur/host/platformduty.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/host/entrymetrics.hpp"
#include "burdockspur/host/entrystatus.hpp"
#include "burdockspur/host/keymapstore.hpp"
#include "burdockspur/host/ringoutbox.hpp"
#include "burdockspur/impl/polltimer.hpp"
#include "burdockspur/operations/configurationwatcher.hpp"
#include "burdockspur/operations/hostwatcher.hpp"
#include "burdockspur/port/httphostlist.hpp"
#include "burdockspur/port/httptablestore.hpp"

namespace Burdockspur
{
PlatformDuty::PlatformDuty(PlatformDutyOptions options, EntryRings &rings, EntryMetrics &metrics, EntryStatus &status)
    : EventLoopDuty("platform")
    , m_options(std::move(options))
    , m_rings(rings)
    , m_metrics(metrics)
    , m_status(status)
{
}

PlatformDuty::~PlatformDuty()
{
    stop();
}

auto PlatformDuty::setUp() -> void
{
    const auto countRefusals = [this](RingName ring) {
        return [this, ring] {
            m_metrics.countRingFull(ring);
        };
    };
    m_toRouter = std::make_unique<RingOutbox<RouterEvent>>(m_rings.m_router, countRefusals(RingName::Router));
    m_toCallers = std::make_unique<RingOutbox<CallerMessage>>(m_rings.m_callers, countRefusals(RingName::Callers));
    m_toLinks = std::make_unique<RingOutbox<LinkMessage>>(m_rings.m_links, countRefusals(RingName::Links));
    m_client = std::make_unique<HttpClient>(HttpClientLimits{});
    m_store = std::make_unique<HttpTableStore>(*m_client, m_options.m_table, m_options.m_timeout);
    m_hostList = std::make_unique<HttpHostList>(*m_client, m_options.m_hostList, m_options.m_timeout);
    ConfigurationWatcherOptions watcherOptions;
    watcherOptions.m_pollInterval = m_options.m_configInterval;
    watcherOptions.m_seed = m_options.m_seed;
    m_configuration = std::make_unique<ConfigurationWatcher>(*m_store, watcherOptions, [this](const Configuration &configuration) {
        publish(configuration);
    });
    m_hosts = std::make_unique<HostWatcher>(*m_hostList, m_options.m_hostsInterval, m_options.m_seed, [this](const HostListing &listing) {
        publish(listing);
    });
    m_keyMap = std::make_unique<KeyMapStore>(*m_store,
                                             hexOf(m_options.m_seed),
                                             KeyMapStore::Listener{.m_read =
                                                                       [this](const KeyMap &map) {
                                                                           m_toRouter->push(KeyMapRead{map});
                                                                       },
                                                                   .m_notWritten =
                                                                       [this] {
                                                                           m_toRouter->push(KeyMapNotWritten{});
                                                                       }});
    m_keyMapTimer = std::make_unique<PollTimer>(m_options.m_keyMapInterval, m_options.m_seed + 1, [this] {
        m_keyMap->poll();
        m_keyMapTimer->startNext();
    });
    watch(m_rings.m_platform.wakeDescriptor(), [this] {
        drainCommands();
    });
    m_configuration->start();
    m_hosts->start();
    m_keyMapTimer->startNow();
}

auto PlatformDuty::tearDown() -> void
{
    m_keyMapTimer.reset();
    m_keyMap.reset();
    m_hosts.reset();
    m_configuration.reset();
    m_hostList.reset();
    m_store.reset();
    m_client.reset();
    m_toLinks.reset();
    m_toCallers.reset();
    m_toRouter.reset();
}

auto PlatformDuty::publish(const HostListing &listing) -> void
{
    m_toRouter->push(HostsChanged{listing});
    m_toLinks->push(HostsChanged{listing});
}

auto PlatformDuty::publish(const Configuration &configuration) -> void
{
    m_metrics.setConfigVersion(configuration.m_version);
    m_status.update([&](EntryReport &report) {
        report.m_configVersion = configuration.m_version;
        report.m_preset = configuration.m_presetInForce;
    });
    m_toRouter->push(ConfigurationChanged{configuration});
    m_toCallers->push(ConfigurationChanged{configuration});
    m_toLinks->push(ConfigurationChanged{configuration});
}

auto PlatformDuty::drainCommands() -> void
{
    m_commands.clear();
    m_rings.m_platform.drain(m_commands);
    for (auto &command : m_commands) {
        std::visit(
            [this](auto &content) {
                on(std::move(content));
            },
            command);
    }
}

auto PlatformDuty::on(SwitchPreset &&command) -> void
{
    m_configuration->switchPreset(command.m_expectedVersion, command.m_preset, [this, ticket = command.m_ticket](Result<ConfigVersion> &&result) {
        m_toCallers->push(AnswerConfigChange{ticket, std::move(result)});
    });
}

auto PlatformDuty::on(ReplaceConfiguration &&command) -> void
{
    m_configuration->change(command.m_expectedVersion, command.m_document, [this, ticket = command.m_ticket](Result<ConfigVersion> &&result) {
        m_toCallers->push(AnswerConfigChange{ticket, std::move(result)});
    });
}

auto PlatformDuty::on(ConfigVersionReported &&command) -> void
{
    m_configuration->notifyPeerVersion(command.m_version);
}

auto PlatformDuty::on(ProposeKeyMap &&command) -> void
{
    m_keyMap->propose(std::move(command.m_next));
}

auto PlatformDuty::on(ReadKeyMap && /*command*/) -> void
{
    m_keyMap->readNow();
}
}
