#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/core/wakedescriptor.hpp"
#include "burdockspur/operations/metrics.hpp"
#include "burdockspur/shard/entrylinkduty.hpp"
#include "burdockspur/shard/scheduleradminduty.hpp"
#include "burdockspur/shard/schedulermetrics.hpp"
#include "burdockspur/shard/schedulerplatformduty.hpp"
#include "burdockspur/shard/schedulerrings.hpp"
#include "burdockspur/shard/schedulersettings.hpp"
#include "burdockspur/shard/shardduty.hpp"
#include "burdockspur/shard/statustext.hpp"
#include "burdockspur/shard/workerduty.hpp"

#include <cstdint>

namespace Burdockspur
{
/// @brief Ports on which a scheduler daemon listens.
struct SchedulerPorts {
    std::uint16_t m_frames = 0;
    std::uint16_t m_admin = 0;
};

/// @brief Owns the duties of `burdockspur-scheduler` and the rings between them, and starts and stops them.
///
/// @code
/// SchedulerDaemon daemon(settings);
/// const auto ports = daemon.start();
/// daemon.beginDrain();
/// // when drainedDescriptor() is readable, destroy the daemon
/// @endcode
class SchedulerDaemon
{
public:
    explicit SchedulerDaemon(const SchedulerSettings &settings);
    ~SchedulerDaemon();
    SchedulerDaemon(const SchedulerDaemon &) = delete;
    SchedulerDaemon(SchedulerDaemon &&) = delete;
    auto operator=(const SchedulerDaemon &) -> SchedulerDaemon & = delete;
    auto operator=(SchedulerDaemon &&) -> SchedulerDaemon & = delete;

    /// @brief Starts the threads.
    /// @returns the ports, or ErrorCode::Unavailable when a port is already in use
    [[nodiscard]] auto start() -> Result<SchedulerPorts>;

    /// @brief Begins a graceful shutdown; may be called from any thread.
    /// @returns false when the ring is full; the caller may try again
    [[nodiscard]] auto beginDrain() -> bool;

    /// @brief File descriptor that becomes readable when the drain has ended.
    [[nodiscard]] auto drainedDescriptor() const noexcept -> int
    {
        return m_drained.descriptor();
    }

private:
    SchedulerSettings m_settings;
    Metrics m_metrics;
    SchedulerMetrics m_schedulerMetrics;
    StatusText m_status;
    WakeDescriptor m_drained;
    SchedulerRings m_rings;
    EntryLinkDuty m_entries;
    WorkerDuty m_workers;
    SchedulerPlatformDuty m_platform;
    ShardDuty m_shards;
    SchedulerAdminDuty m_admin;
};
}
