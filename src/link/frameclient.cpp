#include "burdockspur/link/frameclient.hpp"

#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/impl/deadlinetimer.hpp"
#include "burdockspur/impl/framelink.hpp"
#include "burdockspur/impl/retiredsockets.hpp"
#include "burdockspur/link/peermessage.hpp"
#include "burdockspur/operations/log.hpp"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QRandomGenerator>
#include <QTcpSocket>

#include <algorithm>
#include <utility>

namespace Burdockspur
{
class FrameClient::Private
{
public:
    Private(const FrameLimits &limits, std::string_view address, std::uint16_t port, Handler handler, StateHandler stateHandler)
        : m_limits(limits)
        , m_address(QString::fromUtf8(address.data(), static_cast<qsizetype>(address.size())))
        , m_port(port)
        , m_peer(std::string(address) + ":" + std::to_string(port))
        , m_handler(std::move(handler))
        , m_stateHandler(std::move(stateHandler))
        , m_backoff(limits.m_minReconnectDelay)
        , m_random(QRandomGenerator::system()->generate64())
        , m_deadlineTimer([this](TimePoint now) {
            return processDeadlines(now);
        })
    {
        startAttempt();
    }

    auto startAttempt() -> void
    {
        m_attemptDeadline = Clock::now() + m_limits.m_silenceTimeout;
        m_deadlineTimer.arm(m_attemptDeadline);
        m_socket = std::make_unique<QTcpSocket>();
        m_socket->setProxy(QNetworkProxy::NoProxy);
        QObject::connect(m_socket.get(), &QTcpSocket::connected, &m_context, [this] {
            handleConnected();
        });
        QObject::connect(m_socket.get(), &QTcpSocket::errorOccurred, &m_context, [this] {
            handleFailedAttempt(m_socket->errorString().toStdString());
        });
        m_socket->connectToHost(m_address, m_port);
    }

    auto handleConnected() -> void
    {
        m_attemptDeadline = TimePoint::max();
        QObject::disconnect(m_socket.get(), nullptr, nullptr, nullptr);
        m_link = std::make_unique<FrameLink>(m_limits,
                                             m_peer,
                                             std::move(m_socket),
                                             FrameLink::Callbacks{.m_onMessage =
                                                                      [this](PeerMessage &&message) {
                                                                          m_backoff = m_limits.m_minReconnectDelay;
                                                                          m_handler(std::move(message));
                                                                      },
                                                                  .m_onClosed =
                                                                      [this] {
                                                                          handleClosed();
                                                                      }});
        m_deadlineTimer.arm(m_link->deadline());
        m_hasLoggedFailure = false;
        logEvent(LogLevel::Info, "frame_link_opened", {{"peer", m_peer}});
        m_stateHandler(true);
    }

    auto handleClosed() -> void
    {
        // The link calls this function from within its own functions, so it is destroyed later.
        QMetaObject::invokeMethod(
            &m_context,
            [this] {
                m_link.reset();
                scheduleAttempt();
                m_stateHandler(false);
            },
            Qt::QueuedConnection);
    }

    auto handleFailedAttempt(std::string_view reason) -> void
    {
        // Repeated failures are logged at debug level, because a host may be unreachable for hours.
        logEvent(m_hasLoggedFailure ? LogLevel::Debug : LogLevel::Warning, "frame_connect_failed", {{"peer", m_peer}, {"reason", reason}});
        m_hasLoggedFailure = true;
        m_retired.retire(std::move(m_socket));
        m_attemptDeadline = TimePoint::max();
        scheduleAttempt();
    }

    /// Schedules the next attempt after the backoff. Only a received message resets the backoff, not a connection, so
    /// that a peer that accepts and then closes or stays silent is not reconnected without a pause.
    auto scheduleAttempt() -> void
    {
        constexpr double minBackoffShare = 0.5;
        const auto delay = std::chrono::duration_cast<Duration>(m_backoff * (minBackoffShare + (1.0 - minBackoffShare) * m_random.unit()));
        m_backoff = std::min(m_backoff * 2, m_limits.m_maxReconnectDelay);
        m_nextAttemptAt = Clock::now() + delay;
        m_deadlineTimer.arm(m_nextAttemptAt);
    }

    [[nodiscard]] auto processDeadlines(TimePoint now) -> TimePoint
    {
        if (m_link) {
            m_link->processDeadlines(now, m_configVersion);
        }
        if (m_attemptDeadline <= now) {
            handleFailedAttempt("no connection in time");
        }
        if (m_nextAttemptAt <= now) {
            m_nextAttemptAt = TimePoint::max();
            startAttempt();
        }
        const TimePoint next = std::min(m_nextAttemptAt, m_attemptDeadline);
        return m_link ? std::min(next, m_link->deadline()) : next;
    }

    FrameLimits m_limits;
    QHostAddress m_address;
    std::uint16_t m_port;
    std::string m_peer; ///< address and port for log events
    Handler m_handler;
    StateHandler m_stateHandler;
    Milliseconds m_backoff;
    RandomSource m_random;
    RetiredSockets m_retired;
    std::unique_ptr<QTcpSocket> m_socket; ///< set while connecting
    std::unique_ptr<FrameLink> m_link; ///< set while connected
    TimePoint m_nextAttemptAt = TimePoint::max();
    TimePoint m_attemptDeadline = TimePoint::max(); ///< by which the current attempt must connect
    std::uint64_t m_configVersion = 0;
    bool m_hasLoggedFailure = false;
    QObject m_context;
    DeadlineTimer m_deadlineTimer;
};

FrameClient::FrameClient(const FrameLimits &limits, std::string_view address, std::uint16_t port, Handler handler, StateHandler stateHandler)
    : m_d(std::make_unique<Private>(limits, address, port, std::move(handler), std::move(stateHandler)))
{
}

FrameClient::~FrameClient() = default;

auto FrameClient::send(const PeerMessage &message) -> bool
{
    return m_d->m_link && m_d->m_link->send(message);
}

auto FrameClient::isOpen() const noexcept -> bool
{
    return m_d->m_link && m_d->m_link->isOpen();
}

auto FrameClient::setConfigVersion(std::uint64_t version) noexcept -> void
{
    m_d->m_configVersion = version;
}
}
