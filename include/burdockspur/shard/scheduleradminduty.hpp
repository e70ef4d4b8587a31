#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/core/eventloopduty.hpp"
#include "burdockspur/shard/schedulerrings.hpp"
#include "burdockspur/shard/schedulersettings.hpp"
#include "burdockspur/shard/statustext.hpp"

#include <cstdint>
#include <future>
#include <memory>

namespace Burdockspur
{
class AdminServer;
class Metrics;

/// @brief Thread `admin`: serves metrics, status and drain on the admin port of the scheduler.
class SchedulerAdminDuty : public EventLoopDuty
{
public:
    SchedulerAdminDuty(const SchedulerSettings &settings, SchedulerRings &rings, const Metrics &metrics, const StatusText &status);
    ~SchedulerAdminDuty() override;
    SchedulerAdminDuty(const SchedulerAdminDuty &) = delete;
    SchedulerAdminDuty(SchedulerAdminDuty &&) = delete;
    auto operator=(const SchedulerAdminDuty &) -> SchedulerAdminDuty & = delete;
    auto operator=(SchedulerAdminDuty &&) -> SchedulerAdminDuty & = delete;

    /// @brief Future admin port, available once the server listens; call once.
    [[nodiscard]] auto port() -> std::future<Result<std::uint16_t>>;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    const SchedulerSettings &m_settings;
    SchedulerRings &m_rings;
    const Metrics &m_metrics;
    const StatusText &m_status;
    std::promise<Result<std::uint16_t>> m_port;
    std::unique_ptr<AdminServer> m_server;
};
}
