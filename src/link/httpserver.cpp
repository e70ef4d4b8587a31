#include "burdockspur/link/httpserver.hpp"

#include "burdockspur/core/invariant.hpp"
#include "burdockspur/impl/deadlinetimer.hpp"
#include "burdockspur/impl/httptext.hpp"
#include "burdockspur/impl/inputbuffer.hpp"
#include "burdockspur/impl/listener.hpp"
#include "burdockspur/impl/receiveprogress.hpp"
#include "burdockspur/impl/requestparser.hpp"
#include "burdockspur/impl/retiredsockets.hpp"
#include "burdockspur/link/clientguard.hpp"
#include "burdockspur/link/machinememory.hpp"
#include "burdockspur/operations/log.hpp"

#include <QHostAddress>
#include <QTcpSocket>

#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Burdockspur
{
namespace
{
/// Bytes that a socket may buffer before the parser consumes them.
constexpr std::size_t readAheadBytes = std::size_t{64} * 1024;

/// Reading from a connection pauses while more bytes than this wait to be sent to it.
constexpr qint64 writeBacklogBytes = qint64{256} * 1024;

/// Time for a caller to read the last response before the server closes the connection; an immediate close could discard it.
constexpr Milliseconds lingerTimeout{1'000};

/// Time for which a draining server keeps an idle connection open, because a request may already be on its way.
constexpr Milliseconds drainGracePeriod{1'000};

/// Pause after a failed accept, e.g. when file descriptors are exhausted.
constexpr Milliseconds acceptRetryDelay{1'000};

constexpr int listenBacklog = 1024;

/// Memory of a connection beside its input and answers: objects of the socket, and the first block of each of its two buffers.
constexpr std::size_t connectionBytes = std::size_t{24} * 1024;

/// Copies of a request between the handler and the answer: decoded, encoded for the next process, and in the buffer of that connection.
constexpr std::size_t copiesUnderWay = 3;

/// Value of Retry-After when this server has no room.
constexpr std::string_view retryAfterSeconds = "1";

[[nodiscard]] auto fieldBytes(const std::vector<HttpField> &fields) noexcept -> std::size_t
{
    std::size_t bytes = fields.capacity() * sizeof(HttpField);
    for (const auto &field : fields) {
        bytes += field.m_name.capacity() + field.m_value.capacity();
    }
    return bytes;
}

[[nodiscard]] auto heldBytes(const HttpRequest &request) noexcept -> std::size_t
{
    return request.m_target.capacity() + request.m_body.capacity() + fieldBytes(request.m_fields);
}

[[nodiscard]] auto heldBytes(const HttpResponse &response) noexcept -> std::size_t
{
    return response.m_body.capacity() + fieldBytes(response.m_fields);
}

[[nodiscard]] auto errorResponse(int status, std::string_view code, std::string_view message) -> HttpResponse
{
    std::string body = R"({"code":)" + jsonQuoted(code);
    body.append(R"(,"message":)").append(jsonQuoted(message)).append(R"(,"outcome":"refused"})");
    auto response = jsonResponse(status, std::move(body));
    if (status == httpStatus(ErrorCode::Overloaded)) {
        response.m_fields.push_back({"Retry-After", std::string(retryAfterSeconds)});
    }
    return response;
}

/// Response that a request waits for; a connection sends them in the order of its requests.
struct PendingResponse {
    std::optional<HttpResponse> m_response; ///< empty until respond()
    std::size_t m_bytes = 0; ///< allocated for the request until respond(), for the response afterwards
    bool m_isHead = false;
    bool m_isVersion10 = false;
    bool m_closesConnection = false; ///< the connection is closed after this response
};

struct Connection {
    Connection(std::uint64_t id, const HttpLimits &limits)
        : m_id(id)
        , m_parser(limits.m_maxHeaderBytes, limits.m_maxBodyBytes)
    {
    }

    /// True when a part of the next request was received.
    [[nodiscard]] auto isInsideRequest() const noexcept -> bool
    {
        return m_parser.isStarted() || !m_input.empty();
    }

    [[nodiscard]] auto deadline() const noexcept -> TimePoint
    {
        return std::min({m_requestDeadline, m_idleDeadline, m_writeDeadline, m_lingerDeadline});
    }

    std::uint64_t m_id;
    std::unique_ptr<QTcpSocket> m_socket; ///< null once the connection is closed
    RequestParser m_parser;
    InputBuffer m_input;
    std::deque<PendingResponse> m_pendingResponses;
    std::size_t m_bytesUnderWay = 0; ///< of the pending responses without a response
    std::size_t m_responseBytes = 0; ///< of the pending responses with one
    ReceiveProgress m_progress;
    TimePoint m_servedAt; ///< see ClientUse
    bool m_hasCompletedRequest = false;
    std::uint64_t m_firstSequence = 1; ///< sequence number of the first pending response
    std::uint64_t m_bytesQueued = 0; ///< bytes passed to the socket since it was opened
    std::uint64_t m_writeDueBytes = 0; ///< number of bytes, counted as in m_bytesQueued, that must be sent by m_writeDeadline
    TimePoint m_requestDeadline = TimePoint::max();
    TimePoint m_idleDeadline = TimePoint::max();
    TimePoint m_writeDeadline = TimePoint::max();
    TimePoint m_lingerDeadline = TimePoint::max();
    bool m_isProcessing = false; ///< prevents recursion through the request handler and socket signals
    bool m_isResumeQueued = false;
    bool m_isInputClosed = false; ///< further input is discarded
    bool m_closesAfterWrite = false;
    bool m_isRejected = false; ///< accepted above the connection limit
    bool m_needsContinue = false; ///< the caller waits for 100 Continue
    bool m_continueSent = false;
};

using ConnectionPointer = std::shared_ptr<Connection>;
}

class HttpServer::Private
{
public:
    Private(const HttpLimits &limits, Handler handler, std::shared_ptr<ClientGuard> guard)
        : m_limits(limits)
        , m_handler(std::move(handler))
        , m_guard(guard ? std::move(guard) : std::make_shared<ClientGuard>(MachineMemory::clientLimits(limits.m_maxHeldBytes)))
        , m_number(m_guard->addServer({.m_maxConnections = limits.m_maxConnections, .m_maxTurnover = limits.m_maxTurnover},
                                      [this](std::uint64_t id) {
                                          withConnection(id, &Private::close);
                                      }))
        , m_deadlineTimer([this](TimePoint now) {
            return processDeadlines(now);
        })
        , m_listener([this](std::unique_ptr<QTcpSocket> socket) {
            accept(std::move(socket));
        })
    {
        m_listener.setListenBacklogSize(listenBacklog);
        QObject::connect(&m_listener, &QTcpServer::acceptError, &m_context, [this] {
            logEvent(LogLevel::Error, "http_accept_failed", {{"message", m_listener.errorString().toStdString()}});
            m_listener.pauseUntil(Clock::now() + acceptRetryDelay);
        });
    }

    ~Private()
    {
        while (!m_connections.empty()) {
            withConnection(m_connections.begin()->first, &Private::close);
        }
        for (const auto &[exchange, bytes] : m_abandoned) {
            m_guard->settle(bytes);
        }
        m_guard->removeServer(m_number);
    }

    Private(const Private &) = delete;
    Private(Private &&) = delete;
    auto operator=(const Private &) -> Private & = delete;
    auto operator=(Private &&) -> Private & = delete;

    auto accept(std::unique_ptr<QTcpSocket> socket) -> void
    {
        const std::uint64_t address = qHash(socket->peerAddress());
        const TimePoint now = Clock::now();
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        socket->setReadBufferSize(readAheadBytes);
        const auto connection = std::make_shared<Connection>(m_nextConnection++, m_limits);
        connection->m_socket = std::move(socket);
        const bool isFull = m_guard->isFull(m_number);
        if (m_guard->makeRoom(m_number, address, now)) {
            m_wasOverloaded = m_wasOverloaded && isFull;
            open(connection, address, now);
        } else {
            reject(connection);
        }
        if (const TimePoint next = m_guard->nextAcceptAt(m_number, now); next > now) {
            m_listener.pauseUntil(next);
        }
    }

    auto open(const ConnectionPointer &connection, std::uint64_t address, TimePoint now) -> void
    {
        connection->m_progress.restart(now);
        connection->m_servedAt = now;
        registerConnection(connection);
        m_guard->open(keyOf(*connection), address, now);
        updateDeadlines(*connection);
        account(connection);
    }

    [[nodiscard]] auto keyOf(const Connection &connection) const noexcept -> ClientKey
    {
        return {m_number, connection.m_id};
    }

    /// Updates the budget with what the connection holds. The budget may choose this connection, which is closed then.
    auto account(const ConnectionPointer &connection) -> void
    {
        if (!connection->m_socket) {
            return;
        }
        const auto unread = connection->m_socket->bytesAvailable() + connection->m_socket->bytesToWrite();
        ClientUse use;
        use.m_bytes = connectionBytes + connection->m_input.capacity() + connection->m_parser.heldBytes() + connection->m_responseBytes
            + static_cast<std::size_t>(unread);
        use.m_bytesUnderWay = connection->m_bytesUnderWay;
        use.m_progressAt = connection->m_progress.at();
        use.m_stage = stageOf(*connection);
        use.m_servedAt = connection->m_servedAt;
        m_guard->update(keyOf(*connection), use);
    }

    [[nodiscard]] static auto stageOf(const Connection &connection) -> ClientStage
    {
        if (connection.m_bytesUnderWay > 0) {
            return ClientStage::Busy;
        }
        if (!connection.m_hasCompletedRequest) {
            return ClientStage::Incomplete;
        }
        const bool isUnread = connection.m_closesAfterWrite || connection.m_socket->bytesToWrite() > 0;
        return isUnread ? ClientStage::Unread : ClientStage::Idle;
    }

    /// Notes that a request became complete, or that the client read of an answer.
    static auto noteServed(Connection &connection) -> void
    {
        connection.m_servedAt = Clock::now();
        connection.m_progress.restart(connection.m_servedAt);
    }

    auto registerConnection(const ConnectionPointer &connection) -> void
    {
        auto *const socket = connection->m_socket.get();
        const std::uint64_t id = connection->m_id;
        m_connections.emplace(id, connection);
        QObject::connect(socket, &QTcpSocket::readyRead, &m_context, [this, id] {
            withConnection(id, &Private::handleReadyRead);
        });
        QObject::connect(socket, &QTcpSocket::bytesWritten, &m_context, [this, id] {
            withConnection(id, &Private::handleBytesWritten);
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
        const bool canLinger = m_rejected < m_limits.m_maxRejected;
        if (canLinger) {
            connection->m_isRejected = true;
            ++m_rejected;
            registerConnection(connection);
        }
        appendErrorResponse(*connection, httpStatus(ErrorCode::Overloaded), errorName(ErrorCode::Overloaded), "too many connections");
        writeResponses(connection);
        if (!canLinger) {
            m_retired.retire(std::move(connection->m_socket));
        }
    }

    /// Parses received bytes, unless the connection has too many requests in progress.
    auto handleReadyRead(const ConnectionPointer &connection) -> void
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
        while (connection->m_socket && canReadRequest(*connection) && parseRequest(connection)) {
            account(connection);
        }
        connection->m_isProcessing = false;
        if (connection->m_socket) {
            writeResponses(connection);
        }
    }

    [[nodiscard]] auto canReadRequest(const Connection &connection) const -> bool
    {
        return !connection.m_isInputClosed && connection.m_pendingResponses.size() < m_limits.m_maxPipelined
            && connection.m_socket->bytesToWrite() <= writeBacklogBytes;
    }

    /// @returns false when more bytes are needed
    auto parseRequest(const ConnectionPointer &connection) -> bool
    {
        if (connection->m_input.empty() && fillInput(*connection, readAheadBytes) == 0) {
            return false;
        }
        auto consumed = connection->m_parser.feed(connection->m_input.view());
        if (!consumed) {
            const Error &error = consumed.error();
            appendErrorResponse(*connection, httpStatus(error.m_code), errorName(error.m_code), error.m_message);
            return false;
        }
        connection->m_input.consume(*consumed);
        if (connection->m_parser.isComplete()) {
            dispatch(connection);
            return true;
        }
        connection->m_needsContinue = !connection->m_continueSent && connection->m_parser.expectsContinue();
        return fillInput(*connection, m_limits.m_maxHeaderBytes + readAheadBytes) > 0;
    }

    [[nodiscard]] static auto fillInput(Connection &connection, std::size_t limit) -> std::size_t
    {
        const std::size_t count = connection.m_input.fill(*connection.m_socket, limit);
        connection.m_progress.add(count);
        return count;
    }

    auto dispatch(const ConnectionPointer &connection) -> void
    {
        PendingResponse pending;
        pending.m_isVersion10 = connection->m_parser.isVersion10();
        pending.m_closesConnection = m_isDraining || !connection->m_parser.keepsAlive();
        HttpRequest request = connection->m_parser.take();
        pending.m_isHead = request.m_method == "HEAD";
        connection->m_isInputClosed = pending.m_closesConnection;
        connection->m_needsContinue = false;
        connection->m_continueSent = false;
        connection->m_requestDeadline = TimePoint::max();
        connection->m_hasCompletedRequest = true;
        noteServed(*connection);
        pending.m_bytes = copiesUnderWay * heldBytes(request);
        if (!m_guard->admit(keyOf(*connection), pending.m_bytes)) {
            // The handler has not seen the request, so the refusal can state that it had no effect.
            appendErrorResponse(*connection, httpStatus(ErrorCode::Overloaded), errorName(ErrorCode::Overloaded), "clients hold too much memory");
            return;
        }
        const ExchangeId exchange{connection->m_id, connection->m_firstSequence + connection->m_pendingResponses.size()};
        connection->m_bytesUnderWay += pending.m_bytes;
        connection->m_pendingResponses.push_back(std::move(pending));
        ++m_openExchanges;
        m_handler(exchange, std::move(request));
    }

    auto appendErrorResponse(Connection &connection, int status, std::string_view code, std::string_view message) -> void
    {
        logEvent(LogLevel::Debug, "http_request_rejected", {{"connection", connection.m_id}, {"code", code}, {"message", message}});
        PendingResponse pending;
        pending.m_response = errorResponse(status, code, message);
        pending.m_bytes = heldBytes(*pending.m_response);
        pending.m_closesConnection = true;
        connection.m_responseBytes += pending.m_bytes;
        connection.m_pendingResponses.push_back(std::move(pending));
        connection.m_isInputClosed = true;
        connection.m_needsContinue = false;
        connection.m_input.clear();
        connection.m_parser.discard();
    }

    auto respond(ExchangeId exchange, HttpResponse &&response) -> bool
    {
        const auto found = m_connections.find(exchange.m_connection);
        if (found == m_connections.end()) {
            settle(exchange);
            return false;
        }
        const ConnectionPointer connection = found->second;
        const std::uint64_t index = exchange.m_sequence - connection->m_firstSequence;
        if (exchange.m_sequence < connection->m_firstSequence || index >= connection->m_pendingResponses.size()
            || connection->m_pendingResponses[index].m_response) {
            return false;
        }
        PendingResponse &pending = connection->m_pendingResponses[index];
        connection->m_bytesUnderWay -= pending.m_bytes;
        pending.m_bytes = heldBytes(response);
        connection->m_responseBytes += pending.m_bytes;
        pending.m_response = std::move(response);
        --m_openExchanges;
        if (!connection->m_isProcessing) {
            writeResponses(connection);
        }
        // A write may detect that the caller has closed the connection.
        return connection->m_socket != nullptr;
    }

    /// Writes the responses that are ready, in the order of their requests.
    auto writeResponses(const ConnectionPointer &connection) -> void
    {
        const bool wasPaused = !canReadRequest(*connection);
        const bool wasProcessing = std::exchange(connection->m_isProcessing, true);
        bool hasWritten = false;
        while (!connection->m_pendingResponses.empty() && connection->m_pendingResponses.front().m_response && !connection->m_closesAfterWrite) {
            if (m_isDraining && connection->m_pendingResponses.size() == 1 && !connection->isInsideRequest()) {
                connection->m_pendingResponses.front().m_closesConnection = true;
            }
            const PendingResponse pending = std::move(connection->m_pendingResponses.front());
            connection->m_pendingResponses.pop_front();
            connection->m_responseBytes -= pending.m_bytes;
            ++connection->m_firstSequence;
            connection->m_closesAfterWrite = pending.m_closesConnection;
            connection->m_isInputClosed = connection->m_isInputClosed || pending.m_closesConnection;
            write(*connection, encodeResponse(pending));
            hasWritten = true;
        }
        if (connection->m_needsContinue && connection->m_pendingResponses.empty()) {
            connection->m_needsContinue = false;
            connection->m_continueSent = true;
            write(*connection, QByteArrayLiteral("HTTP/1.1 100 Continue\r\n\r\n"));
            hasWritten = true;
        }
        if (hasWritten) {
            // Without flush(), Qt would send only in the next iteration of the event loop.
            connection->m_socket->flush();
        }
        connection->m_isProcessing = wasProcessing;
        if (!connection->m_socket) {
            return;
        }
        finishWriting(*connection);
        updateDeadlines(*connection);
        account(connection);
        if (wasPaused && connection->m_socket) {
            scheduleResume(connection);
        }
    }

    auto write(Connection &connection, const QByteArray &bytes) -> void
    {
        connection.m_bytesQueued += static_cast<std::uint64_t>(bytes.size());
        connection.m_socket->write(bytes);
    }

    [[nodiscard]] static auto encodeResponse(const PendingResponse &pending) -> QByteArray
    {
        const HttpResponse &response = *pending.m_response;
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
        if (pending.m_closesConnection) {
            head.append("Connection: close\r\n");
        } else if (pending.m_isVersion10) {
            head.append("Connection: keep-alive\r\n");
        }
        head.append("\r\n");
        const bool includesBody = hasBody && !pending.m_isHead;
        QByteArray bytes;
        bytes.reserve(static_cast<qsizetype>(head.size()) + (includesBody ? static_cast<qsizetype>(response.m_body.size()) : 0));
        bytes.append(head.data(), static_cast<qsizetype>(head.size()));
        if (includesBody) {
            bytes.append(response.m_body.data(), static_cast<qsizetype>(response.m_body.size()));
        }
        return bytes;
    }

    auto handleBytesWritten(const ConnectionPointer &connection) -> void
    {
        if (connection->m_isProcessing || !connection->m_socket) {
            return;
        }
        finishWriting(*connection);
        updateDeadlines(*connection);
        noteServed(*connection);
        account(connection);
        if (connection->m_socket && canReadRequest(*connection)) {
            scheduleResume(connection);
        }
    }

    /// Once the last response is sent, shuts down the sending side and waits for the caller to close.
    static auto finishWriting(Connection &connection) -> void
    {
        if (connection.m_closesAfterWrite && connection.m_socket->bytesToWrite() == 0 && connection.m_lingerDeadline == TimePoint::max()) {
            connection.m_lingerDeadline = Clock::now() + lingerTimeout;
            ::shutdown(static_cast<int>(connection.m_socket->socketDescriptor()), SHUT_WR);
            connection.m_socket->skip(connection.m_socket->bytesAvailable());
        }
    }

    /// Schedules parsing of the bytes received before a pause, because the socket may not signal them again.
    auto scheduleResume(const ConnectionPointer &connection) -> void
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
        handleReadyRead(connection);
    }

    auto updateDeadlines(Connection &connection) -> void
    {
        const bool hasPartialRequest = connection.isInsideRequest();
        const bool waitsForRequestBytes = hasPartialRequest && canReadRequest(connection) && !connection.m_needsContinue;
        startOrClearDeadline(connection.m_requestDeadline, waitsForRequestBytes, m_limits.m_requestTimeout);
        const bool isIdle = !hasPartialRequest && connection.m_pendingResponses.empty() && !connection.m_isInputClosed;
        startOrClearDeadline(connection.m_idleDeadline, isIdle, m_isDraining ? std::min(drainGracePeriod, m_limits.m_idleTimeout) : m_limits.m_idleTimeout);
        const std::uint64_t bytesSent = connection.m_bytesQueued - static_cast<std::uint64_t>(connection.m_socket->bytesToWrite());
        if (bytesSent >= connection.m_writeDueBytes) {
            connection.m_writeDueBytes = connection.m_bytesQueued;
            connection.m_writeDeadline = TimePoint::max();
        }
        startOrClearDeadline(connection.m_writeDeadline, connection.m_socket->bytesToWrite() > 0, m_limits.m_writeTimeout);
        m_deadlineTimer.arm(connection.deadline());
    }

    static auto startOrClearDeadline(TimePoint &deadline, bool runs, Milliseconds period) -> void
    {
        if (!runs) {
            deadline = TimePoint::max();
        } else if (deadline == TimePoint::max()) {
            deadline = Clock::now() + period;
        }
    }

    [[nodiscard]] auto processDeadlines(TimePoint now) -> TimePoint
    {
        std::vector<ConnectionPointer> expired;
        for (const auto &[id, connection] : m_connections) {
            if (connection->deadline() <= now) {
                expired.push_back(connection);
            }
        }
        for (const auto &connection : expired) {
            handleExpired(connection, now);
        }
        TimePoint next = TimePoint::max();
        for (const auto &[id, connection] : m_connections) {
            next = std::min(next, connection->deadline());
        }
        return next;
    }

    auto handleExpired(const ConnectionPointer &connection, TimePoint now) -> void
    {
        if (!connection->m_socket) {
            return;
        }
        if (connection->m_requestDeadline <= now) {
            connection->m_requestDeadline = TimePoint::max();
            constexpr int requestTimeoutStatus = 408;
            appendErrorResponse(*connection, requestTimeoutStatus, errorName(ErrorCode::Timeout), "the request did not arrive in time");
            writeResponses(connection);
            return;
        }
        if (connection->m_writeDeadline <= now) {
            logEvent(LogLevel::Info, "http_slow_reader_closed", {{"connection", connection->m_id}, {"unread_bytes", connection->m_socket->bytesToWrite()}});
        } else if (connection->m_idleDeadline <= now) {
            requireInvariant(connection->m_pendingResponses.empty(), "idle_connection_has_no_request", {});
        }
        close(connection);
    }

    auto close(const ConnectionPointer &connection) -> void
    {
        if (!connection->m_socket) {
            return;
        }
        m_retired.retire(std::move(connection->m_socket));
        std::uint64_t sequence = connection->m_firstSequence;
        for (const auto &pending : connection->m_pendingResponses) {
            if (!pending.m_response) {
                --m_openExchanges;
                // The handler still holds the request, until respond() or abort().
                m_abandoned.emplace(std::pair(connection->m_id, sequence), pending.m_bytes);
            }
            ++sequence;
        }
        connection->m_pendingResponses.clear();
        connection->m_input.clear();
        connection->m_parser.discard();
        m_rejected -= connection->m_isRejected ? 1 : 0;
        m_guard->close(keyOf(*connection));
        m_connections.erase(connection->m_id);
        resumeAccepting();
    }

    auto resumeAccepting() -> void
    {
        if (!m_listener.isPaused()) {
            return;
        }
        if (const TimePoint now = Clock::now(); m_guard->nextAcceptAt(m_number, now) <= now) {
            m_listener.resume();
        }
    }

    /// Notes the answer to a request whose connection is closed.
    auto settle(ExchangeId exchange) -> void
    {
        if (const auto found = m_abandoned.find({exchange.m_connection, exchange.m_sequence}); found != m_abandoned.end()) {
            m_guard->settle(found->second);
            m_abandoned.erase(found);
        }
    }

    auto beginDrain() -> void
    {
        m_isDraining = true;
        m_listener.close();
        for (const auto &[id, connection] : m_connections) {
            connection->m_idleDeadline = TimePoint::max();
            updateDeadlines(*connection);
        }
    }

    HttpLimits m_limits;
    Handler m_handler;
    std::shared_ptr<ClientGuard> m_guard;
    std::uint32_t m_number; ///< number of this server in m_guard
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::size_t> m_abandoned; ///< unanswered requests of closed connections
    RetiredSockets m_retired;
    std::unordered_map<std::uint64_t, ConnectionPointer> m_connections;
    std::uint64_t m_nextConnection = 1;
    std::size_t m_rejected = 0; ///< open connections above the connection limit
    std::size_t m_openExchanges = 0;
    bool m_isDraining = false;
    bool m_wasOverloaded = false; ///< the limit was reached, and logged, since the last accepted connection
    QObject m_context;
    DeadlineTimer m_deadlineTimer;
    Listener m_listener;
};

HttpServer::HttpServer(const HttpLimits &limits, Handler handler, std::shared_ptr<ClientGuard> guard)
    : m_d(std::make_unique<Private>(limits, std::move(handler), std::move(guard)))
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
    m_d->settle(exchange);
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
