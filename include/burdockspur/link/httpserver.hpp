#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httplimits.hpp"
#include "burdockspur/link/httpmessage.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace Burdockspur
{
/// @brief Names one request of one connection until it is answered.
struct ExchangeId {
    std::uint64_t m_connection = 0;
    std::uint64_t m_sequence = 0;

    [[nodiscard]] auto operator==(const ExchangeId &) const noexcept -> bool = default;
};

/// @brief HTTP/1.1 server on Qt's sockets with Boost.Beast as codec.
///
/// Lives in the thread of an EventLoopDuty; every member is called there. Answers may be given at any
/// time and in any order; they leave in the order of the requests of their connection. Malformed or
/// oversized requests are answered by the server itself with a JSON error and a stable code.
///
/// @code
/// HttpServer server(limits, [&](ExchangeId id, HttpRequest &&request) { server.respond(id, jsonResponse(200, "{}")); });
/// const auto port = server.listen("127.0.0.1", 0);
/// @endcode
class HttpServer
{
public:
    /// @brief Takes a complete request; must answer later or at once with respond().
    using Handler = std::function<void(ExchangeId, HttpRequest &&)>;

    HttpServer(const HttpLimits &limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer(HttpServer &&) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;
    auto operator=(HttpServer &&) -> HttpServer & = delete;

    /// @brief Starts to listen.
    /// @param address IP number
    /// @param port 0 picks a free one
    /// @returns the port, or ErrorCode::Unavailable
    [[nodiscard]] auto listen(std::string_view address, std::uint16_t port) -> Result<std::uint16_t>;

    /// @brief Sends the answer to a request.
    /// @returns false when the caller has left meanwhile; the answer is discarded
    auto respond(ExchangeId exchange, HttpResponse &&response) -> bool;

    /// @brief Closes the connection of a request without an answer; its other requests get none either.
    auto abort(ExchangeId exchange) -> void;

    /// @brief Accepts no new connections, and closes each kept one after its answers (Connection: close).
    auto beginDrain() -> void;

    /// @brief Number of requests without an answer.
    [[nodiscard]] auto openExchanges() const noexcept -> std::size_t;

    /// @brief Number of open connections.
    [[nodiscard]] auto openConnections() const noexcept -> std::size_t;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};
}
