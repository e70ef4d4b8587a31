#include "burdockspur/shard/schedulerplatformduty.hpp"

#include "burdockspur/operations/configurationwatcher.hpp"
#include "burdockspur/operations/hostwatcher.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/port/httphostlist.hpp"
#include "burdockspur/port/httpobjectstore.hpp"
#include "burdockspur/port/httptablestore.hpp"
#include "burdockspur/shard/shardstore.hpp"

#include <QTimer>

#include <random>
#include <utility>

namespace Burdockspur
{
namespace
{
// The shards thread waits this much longer, so that it normally receives the answer before its own deadline.
constexpr Milliseconds answerMargin{500};
// The shards thread empties the ring in one iteration, which takes a few milliseconds.
constexpr Milliseconds pushRetry{50};
}

SchedulerPlatformDuty::SchedulerPlatformDuty(const SchedulerSettings &settings, SchedulerRings &rings)
    : EventLoopDuty("platform")
    , m_settings(settings)
    , m_rings(rings)
{
}

SchedulerPlatformDuty::~SchedulerPlatformDuty()
{
    stop();
}

auto SchedulerPlatformDuty::setUp() -> void
{
    const std::uint64_t seed = (std::uint64_t(std::random_device()()) << 32U) | std::random_device()();
    const Duration timeout = std::max(m_settings.m_storeTimeout - answerMargin, m_settings.m_storeTimeout / 2);
    m_client = std::make_unique<HttpClient>(HttpClientLimits());
    m_table = std::make_unique<HttpTableStore>(*m_client, HttpEndpoint{m_settings.m_tableAddress, m_settings.m_tablePort}, timeout);
    m_objects = std::make_unique<HttpObjectStore>(*m_client, HttpEndpoint{m_settings.m_objectsAddress, m_settings.m_objectsPort}, timeout);
    m_hosts = std::make_unique<HttpHostList>(*m_client, HttpEndpoint{m_settings.m_hostsAddress, m_settings.m_hostsPort}, timeout);
    m_store = std::make_unique<ShardStore>(*m_table, *m_objects, [this](ShardInput &&input) {
        pushAnswer(std::move(input));
    });
    m_hostWatcher = std::make_unique<HostWatcher>(*m_hosts, m_settings.m_hostsPoll, seed, [this](const HostListing &listing) {
        m_pendingListing = listing;
        pushPending();
    });
    ConfigurationWatcherOptions options;
    options.m_seed = seed;
    m_configurationWatcher = std::make_unique<ConfigurationWatcher>(*m_table, options, [this](const Configuration &configuration) {
        m_pendingConfiguration = configuration;
        pushPending();
    });
    m_pushTimer = std::make_unique<QTimer>();
    m_pushTimer->setSingleShot(true);
    QObject::connect(m_pushTimer.get(), &QTimer::timeout, m_pushTimer.get(), [this] {
        pushPending();
    });
    m_hostWatcher->start();
    m_configurationWatcher->start();
    watch(m_rings.m_platform.wakeDescriptor(), [this] {
        executeCommands();
    });
    watch(m_rings.m_versions.wakeDescriptor(), [this] {
        forwardPeerVersions();
    });
}

auto SchedulerPlatformDuty::tearDown() -> void
{
    m_pushTimer.reset();
    m_configurationWatcher.reset();
    m_hostWatcher.reset();
    m_store.reset();
    m_hosts.reset();
    m_objects.reset();
    m_table.reset();
    m_client.reset();
}

auto SchedulerPlatformDuty::executeCommands() -> void
{
    m_commandBuffer.clear();
    m_rings.m_platform.drain(m_commandBuffer);
    for (auto &command : m_commandBuffer) {
        m_store->execute(std::move(command));
    }
}

auto SchedulerPlatformDuty::forwardPeerVersions() -> void
{
    m_versionBuffer.clear();
    m_rings.m_versions.drain(m_versionBuffer);
    for (const auto version : m_versionBuffer) {
        m_configurationWatcher->notifyPeerVersion(version);
    }
}

auto SchedulerPlatformDuty::pushPending() -> void
{
    const auto push = [this](auto &pending) {
        // Pushes a copy, because a full ring would discard a moved entry.
        if (pending && m_rings.m_shards.tryPush(ShardInput(*pending))) {
            pending.reset();
        }
    };
    push(m_pendingConfiguration);
    push(m_pendingListing);
    if (m_pendingConfiguration || m_pendingListing) {
        logEvent(LogLevel::Warning, "ring_full", {{"ring", "shards"}, {"from", "platform"}});
        m_pushTimer->start(pushRetry);
    }
}

auto SchedulerPlatformDuty::pushAnswer(ShardInput &&input) -> void
{
    if (!m_rings.m_shards.tryPush(std::move(input))) {
        logEvent(LogLevel::Warning, "ring_full", {{"ring", "shards"}, {"from", "platform"}});
    }
}
}
