#include "burdockspur/link/httpclient.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/impl/deadlinetimer.hpp"
#include "burdockspur/impl/httptext.hpp"
#include "burdockspur/impl/inputbuffer.hpp"
#include "burdockspur/impl/responseparser.hpp"
#include "burdockspur/impl/retiredsockets.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/operations/logthrottle.hpp"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QTcpSocket>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Burdockspur
{
namespace
{
/// Bytes that a socket may buffer before the parser consumes them.
constexpr std::size_t readAheadBytes = std::size_t{64} * 1024;

/// A response that has arrived in time is read even by a process that is late, but at most this long after the deadline of the call.
constexpr std::chrono::seconds maxReadDelay{5};

/// A response up to this size is received even if the incomplete ones hold too much.
constexpr std::size_t smallResponseBytes = std::size_t{128} * 1024;

/// Status of a response from which a process can be identified.
constexpr int okStatus = 200;

/// Prevents an overflow when a timeout is added to the current time.
constexpr std::chrono::hours maxTimeout{24};

struct EndpointHash {
    [[nodiscard]] auto operator()(const HttpEndpoint &endpoint) const noexcept -> std::size_t
    {
        return hashOf(endpoint.m_address, endpoint.m_port);
    }
};

struct Call {
    /// True if the request may be sent on a connection, or could be after a probe.
    [[nodiscard]] auto accepts(const std::optional<std::uint64_t> &process) const noexcept -> bool
    {
        return !m_peer || !m_peer->m_process || !process || *process == *m_peer->m_process;
    }

    QByteArray m_bytes;
    HttpClient::Callback m_callback;
    TimePoint m_deadline;
    std::optional<HttpPeer> m_peer;
    QByteArray m_probeBytes; ///< encoded probe of m_peer, unless the call got a connection that needs none
    bool m_isHead = false;
    bool m_sent = false; ///< at least one byte of the request was accepted by the kernel
};

struct Pool;

enum class ConnectionState : std::uint8_t {
    Connecting,
    Idle,
    Busy,
};

struct Connection : std::enable_shared_from_this<Connection> {
    Connection(Pool &pool, const HttpClientLimits &limits)
        : m_pool(pool)
        , m_parser(limits.m_maxBodyBytes)
    {
    }

    /// False once the server has closed an idle connection or sent bytes without a request. Peeks at the socket,
    /// because the event loop may not have processed the close yet.
    [[nodiscard]] auto isUsable() const -> bool
    {
        char byte = 0;
        const auto descriptor = static_cast<int>(m_socket->socketDescriptor());
        const auto count = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return m_socket->state() == QAbstractSocket::ConnectedState && m_socket->bytesAvailable() == 0 && count < 0
            && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    /// True if the kernel has received bytes that the event loop has not read yet, as in a process that was delayed.
    [[nodiscard]] auto hasUnreadInput() const -> bool
    {
        char byte = 0;
        return ::recv(static_cast<int>(m_socket->socketDescriptor()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }

    /// True if the kernel has established the connection, but the event loop has not processed that yet.
    [[nodiscard]] auto isEstablished() const -> bool
    {
        pollfd entry{static_cast<int>(m_socket->socketDescriptor()), POLLOUT, 0};
        return m_state == ConnectionState::Connecting && entry.fd >= 0 && ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
    }

    /// True if the call has no response, and none has arrived that the event loop has yet to read.
    [[nodiscard]] auto isUnansweredAt(TimePoint now) const -> bool
    {
        return m_call && m_call->m_deadline <= now && (m_call->m_deadline + maxReadDelay <= now || !hasUnreadInput());
    }

    Pool &m_pool;
    std::unique_ptr<QTcpSocket> m_socket; ///< null once the connection is closed
    ConnectionState m_state = ConnectionState::Connecting;
    TimePoint m_deadline = TimePoint::max(); ///< for connecting, or for closing an idle connection
    std::optional<Call> m_call; ///< set while busy
    ResponseParser m_parser;
    InputBuffer m_input;
    std::optional<std::uint64_t> m_process; ///< identity of the process that has accepted the connection, once it is known
    bool m_isProbing = false; ///< the probe of m_call was sent, the request was not
    bool m_hasCompletedCall = false; ///< an earlier call on this connection got its response
    std::size_t m_heldBytes = 0; ///< allocated for the incomplete response to m_call
    bool m_hasInput = false; ///< bytes of the response to m_call were received
};

using ConnectionPointer = std::shared_ptr<Connection>;

/// Connections to one endpoint, and the calls that wait for one.
struct Pool {
    [[nodiscard]] auto isEmpty() const noexcept -> bool
    {
        return m_connections.empty() && m_queue.empty();
    }

    HttpEndpoint m_endpoint;
    QHostAddress m_address;
    std::deque<Call> m_queue;
    std::vector<ConnectionPointer> m_connections;
    std::vector<Connection *> m_idle; ///< the most recently used is last
    std::size_t m_connecting = 0; ///< connections in state Connecting
};

/// @returns the bytes to send, or nothing for a request that is not exactly one valid message
[[nodiscard]] auto encodeRequest(const HttpEndpoint &endpoint, const HttpRequest &request) -> std::optional<QByteArray>
{
    const bool isSafeTarget = !request.m_target.empty() && isSafeValue(request.m_target) && request.m_target.find_first_of(" \t") == std::string::npos;
    if (!isToken(request.m_method) || !isSafeTarget) {
        return std::nullopt;
    }
    constexpr std::size_t headBytes = 512;
    std::string head;
    head.reserve(headBytes);
    head.append(request.m_method).append(" ").append(request.m_target).append(" HTTP/1.1\r\nHost: ");
    const bool isIpv6 = endpoint.m_address.contains(':');
    head.append(isIpv6 ? "[" : "").append(endpoint.m_address).append(isIpv6 ? "]:" : ":").append(std::to_string(endpoint.m_port));
    head.append("\r\nConnection: keep-alive\r\n");
    for (const auto &field : request.m_fields) {
        if (!isToken(field.m_name) || !isSafeValue(field.m_value)) {
            return std::nullopt;
        }
        if (!isFramingField(field.m_name)) {
            head.append(field.m_name).append(": ").append(field.m_value).append("\r\n");
        }
    }
    const bool mayOmitLength = request.m_body.empty() && (request.m_method == "GET" || request.m_method == "HEAD");
    if (!mayOmitLength) {
        head.append("Content-Length: ").append(std::to_string(request.m_body.size())).append("\r\n");
    }
    head.append("\r\n");
    QByteArray bytes;
    bytes.reserve(static_cast<qsizetype>(head.size()) + static_cast<qsizetype>(request.m_body.size()));
    bytes.append(head.data(), static_cast<qsizetype>(head.size()));
    bytes.append(request.m_body.data(), static_cast<qsizetype>(request.m_body.size()));
    return bytes;
}

auto logPool(LogLevel level, std::string_view event, const Pool &pool) -> void
{
    logEvent(level, event, {{"address", pool.m_endpoint.m_address}, {"port", pool.m_endpoint.m_port}, {"connections", pool.m_connections.size()}});
}

[[nodiscard]] auto callFailure(ErrorCode code, std::string message, bool sent) -> HttpReply
{
    return std::unexpected(HttpFailure{.m_error = {code, std::move(message)}, .m_sent = sent, .m_isOtherProcess = false});
}
}

class HttpClient::Private
{
public:
    explicit Private(const HttpClientLimits &limits)
        : m_limits(limits)
        , m_deadlineTimer([this](TimePoint now) {
            return processDeadlines(now);
        })
    {
    }

    auto call(const HttpEndpoint &endpoint, const HttpRequest &request, Duration timeout, Callback callback, std::optional<HttpPeer> &&peer) -> void
    {
        ++m_openCalls;
        ++m_deferDepth;
        Call call;
        call.m_callback = std::move(callback);
        call.m_peer = std::move(peer);
        call.m_deadline = Clock::now() + std::min<Duration>(timeout, maxTimeout);
        call.m_isHead = request.m_method == "HEAD";
        auto bytes = encodeRequest(endpoint, request);
        Pool &pool = poolFor(endpoint);
        if (!bytes) {
            deliver(std::move(call), callFailure(ErrorCode::BadRequest, "the request is not a valid HTTP message", false));
        } else if (timeout <= Duration::zero()) {
            deliver(std::move(call), callFailure(ErrorCode::Timeout, "no time left for the call", false));
        } else if (pool.m_address.isNull()) {
            deliver(std::move(call), callFailure(ErrorCode::ConnectionClosed, "not an IP address: " + endpoint.m_address, false));
        } else {
            call.m_bytes = std::move(*bytes);
            m_deadlineTimer.arm(call.m_deadline);
            assignConnection(pool, std::move(call));
        }
        --m_deferDepth;
    }

    [[nodiscard]] auto poolFor(const HttpEndpoint &endpoint) -> Pool &
    {
        auto &pool = m_pools[endpoint];
        if (!pool) {
            pool = std::make_unique<Pool>();
            pool->m_endpoint = endpoint;
            pool->m_address = QHostAddress(QString::fromStdString(endpoint.m_address));
        }
        return *pool;
    }

    auto assignConnection(Pool &pool, Call &&call) -> void
    {
        Connection *const idle = takeIdleConnection(pool, call);
        const bool needsProbe = call.m_peer && call.m_peer->m_process && (idle == nullptr || !idle->m_process);
        if (needsProbe && !encodeProbe(pool, call)) {
            if (idle != nullptr) {
                makeIdle(*idle);
            }
            deliver(std::move(call), callFailure(ErrorCode::BadRequest, "the probe is not a valid HTTP message", false));
            return;
        }
        if (idle != nullptr) {
            start(*idle, std::move(call));
            return;
        }
        const bool canOpen = pool.m_connections.size() < m_limits.m_maxConnectionsPerEndpoint;
        if (!canOpen && pool.m_queue.size() >= m_limits.m_maxQueuedPerEndpoint + pool.m_connecting) {
            deliver(std::move(call), callFailure(ErrorCode::Overloaded, "too many calls wait for a connection", false));
            return;
        }
        pool.m_queue.push_back(std::move(call));
        openConnections(pool);
    }

    /// @returns false if the probe is not a valid message
    [[nodiscard]] static auto encodeProbe(const Pool &pool, Call &call) -> bool
    {
        auto bytes = encodeRequest(pool.m_endpoint, call.m_peer->m_makeProbe());
        if (bytes) {
            call.m_probeBytes = std::move(*bytes);
        }
        return bytes.has_value();
    }

    /// @returns an idle connection that is still open and may carry the call, preferably one that needs no probe; nullptr if there is none
    [[nodiscard]] auto takeIdleConnection(Pool &pool, const Call &call) -> Connection *
    {
        while (!pool.m_idle.empty()) {
            const auto known = std::ranges::find_if(pool.m_idle.rbegin(), pool.m_idle.rend(), [](const Connection *connection) {
                return connection->m_process.has_value();
            });
            Connection *const connection = known == pool.m_idle.rend() ? pool.m_idle.back() : *known;
            if (call.accepts(connection->m_process) && connection->isUsable()) {
                std::erase(pool.m_idle, connection);
                return connection;
            }
            close(*connection);
        }
        return nullptr;
    }

    auto openConnections(Pool &pool) -> void
    {
        while (pool.m_connecting < pool.m_queue.size() && pool.m_connections.size() < m_limits.m_maxConnectionsPerEndpoint) {
            open(pool);
        }
    }

    auto open(Pool &pool) -> void
    {
        const auto connection = std::make_shared<Connection>(pool, m_limits);
        connection->m_socket = std::make_unique<QTcpSocket>();
        connection->m_deadline = Clock::now() + m_limits.m_connectTimeout;
        pool.m_connections.push_back(connection);
        ++pool.m_connecting;
        QTcpSocket *const socket = connection->m_socket.get();
        socket->setProxy(QNetworkProxy::NoProxy);
        socket->setReadBufferSize(readAheadBytes);
        // The signals of a socket are disconnected when its connection is closed, so the raw pointer stays valid.
        Connection *const raw = connection.get();
        QObject::connect(socket, &QTcpSocket::connected, &m_context, [this, raw] {
            handleConnected(*raw);
        });
        QObject::connect(socket, &QTcpSocket::readyRead, &m_context, [this, raw] {
            handleReadyRead(raw->shared_from_this());
        });
        QObject::connect(socket, &QTcpSocket::bytesWritten, &m_context, [raw] {
            if (raw->m_call && !raw->m_isProbing) {
                raw->m_call->m_sent = true;
            }
        });
        QObject::connect(socket, &QTcpSocket::disconnected, &m_context, [this, raw] {
            handleDisconnect(raw->shared_from_this());
        });
        QObject::connect(socket, &QTcpSocket::errorOccurred, &m_context, [this, raw] {
            handleDisconnect(raw->shared_from_this());
        });
        m_deadlineTimer.arm(connection->m_deadline);
        m_isInsideConnect = true;
        socket->connectToHost(pool.m_address, pool.m_endpoint.m_port);
        m_isInsideConnect = false;
    }

    auto handleConnected(Connection &connection) -> void
    {
        if (!connection.isUsable()) {
            // Opening another connection here would loop without a pause if the server closes each new connection.
            failConnect(connection, ErrorCode::ConnectionClosed, "closed before the request");
            return;
        }
        connection.m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        --connection.m_pool.m_connecting;
        makeIdle(connection);
        dispatchQueue(connection.m_pool);
    }

    auto makeIdle(Connection &connection) -> void
    {
        connection.m_state = ConnectionState::Idle;
        connection.m_deadline = Clock::now() + m_limits.m_idleTimeout;
        connection.m_pool.m_idle.push_back(&connection);
        m_deadlineTimer.arm(connection.m_deadline);
    }

    /// Starts queued calls on idle connections, and opens connections for the rest.
    auto dispatchQueue(Pool &pool) -> void
    {
        while (!pool.m_queue.empty()) {
            Connection *const idle = takeIdleConnection(pool, pool.m_queue.front());
            if (idle == nullptr) {
                openConnections(pool);
                return;
            }
            Call call = std::move(pool.m_queue.front());
            pool.m_queue.pop_front();
            start(*idle, std::move(call));
        }
    }

    auto start(Connection &connection, Call &&call) -> void
    {
        connection.m_state = ConnectionState::Busy;
        connection.m_deadline = TimePoint::max();
        connection.m_isProbing = call.m_peer && call.m_peer->m_process && !connection.m_process;
        connection.m_call = std::move(call);
        write(connection);
    }

    /// Sends the probe or the request of the call of a connection.
    auto write(Connection &connection) -> void
    {
        const ConnectionPointer self = connection.shared_from_this();
        connection.m_hasInput = false;
        connection.m_parser.restart(connection.m_call->m_isHead && !connection.m_isProbing);
        // The call and the socket share the bytes without a copy; the call keeps them, to be queued again if none is sent.
        connection.m_socket->write(connection.m_isProbing ? connection.m_call->m_probeBytes : connection.m_call->m_bytes);
        // Without flush(), Qt would send only in the next iteration of the event loop.
        connection.m_socket->flush();
    }

    auto handleReadyRead(const ConnectionPointer &connection) -> void
    {
        if (!connection->m_socket) {
            return;
        }
        if (connection->m_state != ConnectionState::Busy) {
            logPool(LogLevel::Warning, "http_unexpected_response", connection->m_pool);
            close(*connection);
            return;
        }
        while (connection->m_input.fill(*connection->m_socket, 2 * readAheadBytes) > 0) {
            connection->m_hasInput = true;
            const auto consumed = connection->m_parser.feed(connection->m_input.view());
            if (!consumed) {
                fail(connection, ErrorCode::AnswerCorrupt, consumed.error().m_message);
                return;
            }
            connection->m_input.consume(*consumed);
            if (connection->m_parser.isComplete()) {
                finish(connection);
                return;
            }
            if (noteHeld(*connection, connection->m_input.capacity() + connection->m_parser.heldBytes())) {
                logLimited(connection->m_pool);
                if (m_responseLimited) {
                    m_responseLimited();
                }
                fail(connection, ErrorCode::AnswerCorrupt, "incomplete responses hold too much memory");
                return;
            }
        }
    }

    /// Notes what the incomplete response of a connection holds.
    /// @returns true if it is beyond a small one and all together hold too much
    [[nodiscard]] auto noteHeld(Connection &connection, std::size_t bytes) -> bool
    {
        m_heldBytes += bytes - std::exchange(connection.m_heldBytes, bytes);
        return m_heldBytes > m_limits.m_maxHeldBytes && bytes > smallResponseBytes;
    }

    /// Writes at most one line a second.
    auto logLimited(const Pool &pool) -> void
    {
        if (const auto heldBack = m_throttle.admit(Clock::now())) {
            logEvent(LogLevel::Warning,
                     "answers_limited",
                     {{"address", pool.m_endpoint.m_address},
                      {"port", pool.m_endpoint.m_port},
                      {"held_bytes", m_heldBytes},
                      {"limit_bytes", m_limits.m_maxHeldBytes},
                      {"held_back", *heldBack}});
        }
    }

    auto finish(const ConnectionPointer &connection) -> void
    {
        (void)noteHeld(*connection, 0);
        QTcpSocket &socket = *connection->m_socket;
        const bool isReusable = connection->m_parser.keepsAlive() && connection->m_input.empty() && socket.bytesAvailable() == 0 && socket.bytesToWrite() == 0
            && socket.state() == QAbstractSocket::ConnectedState;
        HttpResponse response = connection->m_parser.take();
        connection->m_hasCompletedCall = true;
        const bool wasProbe = std::exchange(connection->m_isProbing, false);
        const auto &peer = connection->m_call->m_peer;
        if (peer && !connection->m_process && response.m_status == okStatus) {
            connection->m_process = peer->m_identify(response);
        }
        const bool isIntended = !wasProbe || connection->m_process == peer->m_process;
        if (wasProbe && isIntended && isReusable) {
            write(*connection);
            return;
        }
        Call call = std::move(*connection->m_call);
        connection->m_call.reset();
        if (isReusable) {
            makeIdle(*connection);
        } else {
            close(*connection);
        }
        dispatchQueue(connection->m_pool);
        if (wasProbe && response.m_status == okStatus) {
            deliver(std::move(call), probeFailure(*connection, isIntended));
        } else {
            deliver(std::move(call), std::move(response));
        }
    }

    /// Reply to a call whose probe was answered, but whose request was not sent.
    [[nodiscard]] static auto probeFailure(const Connection &connection, bool isIntended) -> HttpReply
    {
        if (isIntended) {
            return callFailure(ErrorCode::ConnectionClosed, "the connection closed after the process was identified", false);
        }
        if (!connection.m_process) {
            return callFailure(ErrorCode::AnswerCorrupt, "the process did not identify itself", false);
        }
        auto reply = callFailure(ErrorCode::ConnectionClosed, "another process uses the endpoint", false);
        reply.error().m_isOtherProcess = true;
        return reply;
    }

    /// Handles a connection that the server has closed or that could not be opened.
    auto handleDisconnect(const ConnectionPointer &connection) -> void
    {
        if (m_isInsideConnect) {
            // A connect that fails synchronously would open the next connection from here, recursively for each queued call.
            QMetaObject::invokeMethod(
                &m_context,
                [this, connection] {
                    handleDisconnect(connection);
                },
                Qt::QueuedConnection);
            return;
        }
        if (connection->m_socket && connection->m_state == ConnectionState::Busy) {
            // The end of the response may have been received together with the close.
            handleReadyRead(connection);
        }
        if (!connection->m_socket) {
            return;
        }
        if (connection->m_state == ConnectionState::Connecting) {
            failConnect(*connection, ErrorCode::ConnectionClosed, connection->m_socket->errorString().toStdString());
        } else if (connection->m_state == ConnectionState::Idle) {
            close(*connection);
        } else if (connection->m_hasCompletedCall && !connection->m_call->m_sent) {
            Pool &pool = connection->m_pool;
            pool.m_queue.push_front(std::move(*connection->m_call));
            connection->m_call.reset();
            close(*connection);
            dispatchQueue(pool);
        } else if (connection->m_hasInput) {
            fail(connection, ErrorCode::AnswerCorrupt, "the connection closed inside the response");
        } else {
            fail(connection, ErrorCode::ConnectionClosed, "the connection closed before the response");
        }
    }

    /// Closes a connection that could not be opened, and fails one queued call, so that the calls bound the number of attempts.
    auto failConnect(Connection &connection, ErrorCode code, std::string_view reason) -> void
    {
        Pool &pool = connection.m_pool;
        std::string message = "cannot connect to " + pool.m_endpoint.m_address + ":" + std::to_string(pool.m_endpoint.m_port) + ": ";
        message.append(reason);
        const ConnectionPointer self = connection.shared_from_this();
        close(connection);
        if (!pool.m_queue.empty()) {
            Call call = std::move(pool.m_queue.front());
            pool.m_queue.pop_front();
            dispatchQueue(pool);
            deliver(std::move(call), callFailure(code, std::move(message), false));
        }
    }

    /// Fails the call of a busy connection and closes the connection.
    auto fail(const ConnectionPointer &connection, ErrorCode code, std::string message) -> void
    {
        Pool &pool = connection->m_pool;
        Call call = std::move(*connection->m_call);
        connection->m_call.reset();
        close(*connection);
        dispatchQueue(pool);
        const bool sent = call.m_sent;
        deliver(std::move(call), callFailure(code, std::move(message), sent));
    }

    auto close(Connection &connection) -> void
    {
        if (!connection.m_socket) {
            return;
        }
        Pool &pool = connection.m_pool;
        (void)noteHeld(connection, 0);
        m_retired.retire(std::move(connection.m_socket));
        pool.m_connecting -= connection.m_state == ConnectionState::Connecting ? 1 : 0;
        std::erase(pool.m_idle, &connection);
        std::erase_if(pool.m_connections, [&connection](const ConnectionPointer &pooled) {
            return pooled.get() == &connection;
        });
    }

    auto deliver(Call &&call, HttpReply &&reply) -> void
    {
        if (m_deferDepth == 0) {
            --m_openCalls;
            call.m_callback(std::move(reply));
            return;
        }
        m_deferred.emplace_back(std::move(call.m_callback), std::move(reply));
        if (m_deferred.size() == 1) {
            QMetaObject::invokeMethod(
                &m_context,
                [this] {
                    deliverDeferred();
                },
                Qt::QueuedConnection);
        }
    }

    auto deliverDeferred() -> void
    {
        for (auto &[callback, reply] : std::exchange(m_deferred, {})) {
            --m_openCalls;
            callback(std::move(reply));
        }
    }

    [[nodiscard]] auto processDeadlines(TimePoint now) -> TimePoint
    {
        ++m_deferDepth;
        TimePoint next = TimePoint::max();
        for (const auto &[endpoint, pool] : m_pools) {
            expireQueuedCalls(*pool, now);
            expireConnections(*pool, now);
            dispatchQueue(*pool);
            next = std::min(next, nextDeadline(*pool));
        }
        std::erase_if(m_pools, [](const auto &entry) {
            return entry.second->isEmpty();
        });
        --m_deferDepth;
        return next;
    }

    auto expireQueuedCalls(Pool &pool, TimePoint now) -> void
    {
        const bool isConnected = std::ranges::any_of(pool.m_connections, [](const ConnectionPointer &connection) {
            return connection->m_socket && connection->isEstablished();
        });
        std::deque<Call> remaining;
        for (auto &call : std::exchange(pool.m_queue, {})) {
            if (call.m_deadline + (isConnected ? maxReadDelay : Duration::zero()) <= now) {
                deliver(std::move(call), callFailure(ErrorCode::Timeout, "no connection became free in time", false));
            } else {
                remaining.push_back(std::move(call));
            }
        }
        pool.m_queue = std::move(remaining);
    }

    auto expireConnections(Pool &pool, TimePoint now) -> void
    {
        const bool isSilent = std::ranges::any_of(pool.m_connections, [now](const ConnectionPointer &connection) {
            return connection->m_socket && connection->isUnansweredAt(now);
        });
        if (isSilent) {
            // Existing connections can stop responding together, while new ones still work.
            logPool(LogLevel::Info, "http_idle_connections_closed", pool);
            while (!pool.m_idle.empty()) {
                close(*pool.m_idle.back());
            }
        }
        // Iterates over a copy, because closing a connection changes the list.
        for (const auto &connection : std::vector(pool.m_connections)) {
            if (!connection->m_socket) {
                continue;
            }
            if (connection->isUnansweredAt(now)) {
                fail(connection, ErrorCode::Timeout, "no response in time");
            } else if (connection->m_deadline > now || connection->isEstablished()) {
                continue;
            } else if (connection->m_state == ConnectionState::Connecting) {
                failConnect(*connection, ErrorCode::Timeout, "no connection in time");
            } else {
                close(*connection);
            }
        }
    }

    [[nodiscard]] static auto nextDeadline(const Pool &pool) -> TimePoint
    {
        TimePoint next = TimePoint::max();
        for (const auto &call : pool.m_queue) {
            next = std::min(next, call.m_deadline);
        }
        for (const auto &connection : pool.m_connections) {
            next = std::min(next, connection->m_call ? connection->m_call->m_deadline : connection->m_deadline);
        }
        return next;
    }

    HttpClientLimits m_limits;
    RetiredSockets m_retired;
    std::unordered_map<HttpEndpoint, std::unique_ptr<Pool>, EndpointHash> m_pools;
    std::vector<std::pair<Callback, HttpReply>> m_deferred;
    std::size_t m_openCalls = 0;
    std::size_t m_heldBytes = 0; ///< allocated for incomplete responses
    LogThrottle m_throttle;
    std::function<void()> m_responseLimited;
    int m_deferDepth = 0; ///< above 0, callbacks are called in a later iteration of the event loop
    bool m_isInsideConnect = false; ///< true during connectToHost(), which may report an error synchronously
    QObject m_context;
    DeadlineTimer m_deadlineTimer;
};

HttpClient::HttpClient(const HttpClientLimits &limits)
    : m_d(std::make_unique<Private>(limits))
{
}

HttpClient::~HttpClient() = default;

auto HttpClient::call(const HttpEndpoint &endpoint, HttpRequest &&request, Duration timeout, Callback callback) -> void
{
    m_d->call(endpoint, request, timeout, std::move(callback), std::nullopt);
}

auto HttpClient::call(const HttpEndpoint &endpoint, HttpRequest &&request, Duration timeout, Callback callback, HttpPeer &&peer) -> void
{
    m_d->call(endpoint, request, timeout, std::move(callback), std::move(peer));
}

auto HttpClient::onResponseLimited(std::function<void()> notify) -> void
{
    m_d->m_responseLimited = std::move(notify);
}

auto HttpClient::openCalls() const noexcept -> std::size_t
{
    return m_d->m_openCalls;
}
}
