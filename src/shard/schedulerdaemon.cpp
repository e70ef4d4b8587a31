#include "burdockspur/shard/schedulerdaemon.hpp"

namespace Burdockspur
{
SchedulerDaemon::SchedulerDaemon(const SchedulerSettings &settings)
    : m_settings(settings)
    , m_schedulerMetrics(m_metrics)
    , m_entries(m_settings, m_rings)
    , m_workers(m_settings, m_rings)
    , m_platform(m_settings, m_rings)
    , m_shards(m_settings, m_rings, m_schedulerMetrics, m_status, m_drained)
    , m_admin(m_settings, m_rings, m_metrics, m_status)
{
}

SchedulerDaemon::~SchedulerDaemon()
{
    m_admin.stop();
    // The shards thread ends before the threads that read its rings, so that they process its last messages.
    m_shards.stop();
    m_platform.stop();
    m_workers.stop();
    m_entries.stop();
}

auto SchedulerDaemon::start() -> Result<SchedulerPorts>
{
    auto frames = m_entries.port();
    auto admin = m_admin.port();
    m_entries.start();
    m_workers.start();
    m_platform.start();
    m_shards.start();
    m_admin.start();
    const auto framePort = frames.get();
    const auto adminPort = admin.get();
    if (!framePort) {
        return std::unexpected(framePort.error());
    }
    if (!adminPort) {
        return std::unexpected(adminPort.error());
    }
    return SchedulerPorts{.m_frames = *framePort, .m_admin = *adminPort};
}

auto SchedulerDaemon::beginDrain() -> bool
{
    return m_rings.m_shards.tryPush(SchedulerDrainRequested());
}
}
