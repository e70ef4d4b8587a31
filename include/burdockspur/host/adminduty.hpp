#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/core/eventloopduty.hpp"

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <string_view>

namespace Burdockspur
{
class AdminServer;
class EntryStatus;
class Metrics;

/// @brief Thread that serves the admin port: metrics, status and drain.
class AdminDuty final : public EventLoopDuty
{
public:
    /// @param address IP number to listen on
    /// @param port port to listen on; 0 picks a free one
    /// @param metrics served at /metrics; must outlive the duty
    /// @param status served as the status report; must outlive the duty
    /// @param drain begins a graceful shutdown; called in the thread of this duty
    AdminDuty(std::string_view address, std::uint16_t port, const Metrics &metrics, const EntryStatus &status, std::function<void()> drain);
    ~AdminDuty() override;

    /// @brief Waits for the port; call once, after start().
    /// @returns the port, or the error that kept the duty from listening
    [[nodiscard]] auto awaitPort() -> Result<std::uint16_t>;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    std::string m_address;
    std::uint16_t m_requestedPort;
    const Metrics &m_metrics;
    const EntryStatus &m_status;
    std::function<void()> m_drain;
    std::promise<Result<std::uint16_t>> m_port;
    std::unique_ptr<AdminServer> m_server;
};
}
