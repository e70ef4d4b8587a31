#pragma once

#include "standins/precisetimer.hpp"
#include "standins/workeraudit.hpp"
#include "standins/workerfaults.hpp"
#include "standins/workermodel.hpp"
#include "standins/workerspec.hpp"

#include "burdockspur/core/error.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/link/httpserver.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

class QObject;

namespace Burdockspur::Standins
{
/// @brief Serves one worker over HTTP and applies the faults of its network and process.
///
/// Must be used in the thread of an event loop. Faults do not affect the `/standin/` paths, as long as the port
/// is open.
class WorkerServer
{
public:
    /// @param spec name, capacity and limits
    /// @param seed of the random decisions of faults
    WorkerServer(WorkerSpec spec, std::uint64_t seed);
    ~WorkerServer();
    WorkerServer(const WorkerServer &) = delete;
    WorkerServer(WorkerServer &&) = delete;
    auto operator=(const WorkerServer &) -> WorkerServer & = delete;
    auto operator=(WorkerServer &&) -> WorkerServer & = delete;

    /// @brief Opens the port.
    /// @param address IP address
    /// @param port 0 picks a free port, which is kept after crashes
    /// @returns the port, or ErrorCode::Unavailable
    [[nodiscard]] auto listen(std::string_view address, std::uint16_t port) -> Result<std::uint16_t>;

    /// @brief Executes a `/standin/` call and returns its answer.
    [[nodiscard]] auto answerStandin(const HttpRequest &request) -> HttpResponse;

    [[nodiscard]] auto name() const noexcept -> std::string_view
    {
        return m_spec.m_name;
    }

    [[nodiscard]] auto port() const noexcept -> std::uint16_t
    {
        return m_port;
    }

private:
    /// @brief One call of the worker protocol.
    struct Call {
        ExchangeId m_exchange;
        const HttpRequest &m_request;
        std::span<const std::string> m_segments;
        TimePoint m_now;
    };

    struct Route;
    struct StandinRoute;
    struct Transition;

    struct HeldCall {
        ExchangeId m_exchange;
        HttpRequest m_request;
    };

    struct HeldAnswer {
        ExchangeId m_exchange;
        HttpResponse m_response;
    };

    struct WaitingCaller {
        ExchangeId m_exchange;
        std::string m_requestId;
        std::string m_path;
    };

    [[nodiscard]] auto answerLease(const Call &call) -> std::optional<HttpResponse>;
    [[nodiscard]] auto answerStart(const Call &call) -> std::optional<HttpResponse>;
    [[nodiscard]] auto answerStop(const Call &call) -> std::optional<HttpResponse>;
    [[nodiscard]] auto answerCheckpoint(const Call &call) -> std::optional<HttpResponse>;
    [[nodiscard]] auto answerThrottle(const Call &call) -> std::optional<HttpResponse>;
    [[nodiscard]] auto answerRequest(const Call &call) -> std::optional<HttpResponse>;
    [[nodiscard]] auto answerSettle(const Call &call) -> std::optional<HttpResponse>;

    [[nodiscard]] auto readFaults(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto switchFault(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto readCounts(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto readJournal(const HttpRequest &request) -> HttpResponse;

    auto applyPause() -> void;
    auto applySilence() -> void;
    auto applyCrash() -> void;
    auto applyConnectionRefusal() -> void;

    [[nodiscard]] auto now() const -> TimePoint;
    auto advance() -> TimePoint;
    auto handleRequest(ExchangeId exchange, HttpRequest &&request) -> void;
    auto serve(ExchangeId exchange, const HttpRequest &request) -> void;
    auto answerEnded() -> void;
    auto armTimer() -> void;
    auto send(ExchangeId exchange, std::string_view path, HttpResponse &&response, bool isDelayed) -> void;
    auto deliver(ExchangeId exchange, HttpResponse &&response) -> void;
    auto open() -> Result<std::uint16_t>;
    auto reopen() -> void;
    auto close() -> void;

    static const std::span<const Route> routes;
    static const std::span<const StandinRoute> standinRoutes;
    static const std::span<const Transition> transitions;

    WorkerSpec m_spec;
    WorkerFaults m_faults;
    WorkerAudit m_audit;
    RandomSource m_random;
    WorkerModel m_model;
    PreciseTimer m_timer;
    std::string m_incarnation; ///< changes with each start and restart of the worker
    std::string m_address;
    std::uint16_t m_port = 0;
    std::unique_ptr<QObject> m_lifetime; ///< context of timers that closing the port must not cancel
    std::unique_ptr<QObject> m_delayedAnswers; ///< context of delayed answers; replaced to cancel them when the port is closed
    std::unique_ptr<HttpServer> m_server; ///< null while the port is closed
    std::unordered_map<ExecutionId, std::vector<WaitingCaller>> m_waiting;
    std::vector<HeldCall> m_heldCalls; ///< received during a pause; limited by the number of connections
    std::vector<HeldAnswer> m_heldAnswers;
    std::uint64_t m_lastConnection = 0; ///< highest number of a connection that carried a request
    std::uint64_t m_silencedConnections = 0; ///< connections up to this number are not answered
    std::optional<TimePoint> m_pausedSince;
    Duration m_timePaused{0}; ///< how far the worker's clock is behind the real one because of pauses
    bool m_isClosing = false;
    bool m_isRestarting = false;
};
}
