#include "burdockspur/link/clientguard.hpp"

#include "burdockspur/link/memorybudget.hpp"
#include "burdockspur/link/portadmission.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/operations/logthrottle.hpp"

#include <QTimer>

#include <algorithm>
#include <string_view>
#include <unordered_map>

#if __has_include(<malloc.h>)
#    include <malloc.h>
#endif

namespace Burdockspur
{
namespace
{
/// Memory freed since the last peak, as a part of the total, above which it is given back to the system.
constexpr std::size_t trimShare = 8;
/// Sockets of closed connections are freed in a later pass of the event loop; also bounds how often memory is given back.
constexpr Milliseconds trimDelay{500};

/// The allocator keeps freed memory of a thread unless it is asked to give it back.
auto giveBackMemory() -> void
{
#ifdef __GLIBC__
    ::malloc_trim(0);
#endif
}
}

class ClientGuard::Private
{
public:
    explicit Private(const ClientLimits &limits)
        : m_limits(limits)
        , m_budget(limits)
    {
        m_trimTimer.setSingleShot(true);
        m_trimTimer.setInterval(trimDelay);
        QObject::connect(&m_trimTimer, &QTimer::timeout, &m_trimTimer, [this] {
            m_peakBytes = m_budget.heldBytes();
            giveBackMemory();
        });
    }

    struct Server {
        PortAdmission m_admission;
        CloseConnection m_closeConnection;
    };

    auto closeClient(ClientKey key) -> void
    {
        if (const auto server = m_servers.find(key.m_server); server != m_servers.end()) {
            server->second.m_closeConnection(key.m_connection);
        }
        remove(key);
    }

    auto remove(ClientKey key) -> void
    {
        m_budget.close(key);
        if (const auto server = m_servers.find(key.m_server); server != m_servers.end()) {
            server->second.m_admission.close(key.m_connection);
        }
    }

    /// Writes at most one line a second.
    auto log(std::string_view reason) -> void
    {
        if (const auto heldBack = m_throttle.admit(Clock::now())) {
            logEvent(LogLevel::Warning,
                     "clients_limited",
                     {{"reason", reason},
                      {"held_bytes", m_budget.heldBytes()},
                      {"limit_bytes", m_limits.m_totalBytes},
                      {"connections", m_budget.connections()},
                      {"closed_for_memory", m_counts.m_closedForMemory},
                      {"closed_for_descriptor", m_counts.m_closedForDescriptor},
                      {"refused_connections", m_counts.m_refusedConnections},
                      {"refused_requests", m_counts.m_refusedRequests},
                      {"held_back", *heldBack}});
        }
    }

    /// @param cause server whose client took the memory
    auto closeForMemory(ClientKey key, std::uint32_t cause) -> void
    {
        ++m_counts.m_closedForMemory;
        log("memory");
        if (const auto server = m_servers.find(cause); server != m_servers.end()) {
            server->second.m_admission.noteClosed(Clock::now());
        }
        closeClient(key);
    }

    auto noteHeld() -> void
    {
        const std::size_t held = m_budget.heldBytes();
        m_peakBytes = std::max(m_peakBytes, held);
        if (m_peakBytes - held > m_limits.m_totalBytes / trimShare && !m_trimTimer.isActive()) {
            m_trimTimer.start();
        }
    }

    ClientLimits m_limits;
    MemoryBudget m_budget;
    std::unordered_map<std::uint32_t, Server> m_servers;
    std::uint32_t m_lastServer = 0;
    ClientCounts m_counts;
    LogThrottle m_throttle;
    std::size_t m_peakBytes = 0; ///< most bytes held since memory was last given back
    QTimer m_trimTimer;
};

ClientGuard::ClientGuard(const ClientLimits &limits)
    : m_d(std::make_unique<Private>(limits))
{
}

ClientGuard::~ClientGuard() = default;

auto ClientGuard::addServer(const PortLimits &limits, CloseConnection closeConnection) -> std::uint32_t
{
    m_d->m_servers.emplace(++m_d->m_lastServer, Private::Server{PortAdmission(limits), std::move(closeConnection)});
    return m_d->m_lastServer;
}

auto ClientGuard::removeServer(std::uint32_t server) -> void
{
    m_d->m_servers.erase(server);
}

auto ClientGuard::open(ClientKey key, std::uint64_t address, TimePoint now) -> void
{
    m_d->m_budget.open(key, address, now);
    m_d->m_servers.at(key.m_server).m_admission.open(key.m_connection, address, now);
}

auto ClientGuard::update(ClientKey key, const ClientUse &use) -> void
{
    m_d->m_budget.update(key, use);
    m_d->m_servers.at(key.m_server).m_admission.update(key.m_connection, use.m_stage, use.m_servedAt);
    while (const auto victim = m_d->m_budget.victim()) {
        m_d->closeForMemory(*victim, key.m_server);
    }
    m_d->noteHeld();
}

auto ClientGuard::close(ClientKey key) -> void
{
    m_d->remove(key);
    m_d->noteHeld();
}

auto ClientGuard::settle(std::size_t bytes) -> void
{
    m_d->m_budget.settle(bytes);
    m_d->noteHeld();
}

auto ClientGuard::admit(ClientKey key, std::size_t bytes) -> bool
{
    while (const auto victim = m_d->m_budget.victimFor(bytes, key)) {
        m_d->closeForMemory(*victim, key.m_server);
    }
    if (m_d->m_budget.hasRoom(bytes)) {
        return true;
    }
    ++m_d->m_counts.m_refusedRequests;
    m_d->log("memory");
    return false;
}

auto ClientGuard::makeRoom(std::uint32_t server, std::uint64_t address, TimePoint now) -> bool
{
    PortAdmission &admission = m_d->m_servers.at(server).m_admission;
    if (!admission.isFull()) {
        return true;
    }
    const auto leaving = admission.displace(address, now);
    ++(leaving ? m_d->m_counts.m_closedForDescriptor : m_d->m_counts.m_refusedConnections);
    m_d->log("connections");
    if (leaving) {
        m_d->closeClient({server, *leaving});
    }
    return leaving.has_value();
}

auto ClientGuard::isFull(std::uint32_t server) const -> bool
{
    return m_d->m_servers.at(server).m_admission.isFull();
}

auto ClientGuard::nextAcceptAt(std::uint32_t server, TimePoint now) const -> TimePoint
{
    return m_d->m_servers.at(server).m_admission.nextAcceptAt(now);
}

auto ClientGuard::counts() const noexcept -> ClientCounts
{
    ClientCounts counts = m_d->m_counts;
    counts.m_heldBytes = m_d->m_budget.heldBytes();
    counts.m_connections = m_d->m_budget.connections();
    return counts;
}
}
