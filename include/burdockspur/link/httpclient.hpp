#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httpmessage.hpp"
#include "burdockspur/link/machinememory.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Address of an HTTP server.
struct HttpEndpoint {
    std::string m_address; ///< numeric IP address
    std::uint16_t m_port = 0;

    [[nodiscard]] auto operator==(const HttpEndpoint &) const -> bool = default;
};

/// @brief Reason why a call has no response.
struct HttpFailure {
    Error m_error; ///< ConnectionClosed, Timeout, Overloaded, AnswerCorrupt, or BadRequest for a request that is not valid HTTP
    bool m_sent = false; ///< false when no byte of the request was sent; when true, the server may have received the request
    bool m_isOtherProcess = false; ///< the process at the endpoint is not the one that HttpPeer names; the request was not sent
};

/// @brief Result of a call: a response or a failure.
using HttpReply = std::expected<HttpResponse, HttpFailure>;

/// @brief Names the process that may receive a request.
///
/// An endpoint can belong to another process a moment later, e.g. after a restart. A connection cannot: it ends with the process that has
/// accepted it. So a request reaches only the intended process if that process has identified itself on the same connection before.
struct HttpPeer {
    /// @brief Reads the identity of the process from a successful response; nothing if it has none.
    using Identify = auto (*)(const HttpResponse &response) -> std::optional<std::uint64_t>;

    std::optional<std::uint64_t> m_process; ///< identity of the process; if not set, every process may receive the request
    std::function<HttpRequest()> m_makeProbe; ///< makes the request that a connection whose process is not known carries first; harmless to any
    Identify m_identify = nullptr; ///< applied to the response to the probe, and to the response to a request for every process
};

/// @brief Limits and timeouts of a client.
struct HttpClientLimits {
    std::size_t m_maxConnectionsPerEndpoint = 8;
    std::size_t m_maxQueuedPerEndpoint = 1024; ///< calls that wait for a connection
    std::uint64_t m_maxBodyBytes = std::uint64_t{8} * 1024 * 1024;
    std::size_t m_maxHeldBytes =
        MachineMemory().share(MachineMemory::answerPercent); ///< allocated for all incomplete responses; the call that exceeds it fails
    Milliseconds m_connectTimeout{1'000};
    Milliseconds m_idleTimeout{15'000}; ///< shorter than the server's, so that the server rarely closes an idle connection first
};

/// @brief HTTP/1.1 client on Qt's sockets; Boost.Beast parses the responses.
///
/// Lives in the thread of an EventLoopDuty. The client reuses connections, with one request in progress on
/// each. It never sends a request twice: a request whose connection breaks fails with HttpFailure::m_sent set.
/// After a timeout, the connection and the idle connections to the same endpoint are closed, because they may
/// have stopped responding as well. A response without Content-Length or chunked encoding fails with
/// AnswerCorrupt, because its end cannot be distinguished from a broken connection.
class HttpClient
{
public:
    /// @brief Receives the reply. It is called exactly once for each call and never from within call(). Calls that
    /// are open when the client is destroyed get no reply.
    using Callback = std::function<void(HttpReply &&)>;

    explicit HttpClient(const HttpClientLimits &limits);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient(HttpClient &&) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;
    auto operator=(HttpClient &&) -> HttpClient & = delete;

    /// @brief Sends a request; the client adds Host, Content-Length and Connection.
    /// @param endpoint the server
    /// @param request the request to send
    /// @param timeout covers waiting for a connection, connecting, sending and receiving
    /// @param callback receives the reply
    auto call(const HttpEndpoint &endpoint, HttpRequest &&request, Duration timeout, Callback callback) -> void;

    /// @brief Sends a request that only a certain process may receive.
    ///
    /// The probe and its response count towards the timeout. A response to the probe with another status than 200 is the reply to the call.
    /// @param endpoint the server
    /// @param request the request to send
    /// @param timeout covers waiting for a connection, connecting, identifying the process, sending and receiving
    /// @param callback receives the reply; HttpFailure::m_isOtherProcess if another process uses the endpoint
    /// @param peer the process, and how it identifies itself
    auto call(const HttpEndpoint &endpoint, HttpRequest &&request, Duration timeout, Callback callback, HttpPeer &&peer) -> void;

    /// @brief Sets a function that is called when a call fails because incomplete responses hold too much.
    auto onResponseLimited(std::function<void()> notify) -> void;

    /// @brief Number of calls without a reply.
    [[nodiscard]] auto openCalls() const noexcept -> std::size_t;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};
}
