#include "burdockspur/operations/adminserver.hpp"

#include "burdockspur/impl/jsonreader.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/operations/metrics.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
namespace
{
[[nodiscard]] auto errorAnswer(ErrorCode code, std::string_view message) -> HttpResponse
{
    return jsonResponse(httpStatus(code), jsonText(QJsonObject{{"code", jsonString(errorName(code))}, {"message", jsonString(message)}}));
}

[[nodiscard]] auto adminLimits(std::size_t maxConnections) -> HttpLimits
{
    HttpLimits limits;
    limits.m_maxConnections = maxConnections;
    limits.m_maxRejected = std::min(limits.m_maxRejected, maxConnections);
    limits.m_maxBodyBytes = 64UL * 1024UL;
    return limits;
}
}

AdminServer::AdminServer(const Metrics &metrics, StatusCallback status, DrainCallback drain, std::shared_ptr<ClientGuard> guard, std::size_t maxConnections)
    : m_metrics(&metrics)
    , m_status(std::move(status))
    , m_drain(std::move(drain))
    , m_server(
          adminLimits(maxConnections),
          [this](ExchangeId exchange, HttpRequest &&request) {
              m_server.respond(exchange, respond(request));
          },
          std::move(guard))
{
    struct Entry {
        std::string_view m_method;
        std::string_view m_path;
        HttpResponse (AdminServer::*m_handler)(const HttpRequest &);
    };
    constexpr std::array<Entry, 3> table{{
        {"GET", "/metrics", &AdminServer::showMetrics},
        {"GET", "/v1/status", &AdminServer::showStatus},
        {"POST", "/v1/drain", &AdminServer::beginDrain},
    }};
    for (const auto &entry : table) {
        addRoute(entry.m_method, entry.m_path, [this, handler = entry.m_handler](const HttpRequest &request) {
            return (this->*handler)(request);
        });
    }
}

auto AdminServer::addRoute(std::string_view method, std::string_view path, RouteHandler handler) -> void
{
    m_routes.push_back({std::string(method), std::string(path), std::move(handler)});
}

auto AdminServer::beforeMetrics(std::function<void()> refresh) -> void
{
    m_refresh = std::move(refresh);
}

auto AdminServer::listen(std::string_view address, std::uint16_t port) -> Result<std::uint16_t>
{
    return m_server.listen(address, port);
}

auto AdminServer::respond(const HttpRequest &request) -> HttpResponse
{
    std::string methods;
    for (const auto &route : m_routes) {
        if (route.m_path != request.path()) {
            continue;
        }
        if (route.m_method == request.m_method) {
            return route.m_handler(request);
        }
        methods.append(methods.empty() ? "" : ", ").append(route.m_method);
    }
    if (methods.empty()) {
        return errorAnswer(ErrorCode::UnknownRoute, "there is no " + std::string(request.path()));
    }
    auto response = errorAnswer(ErrorCode::MethodNotAllowed, "expected " + methods);
    response.m_fields.push_back({"Allow", std::move(methods)});
    return response;
}

auto AdminServer::showMetrics(const HttpRequest &) -> HttpResponse
{
    if (m_refresh) {
        m_refresh();
    }
    return {200, {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}}, m_metrics->text()};
}

auto AdminServer::showStatus(const HttpRequest &) -> HttpResponse
{
    return jsonResponse(200, m_status());
}

auto AdminServer::beginDrain(const HttpRequest &) -> HttpResponse
{
    if (!m_isDraining) {
        logEvent(LogLevel::Info, "drain_requested", {});
        m_isDraining = m_drain();
    }
    if (!m_isDraining) {
        return errorAnswer(ErrorCode::RingFull, "the drain could not begin; repeat the request");
    }
    return jsonResponse(202, R"({"state":"draining"})");
}
}
