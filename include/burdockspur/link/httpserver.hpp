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
class ClientGuard;

/// @brief Identifies an unanswered request of a connection.
struct ExchangeId {
    std::uint64_t m_connection = 0;
    std::uint64_t m_sequence = 0;

    [[nodiscard]] auto operator==(const ExchangeId &) const noexcept -> bool = default;
};

/// @brief HTTP/1.1 server on Qt's sockets; Boost.Beast parses the requests.
///
/// Lives in the thread of an EventLoopDuty; all members must be called there. Responses may be passed at any
/// time and in any order; each connection sends them in the order of its requests. The server itself answers
/// malformed or oversized requests with a JSON error and a stable code. When clients hold too much memory, it closes connections or refuses
/// complete requests with 503 before the handler gets them. A full server accepts a new connection in place of one that waits for less (see
/// PortAdmission), and refuses it with 503 when all others are in use.
///
/// @code
/// HttpServer server(limits, [&](ExchangeId id, HttpRequest &&request) { server.respond(id, jsonResponse(200, "{}")); });
/// const auto port = server.listen("127.0.0.1", 0);
/// @endcode
class HttpServer
{
public:
    /// @brief Receives each complete request, which must be answered with respond(), now or later.
    using Handler = std::function<void(ExchangeId, HttpRequest &&)>;

    /// @param limits limits of each connection
    /// @param handler receives the requests
    /// @param guard budget that servers of one thread share; nullptr for one of its own with HttpLimits::m_maxHeldBytes
    HttpServer(const HttpLimits &limits, Handler handler, std::shared_ptr<ClientGuard> guard = nullptr);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer(HttpServer &&) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;
    auto operator=(HttpServer &&) -> HttpServer & = delete;

    /// @brief Starts to listen.
    /// @param address numeric IP address
    /// @param port 0 selects a free port
    /// @returns the port, or ErrorCode::Unavailable
    [[nodiscard]] auto listen(std::string_view address, std::uint16_t port) -> Result<std::uint16_t>;

    /// @brief Sends the response to a request.
    /// @returns false when the connection is closed or the request was answered before; the response is discarded
    auto respond(ExchangeId exchange, HttpResponse &&response) -> bool;

    /// @brief Closes the connection of a request at once; none of its unanswered requests gets a response.
    auto abort(ExchangeId exchange) -> void;

    /// @brief Stops accepting connections, and closes each open one after its pending responses (Connection: close);
    /// idle ones are closed after a grace period.
    auto beginDrain() -> void;

    /// @brief Number of unanswered requests.
    [[nodiscard]] auto openExchanges() const noexcept -> std::size_t;

    /// @brief Number of open connections, without those rejected at the limit.
    [[nodiscard]] auto openConnections() const noexcept -> std::size_t;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};
}
