#include "burdockspur/shard/scheduleradminduty.hpp"

#include "burdockspur/operations/adminserver.hpp"
#include "burdockspur/operations/log.hpp"

namespace Burdockspur
{
SchedulerAdminDuty::SchedulerAdminDuty(const SchedulerSettings &settings, SchedulerRings &rings, const Metrics &metrics, const StatusText &status)
    : EventLoopDuty("admin")
    , m_settings(settings)
    , m_rings(rings)
    , m_metrics(metrics)
    , m_status(status)
{
}

SchedulerAdminDuty::~SchedulerAdminDuty()
{
    stop();
}

auto SchedulerAdminDuty::port() -> std::future<Result<std::uint16_t>>
{
    return m_port.get_future();
}

auto SchedulerAdminDuty::setUp() -> void
{
    m_server = std::make_unique<AdminServer>(
        m_metrics,
        [this] {
            return m_status.get();
        },
        [this] {
            const bool begun = m_rings.m_shards.tryPush(SchedulerDrainRequested());
            if (!begun) {
                logEvent(LogLevel::Error, "drain_not_begun", {{"reason", "the ring of the shards thread is full"}});
            }
            return begun;
        });
    m_port.set_value(m_server->listen(m_settings.m_adminAddress, m_settings.m_adminPort));
}

auto SchedulerAdminDuty::tearDown() -> void
{
    m_server.reset();
}
}
