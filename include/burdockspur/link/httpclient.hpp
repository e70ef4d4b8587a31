#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httpmessage.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Address of an HTTP server.
struct HttpEndpoint {
    std::string m_address; ///< IP number
    std::uint16_t m_port = 0;

    [[nodiscard]] auto operator==(const HttpEndpoint &) const -> bool = default;
};

/// @brief Why a call has no response.
struct HttpFailure {
    Error m_error; ///< ConnectionClosed, Timeout, Overloaded, AnswerCorrupt, or BadRequest for a request that is not valid HTTP
    bool m_sent = false; ///< false: not a single byte of the request left; true: the server may have seen it
};

/// @brief Response or failure of a call.
using HttpReply = std::expected<HttpResponse, HttpFailure>;

/// @brief Bounds of a client.
struct HttpClientLimits {
    std::size_t m_maxConnectionsPerEndpoint = 8;
    std::size_t m_maxQueuedPerEndpoint = 1024; ///< calls that wait for a connection
    std::uint64_t m_maxBodyBytes = std::uint64_t{8} * 1024 * 1024;
    Milliseconds m_connectTimeout{1'000};
    Milliseconds m_idleTimeout{15'000}; ///< shorter than the server's, so that a kept connection is rarely stale
};

/// @brief HTTP/1.1 client on Qt's sockets with Boost.Beast as codec.
///
/// Lives in the thread of an EventLoopDuty. It keeps connections, has one request in progress on each,
/// and never sends a request twice: a request whose connection breaks fails with m_sent set. After a
/// timeout the connection and the endpoint's idle connections are closed, because they may be silent too.
/// A response without Content-Length or chunks is AnswerCorrupt: its end cannot be told from a broken
/// connection.
class HttpClient
{
public:
    /// @brief Takes the reply; called exactly once for each call, never from within call(). Calls that are open
    /// when the client is destroyed get no reply.
    using Callback = std::function<void(HttpReply &&)>;

    explicit HttpClient(const HttpClientLimits &limits);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient(HttpClient &&) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;
    auto operator=(HttpClient &&) -> HttpClient & = delete;

    /// @brief Sends a request; Host, Content-Length and Connection are added.
    /// @param endpoint the server
    /// @param request what to send
    /// @param timeout over waiting, connecting, sending and receiving
    /// @param callback takes the reply
    auto call(const HttpEndpoint &endpoint, HttpRequest &&request, Duration timeout, Callback callback) -> void;

    /// @brief Number of calls without a reply.
    [[nodiscard]] auto openCalls() const noexcept -> std::size_t;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};
}
