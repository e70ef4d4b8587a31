#include "burdockspur/link/frameserver.hpp"

#include "burdockspur/impl/deadlinetimer.hpp"
#include "burdockspur/impl/framelink.hpp"
#include "burdockspur/impl/listener.hpp"
#include "burdockspur/link/clientguard.hpp"
#include "burdockspur/link/machinememory.hpp"
#include "burdockspur/link/peermessage.hpp"
#include "burdockspur/operations/log.hpp"

#include <QHostAddress>
#include <QTcpSocket>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace Burdockspur
{
namespace
{
/// Pause after a failed accept, e.g. when file descriptors are exhausted.
constexpr Milliseconds acceptRetryDelay{1'000};
}

class FrameServer::Private
{
public:
    Private(const FrameLimits &limits, Handler handler, StateHandler stateHandler)
        : m_limits(limits)
        , m_handler(std::move(handler))
        , m_stateHandler(std::move(stateHandler))
        , m_guard(MachineMemory::clientLimits(limits.m_maxHeldBytes))
        // Entry daemons keep their links for good; silence ends those that are not in use.
        , m_number(m_guard.addServer({.m_maxConnections = limits.m_maxLinks, .m_shortestIdle = limits.m_silenceTimeout},
                                     [this](LinkId id) {
                                         closeForGuard(id);
                                     }))
        , m_deadlineTimer([this](TimePoint now) {
            return processDeadlines(now);
        })
        , m_listener([this](std::unique_ptr<QTcpSocket> socket) {
            accept(std::move(socket));
        })
    {
        QObject::connect(&m_listener, &QTcpServer::acceptError, &m_context, [this] {
            logEvent(LogLevel::Error, "frame_accept_failed", {{"message", m_listener.errorString().toStdString()}});
            m_listener.pauseUntil(Clock::now() + acceptRetryDelay);
        });
    }

    auto accept(std::unique_ptr<QTcpSocket> socket) -> void
    {
        const TimePoint now = Clock::now();
        const std::uint64_t address = qHash(socket->peerAddress());
        if (m_guard.makeRoom(m_number, address, now)) {
            open(std::move(socket), address, now);
        } else {
            logEvent(LogLevel::Warning, "frame_links_exhausted", {{"limit", m_limits.m_maxLinks}});
        }
        if (const TimePoint next = m_guard.nextAcceptAt(m_number, now); next > now) {
            m_listener.pauseUntil(next);
        }
    }

    auto open(std::unique_ptr<QTcpSocket> socket, std::uint64_t address, TimePoint now) -> void
    {
        const LinkId id = m_nextLink++;
        const std::string peer = socket->peerAddress().toString().toStdString() + ":" + std::to_string(socket->peerPort());
        auto link = std::make_unique<FrameLink>(m_limits,
                                                peer,
                                                std::move(socket),
                                                FrameLink::Callbacks{.m_onMessage =
                                                                         [this, id](PeerMessage &&message) {
                                                                             m_handler(id, std::move(message));
                                                                         },
                                                                     .m_onClosed =
                                                                         [this, id] {
                                                                             handleClosed(id);
                                                                         },
                                                                     .m_onUseChanged =
                                                                         [this, id] {
                                                                             account(id);
                                                                         }});
        ++m_openLinks;
        m_deadlineTimer.arm(link->deadline());
        m_links.emplace(id, std::move(link));
        m_guard.open({m_number, id}, address, now);
        account(id);
        logEvent(LogLevel::Info, "frame_link_opened", {{"peer", peer}, {"link", id}});
        m_stateHandler(id, true);
    }

    /// Updates the budget with what a link holds. The budget may choose this link, which is closed then.
    auto account(LinkId id) -> void
    {
        if (const auto found = m_links.find(id); found != m_links.end() && found->second->isOpen()) {
            m_guard.update({m_number, id}, found->second->use());
        }
    }

    auto closeForGuard(LinkId id) -> void
    {
        if (const auto found = m_links.find(id); found != m_links.end()) {
            found->second->close("memory or links are short");
        }
    }

    auto handleClosed(LinkId id) -> void
    {
        --m_openLinks;
        m_guard.close({m_number, id});
        const TimePoint now = Clock::now();
        if (m_listener.isPaused() && m_guard.nextAcceptAt(m_number, now) <= now) {
            m_listener.resume();
        }
        // The link calls this function from within its own functions, so it is destroyed later.
        QMetaObject::invokeMethod(
            &m_context,
            [this, id] {
                m_links.erase(id);
                m_stateHandler(id, false);
            },
            Qt::QueuedConnection);
    }

    auto send(LinkId id, const PeerMessage &message) -> bool
    {
        const auto found = m_links.find(id);
        return found != m_links.end() && found->second->send(message);
    }

    [[nodiscard]] auto processDeadlines(TimePoint now) -> TimePoint
    {
        TimePoint next = TimePoint::max();
        for (const auto &[id, link] : m_links) {
            link->processDeadlines(now, m_configVersion);
            next = std::min(next, link->deadline());
        }
        return next;
    }

    FrameLimits m_limits;
    Handler m_handler;
    StateHandler m_stateHandler;
    ClientGuard m_guard;
    std::uint32_t m_number; ///< number of this server in m_guard
    std::unordered_map<LinkId, std::unique_ptr<FrameLink>> m_links;
    LinkId m_nextLink = 1;
    std::size_t m_openLinks = 0;
    std::uint64_t m_configVersion = 0;
    QObject m_context;
    DeadlineTimer m_deadlineTimer;
    Listener m_listener;
};

FrameServer::FrameServer(const FrameLimits &limits, Handler handler, StateHandler stateHandler)
    : m_d(std::make_unique<Private>(limits, std::move(handler), std::move(stateHandler)))
{
}

FrameServer::~FrameServer() = default;

auto FrameServer::listen(std::string_view address, std::uint16_t port) -> Result<std::uint16_t>
{
    const QHostAddress host(QString::fromUtf8(address.data(), static_cast<qsizetype>(address.size())));
    if (host.isNull() || !m_d->m_listener.listen(host, port)) {
        std::string message = "cannot listen on " + std::string(address) + ":" + std::to_string(port) + ": ";
        message += m_d->m_listener.errorString().toStdString();
        return failure(ErrorCode::Unavailable, std::move(message));
    }
    return m_d->m_listener.serverPort();
}

auto FrameServer::send(LinkId link, const PeerMessage &message) -> bool
{
    return m_d->send(link, message);
}

auto FrameServer::setConfigVersion(std::uint64_t version) noexcept -> void
{
    m_d->m_configVersion = version;
}

auto FrameServer::openLinks() const noexcept -> std::size_t
{
    return m_d->m_openLinks;
}
}
