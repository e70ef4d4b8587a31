#include "burdockspur/link/httpserver.hpp"

#include "burdockspur/core/invariant.hpp"
#include "burdockspur/impl/deadlinetimer.hpp"
#include "burdockspur/impl/httptext.hpp"
#include "burdockspur/impl/inputbuffer.hpp"
#include "burdockspur/impl/listener.hpp"
#include "burdockspur/impl/requestparser.hpp"
#include "burdockspur/impl/retiredsockets.hpp"
#include "burdockspur/operations/log.hpp"

#include <QHostAddress>
#include <QTcpSocket>

#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Burdockspur
{
namespace
{
/// Bytes that a connection reads ahead of its parser.
constexpr std::size_t readAheadBytes = std::size_t{64} * 1024;

/// Reading pauses while more bytes than this wait for a slow reader.
constexpr qint64 writeBacklogBytes = qint64{256} * 1024;

/// Time for a caller to read an answer after which the server closes; an immediate close would discard it.
constexpr Milliseconds lingerTime{1'000};

/// Time in which a draining server still takes a request that was on its way on a kept connection.
constexpr Milliseconds drainGrace{1'000};

/// Pause after a failed accept, e.g. when descriptors are exhausted.
constexpr Milliseconds acceptRetry{1'000};

/// Connections beyond the limit that get an answer at the same time; further ones are closed at once.
constexpr std::size_t maxRejectedConnections = 64;

constexpr int listenBacklog = 1024;

[[nodiscard]] auto errorResponse(int status, std::string_view code, std::string_view message) -> HttpResponse
{
    std::string body = R"({"code":)" + jsonQuoted(code);
    body.append(R"(,"message":)").append(jsonQuoted(message)).append(R"(,"outcome":"refused"})");
    return jsonResponse(status, std::move(body));
}

/// Place of one request in the order of answers.
struct Slot {
    std::optional<HttpResponse> m_response;
    bool m_isHead = false;
    bool m_isVersion10 = false;
    bool m_closes = false; ///< the connection ends with this answer
};

struct Connection {
    Connection(std::uint64_t id, const HttpLimits &limits)
        : m_id(id)
        , m_parser(limits.m_maxHeaderBytes, limits.m_maxBodyBytes)
    {
    }

    [[nodiscard]] auto isInsideRequest() const noexcept -> bool
    {
        return m_parser.isStarted() || !m_input.empty();
    }

    [[nodiscard]] auto deadline() const noexcept -> TimePoint
    {
        return std::min({m_requestDeadline, m_idleDeadline, m_writeDeadline, m_lingerDeadline});
    }

    std::uint64_t m_id;
    std::unique_ptr<QTcpSocket> m_socket; ///< null once closed
    RequestParser m_parser;
    InputBuffer m_input;
    std::deque<Slot> m_slots;
    std::uint64_t m_firstSequence = 1; ///< of the front slot
    std::uint64_t m_bytesQueued = 0; ///< written to the socket since it was opened
    std::uint64_t m_writeMark = 0; ///< value of m_bytesQueued that has to leave by m_writeDeadline
    TimePoint m_requestDeadline = TimePoint::max();
    TimePoint m_idleDeadline = TimePoint::max();
    TimePoint m_writeDeadline = TimePoint::max();
    TimePoint m_lingerDeadline = TimePoint::max();
    bool m_isProcessing = false;
    bool m_isResumeQueued = false;
    bool m_isInputClosed = false; ///< no further request is read
    bool m_closesAfterWrite = false;
    bool m_isRejected = false;
    bool m_needsContinue = false;
    bool m_continueSent = false;
};

using ConnectionPointer = std::shared_ptr<Connection>;
}

class HttpServer::Private
{
public:
    Private(const HttpLimits &limits, Handler handler)
        : m_limits(limits)
        , m_handler(std::move(handler))
        , m_sweep([this](TimePoint now) {
            return sweep(now);
        })
        , m_listener([this](std::unique_ptr<QTcpSocket> socket) {
            accept(std::move(socket));
        })
    {
        m_listener.setListenBacklogSize(listenBacklog);
        QObject::connect(&m_listener, &QTcpServer::acceptError, &m_context, [this] {
            logEvent(LogLevel::Error, "http_accept_failed", {{"message", m_listener.errorString().toStdString()}});
            m_acceptRetryAt = Clock::now() + acceptRetry;
            m_sweep.arm(m_acceptRetryAt);
        });
    }

    auto accept(std::unique_ptr<QTcpSocket> socket) -> void
    {
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        socket->setReadBufferSize(readAheadBytes);
        const auto connection = std::make_shared<Connection>(m_nextConnection++, m_limits);
        connection->m_socket = std::move(socket);
        const bool isRejected = m_connections.size() - m_rejected >= m_limits.m_maxConnections;
        if (isRejected) {
            reject(connection);
            return;
        }
        m_wasOverloaded = false;
        watch(connection);
        updateDeadlines(*connection);
    }

    auto watch(const ConnectionPointer &connection) -> void
    {
        auto *const socket = connection->m_socket.get();
        const std::uint64_t id = connection->m_id;
        m_connections.emplace(id, connection);
        QObject::connect(socket, &QTcpSocket::readyRead, &m_context, [this, id] {
            withConnection(id, &Private::process);
        });
        QObject::connect(socket, &QTcpSocket::bytesWritten, &m_context, [this, id] {
            withConnection(id, &Private::bytesLeft);
        });
        QObject::connect(socket, &QTcpSocket::disconnected, &m_context, [this, id] {
            withConnection(id, &Private::close);
        });
        QObject::connect(socket, &QTcpSocket::errorOccurred, &m_context, [this, id] {
            withConnection(id, &Private::close);
        });
    }

    auto withConnection(std::uint64_t id, auto (Private::*action)(const ConnectionPointer &)->void) -> void
    {
        if (const auto found = m_connections.find(id); found != m_connections.end()) {
            // The copy keeps the connection alive when the action closes it.
            const ConnectionPointer connection = found->second;
            (this->*action)(connection);
        }
    }

    auto reject(const ConnectionPointer &connection) -> void
    {
        if (!m_wasOverloaded) {
            m_wasOverloaded = true;
            logEvent(LogLevel::Warning, "http_connections_exhausted", {{"limit", m_limits.m_maxConnections}});
        }
        const bool lingers = m_rejected < maxRejectedConnections;
        if (lingers) {
            connection->m_isRejected = true;
            ++m_rejected;
            watch(connection);
        }
        appendError(*connection, httpStatus(ErrorCode::Overloaded), errorName(ErrorCode::Overloaded), "too many connections");
        writeAnswers(connection);
        if (!lingers) {
            m_retired.retire(std::move(connection->m_socket));
        }
    }

    /// Parses what has arrived, as long as the connection may have further requests in progress.
    auto process(const ConnectionPointer &connection) -> void
    {
        if (connection->m_isProcessing || !connection->m_socket) {
            return;
        }
        if (connection->m_isInputClosed) {
            connection->m_input.clear();
            connection->m_socket->skip(connection->m_socket->bytesAvailable());
            return;
        }
        connection->m_isProcessing = true;
        while (connection->m_socket && mayRead(*connection) && parseNext(connection)) {}
        connection->m_isProcessing = false;
        if (connection->m_socket) {
            writeAnswers(connection);
        }
    }

    [[nodiscard]] auto mayRead(const Connection &connection) const -> bool
    {
        return !connection.m_isInputClosed && connection.m_slots.size() < m_limits.m_maxPipelined && connection.m_socket->bytesToWrite() <= writeBacklogBytes;
    }

    /// @returns false when more bytes are needed
    auto parseNext(const ConnectionPointer &connection) -> bool
    {
        if (connection->m_input.empty() && connection->m_input.fill(*connection->m_socket, readAheadBytes) == 0) {
            return false;
        }
        auto consumed = connection->m_parser.feed(connection->m_input.view());
        if (!consumed) {
            const Error &error = consumed.error();
            appendError(*connection, httpStatus(error.m_code), errorName(error.m_code), error.m_message);
            return false;
        }
        connection->m_input.consume(*consumed);
        if (connection->m_parser.isComplete()) {
            dispatch(connection);
            return true;
        }
        connection->m_needsContinue = !connection->m_continueSent && connection->m_parser.expectsContinue();
        return connection->m_input.fill(*connection->m_socket, m_limits.m_maxHeaderBytes + readAheadBytes) > 0;
    }

    auto dispatch(const ConnectionPointer &connection) -> void
    {
        Slot slot;
        slot.m_isVersion10 = connection->m_parser.isVersion10();
        slot.m_closes = m_isDraining || !connection->m_parser.keepsAlive();
        HttpRequest request = connection->m_parser.take();
        slot.m_isHead = request.m_method == "HEAD";
        connection->m_isInputClosed = slot.m_closes;
        connection->m_needsContinue = false;
        connection->m_continueSent = false;
        connection->m_requestDeadline = TimePoint::max();
        const ExchangeId exchange{connection->m_id, connection->m_firstSequence + connection->m_slots.size()};
        connection->m_slots.push_back(std::move(slot));
        ++m_openExchanges;
        m_handler(exchange, std::move(request));
    }

    auto appendError(Connection &connection, int status, std::string_view code, std::string_view message) -> void
    {
        logEvent(LogLevel::Debug, "http_request_rejected", {{"connection", connection.m_id}, {"code", code}, {"message", message}});
        Slot slot;
        slot.m_response = errorResponse(status, code, message);
        slot.m_closes = true;
        connection.m_slots.push_back(std::move(slot));
        connection.m_isInputClosed = true;
        connection.m_needsContinue = false;
        connection.m_input.clear();
    }

    auto respond(ExchangeId exchange, HttpResponse &&response) -> bool
    {
        const auto found = m_connections.find(exchange.m_connection);
        if (found == m_connections.end()) {
            return false;
        }
        const ConnectionPointer connection = found->second;
        const std::uint64_t index = exchange.m_sequence - connection->m_firstSequence;
        if (exchange.m_sequence < connection->m_firstSequence || index >= connection->m_slots.size() || connection->m_slots[index].m_response) {
            return false;
        }
        connection->m_slots[index].m_response = std::move(response);
        --m_openExchanges;
        if (!connection->m_isProcessing) {
            writeAnswers(connection);
        }
        // A write may find that the caller has left.
        return connection->m_socket != nullptr;
    }

    /// Writes the answers that are next in order.
    auto writeAnswers(const ConnectionPointer &connection) -> void
    {
        const bool wasPaused = !mayRead(*connection);
        const bool hasProcessing = std::exchange(connection->m_isProcessing, true);
        bool hasWritten = false;
        while (!connection->m_slots.empty() && connection->m_slots.front().m_response && !connection->m_closesAfterWrite) {
            if (m_isDraining && connection->m_slots.size() == 1 && !connection->isInsideRequest()) {
                connection->m_slots.front().m_closes = true;
            }
            const Slot slot = std::move(connection->m_slots.front());
            connection->m_slots.pop_front();
            ++connection->m_firstSequence;
            connection->m_closesAfterWrite = slot.m_closes;
            connection->m_isInputClosed = connection->m_isInputClosed || slot.m_closes;
            write(*connection, encode(slot));
            hasWritten = true;
        }
        if (connection->m_needsContinue && connection->m_slots.empty()) {
            connection->m_needsContinue = false;
            connection->m_continueSent = true;
            write(*connection, QByteArrayLiteral("HTTP/1.1 100 Continue\r\n\r\n"));
            hasWritten = true;
        }
        if (hasWritten) {
            // Without it, Qt would send in the next pass of the event loop.
            connection->m_socket->flush();
        }
        connection->m_isProcessing = hasProcessing;
        if (!connection->m_socket) {
            return;
        }
        finishWriting(*connection);
        updateDeadlines(*connection);
        if (wasPaused) {
            resumeLater(connection);
        }
    }

    auto write(Connection &connection, const QByteArray &bytes) -> void
    {
        connection.m_bytesQueued += static_cast<std::uint64_t>(bytes.size());
        connection.m_socket->write(bytes);
    }

    [[nodiscard]] static auto encode(const Slot &slot) -> QByteArray
    {
        const HttpResponse &response = *slot.m_response;
        constexpr int noContent = 204;
        constexpr int notModified = 304;
        const bool hasBody = response.m_status != noContent && response.m_status != notModified;
        constexpr std::size_t headBytes = 256;
        std::string head;
        head.reserve(headBytes);
        head.append("HTTP/1.1 ").append(std::to_string(response.m_status)).append(" ").append(reasonPhrase(response.m_status)).append("\r\n");
        for (const auto &field : response.m_fields) {
            if (!isToken(field.m_name) || !isSafeValue(field.m_value)) {
                logEvent(LogLevel::Error, "http_field_dropped", {{"name", field.m_name}, {"reason", "control character"}});
            } else if (!isFramingField(field.m_name)) {
                head.append(field.m_name).append(": ").append(field.m_value).append("\r\n");
            }
        }
        if (hasBody) {
            head.append("Content-Length: ").append(std::to_string(response.m_body.size())).append("\r\n");
        }
        if (slot.m_closes) {
            head.append("Connection: close\r\n");
        } else if (slot.m_isVersion10) {
            head.append("Connection: keep-alive\r\n");
        }
        head.append("\r\n");
        const bool writesBody = hasBody && !slot.m_isHead;
        QByteArray bytes;
        bytes.reserve(static_cast<qsizetype>(head.size()) + (writesBody ? static_cast<qsizetype>(response.m_body.size()) : 0));
        bytes.append(head.data(), static_cast<qsizetype>(head.size()));
        if (writesBody) {
            bytes.append(response.m_body.data(), static_cast<qsizetype>(response.m_body.size()));
        }
        return bytes;
    }

    auto bytesLeft(const ConnectionPointer &connection) -> void
    {
        if (connection->m_isProcessing || !connection->m_socket) {
            return;
        }
        finishWriting(*connection);
        updateDeadlines(*connection);
        if (mayRead(*connection)) {
            resumeLater(connection);
        }
    }

    /// Once the last answer has left, tells the caller that no more follows and waits for it to close.
    static auto finishWriting(Connection &connection) -> void
    {
        if (connection.m_closesAfterWrite && connection.m_socket->bytesToWrite() == 0 && connection.m_lingerDeadline == TimePoint::max()) {
            connection.m_lingerDeadline = Clock::now() + lingerTime;
            ::shutdown(static_cast<int>(connection.m_socket->socketDescriptor()), SHUT_WR);
            connection.m_socket->skip(connection.m_socket->bytesAvailable());
        }
    }

    /// Continues to parse bytes that were left while the connection was paused; no new bytes may arrive for them.
    auto resumeLater(const ConnectionPointer &connection) -> void
    {
        const bool hasBytes = !connection->m_input.empty() || connection->m_socket->bytesAvailable() > 0;
        if (connection->m_isResumeQueued || !hasBytes) {
            return;
        }
        connection->m_isResumeQueued = true;
        QMetaObject::invokeMethod(
            &m_context,
            [this, id = connection->m_id] {
                withConnection(id, &Private::resume);
            },
            Qt::QueuedConnection);
    }

    auto resume(const ConnectionPointer &connection) -> void
    {
        connection->m_isResumeQueued = false;
        process(connection);
    }

    auto updateDeadlines(Connection &connection) -> void
    {
        const bool isWaiting = connection.isInsideRequest();
        const bool waitsForCaller = isWaiting && mayRead(connection) && !connection.m_needsContinue;
        startOrStop(connection.m_requestDeadline, waitsForCaller, m_limits.m_requestTimeout);
        const bool isIdle = !isWaiting && connection.m_slots.empty() && !connection.m_isInputClosed;
        startOrStop(connection.m_idleDeadline, isIdle, m_isDraining ? std::min(drainGrace, m_limits.m_idleTimeout) : m_limits.m_idleTimeout);
        const std::uint64_t bytesSent = connection.m_bytesQueued - static_cast<std::uint64_t>(connection.m_socket->bytesToWrite());
        if (bytesSent >= connection.m_writeMark) {
            connection.m_writeMark = connection.m_bytesQueued;
            connection.m_writeDeadline = TimePoint::max();
        }
        startOrStop(connection.m_writeDeadline, connection.m_socket->bytesToWrite() > 0, m_limits.m_writeTimeout);
        m_sweep.arm(connection.deadline());
    }

    static auto startOrStop(TimePoint &deadline, bool runs, Milliseconds period) -> void
    {
        if (!runs) {
            deadline = TimePoint::max();
        } else if (deadline == TimePoint::max()) {
            deadline = Clock::now() + period;
        }
    }

    [[nodiscard]] auto sweep(TimePoint now) -> TimePoint
    {
        std::vector<ConnectionPointer> expired;
        for (const auto &[id, connection] : m_connections) {
            if (connection->deadline() <= now) {
                expired.push_back(connection);
            }
        }
        for (const auto &connection : expired) {
            expire(connection, now);
        }
        if (m_acceptRetryAt <= now) {
            m_acceptRetryAt = TimePoint::max();
            m_listener.resumeAccepting();
        }
        TimePoint next = m_acceptRetryAt;
        for (const auto &[id, connection] : m_connections) {
            next = std::min(next, connection->deadline());
        }
        return next;
    }

    auto expire(const ConnectionPointer &connection, TimePoint now) -> void
    {
        if (!connection->m_socket) {
            return;
        }
        if (connection->m_requestDeadline <= now) {
            connection->m_requestDeadline = TimePoint::max();
            constexpr int requestTimeoutStatus = 408;
            appendError(*connection, requestTimeoutStatus, errorName(ErrorCode::Timeout), "the request did not arrive in time");
            writeAnswers(connection);
            return;
        }
        if (connection->m_writeDeadline <= now) {
            logEvent(LogLevel::Info, "http_slow_reader_closed", {{"connection", connection->m_id}, {"unread_bytes", connection->m_socket->bytesToWrite()}});
        } else if (connection->m_idleDeadline <= now) {
            requireInvariant(connection->m_slots.empty(), "idle_connection_has_no_request", {});
        }
        close(connection);
    }

    auto close(const ConnectionPointer &connection) -> void
    {
        if (!connection->m_socket) {
            return;
        }
        m_retired.retire(std::move(connection->m_socket));
        m_openExchanges -= static_cast<std::size_t>(std::ranges::count_if(connection->m_slots, [](const Slot &slot) {
            return !slot.m_response;
        }));
        connection->m_slots.clear();
        m_rejected -= connection->m_isRejected ? 1 : 0;
        m_connections.erase(connection->m_id);
    }

    auto beginDrain() -> void
    {
        m_isDraining = true;
        m_listener.close();
        m_acceptRetryAt = TimePoint::max();
        for (const auto &[id, connection] : m_connections) {
            connection->m_idleDeadline = TimePoint::max();
            updateDeadlines(*connection);
        }
    }

    HttpLimits m_limits;
    Handler m_handler;
    RetiredSockets m_retired;
    std::unordered_map<std::uint64_t, ConnectionPointer> m_connections;
    std::uint64_t m_nextConnection = 1;
    std::size_t m_rejected = 0;
    std::size_t m_openExchanges = 0;
    TimePoint m_acceptRetryAt = TimePoint::max();
    bool m_isDraining = false;
    bool m_wasOverloaded = false;
    QObject m_context;
    DeadlineTimer m_sweep;
    Listener m_listener;
};

HttpServer::HttpServer(const HttpLimits &limits, Handler handler)
    : m_d(std::make_unique<Private>(limits, std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

auto HttpServer::listen(std::string_view address, std::uint16_t port) -> Result<std::uint16_t>
{
    const QHostAddress host(QString::fromUtf8(address.data(), static_cast<qsizetype>(address.size())));
    if (host.isNull() || !m_d->m_listener.listen(host, port)) {
        return failure(ErrorCode::Unavailable,
                       "cannot listen on " + std::string(address) + ":" + std::to_string(port) + ": " + m_d->m_listener.errorString().toStdString());
    }
    return m_d->m_listener.serverPort();
}

auto HttpServer::respond(ExchangeId exchange, HttpResponse &&response) -> bool
{
    return m_d->respond(exchange, std::move(response));
}

auto HttpServer::abort(ExchangeId exchange) -> void
{
    m_d->withConnection(exchange.m_connection, &Private::close);
}

auto HttpServer::beginDrain() -> void
{
    m_d->beginDrain();
}

auto HttpServer::openExchanges() const noexcept -> std::size_t
{
    return m_d->m_openExchanges;
}

auto HttpServer::openConnections() const noexcept -> std::size_t
{
    return m_d->m_connections.size() - m_d->m_rejected;
}
}
