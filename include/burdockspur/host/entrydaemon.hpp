#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/core/wakedescriptor.hpp"
#include "burdockspur/host/entrymetrics.hpp"
#include "burdockspur/host/entryrings.hpp"
#include "burdockspur/host/entrystatus.hpp"
#include "burdockspur/operations/metrics.hpp"

#include <atomic>
#include <cstdint>
#include <memory>

namespace Burdockspur
{
class AdminDuty;
class CallerDuty;
class PlatformDuty;
class RouterDuty;
class SchedulerLinkDuty;
class TargetDuty;
struct EntrySettings;

/// @brief Owns the duties of an entry host and their rings, and starts and stops them in order.
///
/// @code
/// EntryDaemon daemon(settings);
/// if (const auto ports = daemon.start(); ports) { announce(*ports); }
/// @endcode
class EntryDaemon
{
public:
    /// @brief Ports on which the daemon listens.
    struct Ports {
        std::uint16_t m_callers = 0;
        std::uint16_t m_admin = 0;
    };

    explicit EntryDaemon(const EntrySettings &settings);
    ~EntryDaemon();
    EntryDaemon(const EntryDaemon &) = delete;
    EntryDaemon(EntryDaemon &&) = delete;
    auto operator=(const EntryDaemon &) -> EntryDaemon & = delete;
    auto operator=(EntryDaemon &&) -> EntryDaemon & = delete;

    /// @brief Starts the duties.
    /// @returns the ports, or ErrorCode::Unavailable if one cannot be opened
    [[nodiscard]] auto start() -> Result<Ports>;

    /// @brief Begins a graceful shutdown; may be called from any thread and repeatedly.
    auto beginDrain() -> void;

    /// @brief Descriptor that becomes readable when the drain begins.
    [[nodiscard]] auto drainBegunDescriptor() const noexcept -> int;

    /// @brief Descriptor that becomes readable once every request is answered and every connection is closed.
    [[nodiscard]] auto drainedDescriptor() const noexcept -> int;

private:
    Metrics m_metrics;
    EntryMetrics m_entryMetrics;
    EntryStatus m_status;
    EntryRings m_rings;
    WakeDescriptor m_drainBegun;
    WakeDescriptor m_drained;
    std::atomic<bool> m_draining{false};
    std::unique_ptr<RouterDuty> m_router;
    std::unique_ptr<TargetDuty> m_targets;
    std::unique_ptr<SchedulerLinkDuty> m_links;
    std::unique_ptr<PlatformDuty> m_platform;
    std::unique_ptr<CallerDuty> m_callers;
    std::unique_ptr<AdminDuty> m_admin;
};
}
