#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httpserver.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
class ClientGuard;
class Metrics;

/// @brief Serves the admin port of a daemon: `GET /metrics`, `GET /v1/status`, `POST /v1/drain`.
///
/// Belongs to the thread of an EventLoopDuty. The callbacks run in that thread, so they may use only data that is safe
/// to access from it, e.g. a ring or a status text protected by a mutex.
///
/// @code
/// AdminServer admin(metrics, [&] { return status.text(); }, [&] { return drainRing.tryPush(Drain{}); });
/// admin.addRoute("GET", "/v1/queue", [&](const HttpRequest &) { return jsonResponse(200, queue.text()); });
/// const auto port = admin.listen(settings.m_adminAddress, settings.m_adminPort);
/// @endcode
class AdminServer
{
public:
    using StatusCallback = std::function<std::string()>; ///< returns JSON text
    using DrainCallback = std::function<bool()>; ///< returns false when the drain could not begin
    using RouteHandler = std::function<HttpResponse(const HttpRequest &)>;

    /// The admin port serves only a few scrapers and operators.
    static constexpr std::size_t defaultMaxConnections = 32;

    /// @param metrics metrics to serve; must outlive the server
    /// @param status returns the body of `GET /v1/status`
    /// @param drain begins a graceful shutdown; called for each `POST /v1/drain` until it returns true
    /// @param guard budget shared with other servers of the thread; nullptr for one of its own
    /// @param maxConnections maximum number of open connections
    AdminServer(const Metrics &metrics,
                StatusCallback status,
                DrainCallback drain,
                std::shared_ptr<ClientGuard> guard = nullptr,
                std::size_t maxConnections = defaultMaxConnections);

    /// @brief Calls a function before each answer with metrics, to set those that are not kept up to date.
    auto beforeMetrics(std::function<void()> refresh) -> void;

    /// @brief Adds a route with an exact path.
    auto addRoute(std::string_view method, std::string_view path, RouteHandler handler) -> void;

    /// @brief Starts listening; port 0 picks a free port.
    /// @returns the port in use, or ErrorCode::Unavailable
    [[nodiscard]] auto listen(std::string_view address, std::uint16_t port) -> Result<std::uint16_t>;

private:
    struct Route {
        std::string m_method;
        std::string m_path;
        RouteHandler m_handler;
    };

    [[nodiscard]] auto respond(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto showMetrics(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto showStatus(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto beginDrain(const HttpRequest &request) -> HttpResponse;

    const Metrics *m_metrics;
    StatusCallback m_status;
    DrainCallback m_drain;
    std::function<void()> m_refresh;
    bool m_isDraining = false;
    std::vector<Route> m_routes;
    HttpServer m_server;
};
}
