#pragma once

#include "burdockspur/link/httpclient.hpp"
#include "burdockspur/link/httpserver.hpp"

#include "linktesting.hpp"

#include <QTimer>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Burdockspur
{
/// @brief An HTTP server and a client in one event loop, for tests of classes that use HttpClient.
class HttpStub
{
public:
    /// @brief Answers a request; returning no response closes the connection without an answer.
    using Responder = std::function<std::optional<HttpResponse>(const HttpRequest &)>;

    HttpStub()
    {
        Testing::requireApplication();
        m_client = std::make_unique<HttpClient>(HttpClientLimits{});
        openServer();
    }

    [[nodiscard]] auto client() -> HttpClient &
    {
        return *m_client;
    }

    [[nodiscard]] auto endpoint() const -> HttpEndpoint
    {
        return {"127.0.0.1", m_port};
    }

    /// @brief Every request received so far.
    [[nodiscard]] auto requests() const -> const std::vector<HttpRequest> &
    {
        return m_requests;
    }

    auto respondWith(Responder responder) -> void
    {
        m_responder = std::move(responder);
    }

    auto respondWith(int status, std::string_view body) -> void
    {
        m_responder = [status, body = std::string(body)](const HttpRequest &) {
            return jsonResponse(status, body);
        };
    }

    /// @brief Closes the server, so that the client cannot send a request.
    auto closeServer() -> void
    {
        m_server.reset();
    }

    /// @brief Starts a call and runs the event loop until its callback has run.
    /// @param start starts the call with the given callback
    template<typename Value>
    static auto await(const std::function<void(std::function<void(Value &&)>)> &start) -> Value
    {
        std::optional<Value> value;
        start([&value](Value &&received) {
            value.emplace(std::move(received));
        });
        Testing::waitUntil([&value] {
            return value.has_value();
        });
        return std::move(*value);
    }

private:
    auto openServer() -> void
    {
        m_server = std::make_unique<HttpServer>(HttpLimits{}, [this](ExchangeId exchange, HttpRequest &&request) {
            answer(exchange, std::move(request));
        });
        m_port = m_server->listen("127.0.0.1", 0).value();
    }

    auto answer(ExchangeId exchange, HttpRequest &&request) -> void
    {
        m_requests.push_back(std::move(request));
        auto response = m_responder(m_requests.back());
        if (response) {
            m_server->respond(exchange, std::move(*response));
            return;
        }
        // The server must not be destroyed from within its own handler.
        QTimer::singleShot(0, [this] {
            m_server.reset();
        });
    }

    std::vector<HttpRequest> m_requests;
    Responder m_responder;
    std::uint16_t m_port = 0;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpClient> m_client;
};
}
