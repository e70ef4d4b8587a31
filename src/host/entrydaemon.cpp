#include "burdockspur/host/entrydaemon.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/host/adminduty.hpp"
#include "burdockspur/host/callerduty.hpp"
#include "burdockspur/host/entrysettings.hpp"
#include "burdockspur/host/platformduty.hpp"
#include "burdockspur/host/routerduty.hpp"
#include "burdockspur/host/schedulerlinkduty.hpp"
#include "burdockspur/host/targetduty.hpp"

#include <random>
#include <thread>

namespace Burdockspur
{
namespace
{
[[nodiscard]] auto randomSeed() -> std::uint64_t
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

[[nodiscard]] auto callerOptions(const EntrySettings &settings, std::uint64_t bootNumber, int drainedDescriptor) -> CallerDutyOptions
{
    CallerDutyOptions options;
    options.m_hostName = settings.m_hostName;
    options.m_bootNumber = bootNumber;
    options.m_address = settings.m_callersAddress;
    options.m_port = settings.m_callersPort;
    options.m_httpLimits = callerLimitsOf(settings);
    options.m_callerLimits = settings;
    options.m_drainedDescriptor = drainedDescriptor;
    return options;
}

[[nodiscard]] auto platformOptions(const EntrySettings &settings, std::uint64_t seed) -> PlatformDutyOptions
{
    PlatformDutyOptions options;
    options.m_table = {settings.m_tableAddress, settings.m_tablePort};
    options.m_hostList = {settings.m_hostListAddress, settings.m_hostListPort};
    options.m_timeout = settings.m_platformTimeout;
    options.m_hostsInterval = settings.m_hostsInterval;
    options.m_configInterval = settings.m_configInterval;
    options.m_seed = seed;
    return options;
}

/// @brief Waits for space in a ring and pushes an entry; the reading duty empties the ring within milliseconds.
template<typename Entry, typename T>
auto pushWhenFree(BoundedRing<T> &ring) -> void
{
    constexpr Milliseconds pause{1};
    while (!ring.tryPush(Entry{}) && !ring.isClosed()) {
        std::this_thread::sleep_for(pause);
    }
}
}

EntryDaemon::EntryDaemon(const EntrySettings &settings)
    : m_entryMetrics(m_metrics)
    , m_rings(settings.m_maxInFlight)
{
    RandomSource random(randomSeed());
    m_status.update([&](EntryReport &report) {
        report.m_host = settings.m_hostName;
    });
    m_router = std::make_unique<RouterDuty>(
        settings, settings.m_zone, KeyMapIdentity{settings.m_hostName, hexOf(random.next64())}, random.next64(), m_rings, m_entryMetrics, m_status);
    m_targets = std::make_unique<TargetDuty>(workerLimitsOf(settings), m_rings, m_entryMetrics);
    m_links = std::make_unique<SchedulerLinkDuty>(settings.m_hostName, random.next64(), m_rings, m_entryMetrics, m_status);
    m_platform = std::make_unique<PlatformDuty>(platformOptions(settings, random.next64()), m_rings, m_entryMetrics, m_status);
    m_callers = std::make_unique<CallerDuty>(callerOptions(settings, random.next64(), m_drained.descriptor()), m_rings, m_entryMetrics, m_status);
    m_admin = std::make_unique<AdminDuty>(settings.m_adminAddress, settings.m_adminPort, m_metrics, m_status, [this] {
        beginDrain();
    });
}

EntryDaemon::~EntryDaemon()
{
    // The duties that accept calls are stopped first, so that the others receive nothing new.
    m_admin->stop();
    m_callers->stop();
    m_platform->stop();
    m_links->stop();
    m_router->stop();
    m_targets->stop();
}

auto EntryDaemon::start() -> Result<Ports>
{
    m_router->start();
    m_targets->start();
    m_links->start();
    m_platform->start();
    m_callers->start();
    m_admin->start();
    const auto callers = m_callers->awaitPort();
    const auto admin = m_admin->awaitPort();
    if (!callers || !admin) {
        return std::unexpected(!callers ? callers.error() : admin.error());
    }
    return Ports{*callers, *admin};
}

auto EntryDaemon::beginDrain() -> void
{
    if (m_draining.exchange(true)) {
        return;
    }
    m_status.update([](EntryReport &report) {
        report.m_draining = true;
    });
    pushWhenFree<DrainRequested>(m_rings.m_router);
    pushWhenFree<DrainRequested>(m_rings.m_callers);
    m_drainBegun.signal();
}

auto EntryDaemon::drainBegunDescriptor() const noexcept -> int
{
    return m_drainBegun.descriptor();
}

auto EntryDaemon::drainedDescriptor() const noexcept -> int
{
    return m_drained.descriptor();
}
}
