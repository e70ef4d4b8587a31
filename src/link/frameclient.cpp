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
        , m_backoff(limits.m_reconnectMin)
        , m_random(QRandomGenerator::system()->generate64())
        , m_sweep([this](TimePoint now) {
            return sweep(now);
        })
    {
        connectNow();
    }

    auto connectNow() -> void
    {
        m_attemptDeadline = Clock::now() + m_limits.m_silence;
        m_sweep.arm(m_attemptDeadline);
        m_socket = std::make_unique<QTcpSocket>();
        m_socket->setProxy(QNetworkProxy::NoProxy);
        QObject::connect(m_socket.get(), &QTcpSocket::connected, &m_context, [this] {
            connected();
        });
        QObject::connect(m_socket.get(), &QTcpSocket::errorOccurred, &m_context, [this] {
            attemptFailed(m_socket->errorString().toStdString());
        });
        m_socket->connectToHost(m_address, m_port);
    }

    auto connected() -> void
    {
        m_attemptDeadline = TimePoint::max();
        QObject::disconnect(m_socket.get(), nullptr, nullptr, nullptr);
        m_link = std::make_unique<FrameLink>(m_limits,
                                             m_peer,
                                             std::move(m_socket),
                                             FrameLink::Events{.m_received =
                                                                   [this](PeerMessage &&message) {
                                                                       m_backoff = m_limits.m_reconnectMin;
                                                                       m_handler(std::move(message));
                                                                   },
                                                               .m_closed =
                                                                   [this] {
                                                                       closed();
                                                                   }});
        m_sweep.arm(m_link->deadline());
        m_hasLoggedFailure = false;
        logEvent(LogLevel::Info, "frame_link_opened", {{"peer", m_peer}});
        m_stateHandler(true);
    }

    auto closed() -> void
    {
        // The link reports from within its own functions, so it is destroyed later.
        QMetaObject::invokeMethod(
            &m_context,
            [this] {
                m_link.reset();
                scheduleAttempt();
                m_stateHandler(false);
            },
            Qt::QueuedConnection);
    }

    auto attemptFailed(std::string_view reason) -> void
    {
        // Repeated failures are written at a lower level; a host may be away for hours.
        logEvent(m_hasLoggedFailure ? LogLevel::Debug : LogLevel::Warning, "frame_connect_failed", {{"peer", m_peer}, {"reason", reason}});
        m_hasLoggedFailure = true;
        m_retired.retire(std::move(m_socket));
        m_attemptDeadline = TimePoint::max();
        scheduleAttempt();
    }

    /// The backoff is reset by a received message and not by a connection, so that a peer that accepts and
    /// then closes or stays silent is not called without a pause.
    auto scheduleAttempt() -> void
    {
        constexpr double leastShare = 0.5;
        const auto delay = std::chrono::duration_cast<Duration>(m_backoff * (leastShare + (1.0 - leastShare) * m_random.unit()));
        m_backoff = std::min(m_backoff * 2, m_limits.m_reconnectMax);
        m_attemptAt = Clock::now() + delay;
        m_sweep.arm(m_attemptAt);
    }

    [[nodiscard]] auto sweep(TimePoint now) -> TimePoint
    {
        if (m_link) {
            m_link->sweep(now, m_configVersion);
        }
        if (m_attemptDeadline <= now) {
            attemptFailed("no connection in time");
        }
        if (m_attemptAt <= now) {
            m_attemptAt = TimePoint::max();
            connectNow();
        }
        const TimePoint next = std::min(m_attemptAt, m_attemptDeadline);
        return m_link ? std::min(next, m_link->deadline()) : next;
    }

    FrameLimits m_limits;
    QHostAddress m_address;
    std::uint16_t m_port;
    std::string m_peer;
    Handler m_handler;
    StateHandler m_stateHandler;
    Milliseconds m_backoff;
    RandomSource m_random;
    RetiredSockets m_retired;
    std::unique_ptr<QTcpSocket> m_socket; ///< while connecting
    std::unique_ptr<FrameLink> m_link;
    TimePoint m_attemptAt = TimePoint::max();
    TimePoint m_attemptDeadline = TimePoint::max();
    std::uint64_t m_configVersion = 0;
    bool m_hasLoggedFailure = false;
    QObject m_context;
    DeadlineTimer m_sweep;
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
