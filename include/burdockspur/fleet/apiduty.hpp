#pragma once

#include "burdockspur/core/eventloopduty.hpp"
#include "burdockspur/fleet/fleetrings.hpp"
#include "burdockspur/fleet/fleetsettings.hpp"
#include "burdockspur/fleet/refusals/retryadvice.hpp"
#include "burdockspur/link/httpserver.hpp"

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

class QObject;

namespace Burdockspur
{
class AdminServer;
class ClientGuard;
class FleetCodec;
class FleetMetrics;
class FleetPlatform;
class Metrics;

/// @brief Thread that serves the HTTP API of the callers, the readiness checks of the load balancer, and the metrics.
class ApiDuty final : public EventLoopDuty
{
public:
    /// @param settings settings of the host
    /// @param platform must outlive the duty
    /// @param rings must outlive the duty
    /// @param metrics must outlive the duty
    /// @param fleetMetrics must outlive the duty
    /// @param drained called in the duty's thread when the host may stop
    ApiDuty(const FleetSettings &settings,
            const FleetPlatform &platform,
            FleetRings &rings,
            Metrics &metrics,
            FleetMetrics &fleetMetrics,
            std::function<void()> drained);
    ~ApiDuty() override;

    /// @brief Waits until the ports are open; returns the error of a port that could not be opened. Call once.
    [[nodiscard]] auto awaitPorts() -> Result<void>;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    /// A request that is not answered yet.
    struct OpenCall {
        ExchangeId m_exchange;
        std::string_view m_kind;
        std::string m_job;
        TimePoint m_receivedAt;
        std::string m_path; ///< set when the job is not known
    };

    [[nodiscard]] auto listen() -> Result<void>;
    auto answerReadinessCheck(ExchangeId exchange) -> void;
    auto processInputs() -> void;
    auto on(ConfigurationConfirmed &&input) -> void;
    auto on(PendingCounts &&input) -> void;
    auto on(StoreReply &&input) -> void;
    auto on(StoreConditionChanged &&input) -> void;
    auto on(DrainStarted &&input) -> void;
    auto on(StoreDrained &&input) -> void;

    auto serve(ExchangeId exchange, const HttpRequest &request) -> void;
    auto servePending(ExchangeId exchange, const PendingCall &call, TimePoint receivedAt) -> void;
    auto forward(ExchangeId exchange, ApiCall &&call, TimePoint receivedAt) -> void;
    auto refuse(const OpenCall &call, const Error &error) -> void;
    auto answer(const OpenCall &call, HttpResponse &&response, std::string_view reason, int retryAfter = 0) -> void;
    /// @brief Ends the drain once the ownership is released and all connections of callers are closed; checks again until then.
    auto endWhenDrained() -> void;

    [[nodiscard]] auto hasFreshConfiguration(TimePoint now) const -> bool;
    [[nodiscard]] auto isReady(TimePoint now) const -> bool;
    [[nodiscard]] auto isStoreAnswering(TimePoint now) const -> bool;

    FleetSettings m_settings;
    const FleetPlatform &m_platform;
    FleetRings &m_rings;
    Metrics &m_metrics;
    FleetMetrics &m_fleetMetrics;
    std::function<void()> m_drained;
    std::promise<Result<void>> m_ports;
    std::unique_ptr<FleetCodec> m_codec;
    std::unique_ptr<QObject> m_timers; ///< parent of the timers; delayed calls are cancelled when it is destroyed
    std::shared_ptr<ClientGuard> m_clients; ///< what the clients of all ports may hold
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_readyServer;
    std::unique_ptr<AdminServer> m_admin;
    std::shared_ptr<const FleetConfiguration> m_configuration;
    TimePoint m_confirmedAt; ///< time at which the store last confirmed the configuration
    StoreReport m_store; ///< how the store answers this host
    RetryAdvice m_retryAdvice;
    PendingCounts m_pending;
    std::unordered_map<std::uint64_t, OpenCall> m_open; ///< requests forwarded to the store, by ticket
    std::uint64_t m_lastTicket = 0;
    bool m_wasReady = false; ///< answer to the last readiness check
    bool m_isDraining = false;
    bool m_isStoreDrained = false;
    std::vector<ApiInput> m_inputs;
};
}
