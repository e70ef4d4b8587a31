#include "burdockspur/link/portadmission.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace Burdockspur
{
namespace
{
/// Time in which the first request of an ordinary caller, or its next part of an answer, is on its way.
constexpr Milliseconds travelTime{250};

/// Connections of a stage that a new one may displace.
struct Candidates {
    ClientStage m_stage;
    bool m_hasPatience; ///< only those that have been in the stage for its patience
    bool m_isOfCrowdedAddress; ///< only those of an address with more connections than the new one's
};

/// The first that are found go first. Requests that were handed in are never cut off.
constexpr std::array<Candidates, 6> candidateOrder{{
    {ClientStage::Incomplete, true, false},
    {ClientStage::Unread, true, false},
    {ClientStage::Idle, true, false},
    {ClientStage::Unread, false, false},
    {ClientStage::Incomplete, false, false},
    {ClientStage::Idle, false, true},
}};

/// Part of the connections that may be displaced, or refused, at once.
constexpr std::size_t burstPart = 8;

[[nodiscard]] auto shortestInterval(const PortLimits &limits) -> Duration
{
    return Duration(std::chrono::seconds(1)) / static_cast<std::int64_t>(std::max<std::uint32_t>(limits.m_maxTurnover, 1));
}

[[nodiscard]] auto burstOf(const PortLimits &limits) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::max<std::size_t>(limits.m_maxConnections / burstPart, 1));
}

/// A connection that may be displaced stays for about the travel time or longer, also on a port with few connections.
[[nodiscard]] auto displacementInterval(const PortLimits &limits) -> Duration
{
    const auto connections = static_cast<std::int64_t>(std::max<std::size_t>(limits.m_maxConnections, 1));
    return std::max(Duration(travelTime) / connections, shortestInterval(limits));
}
}

PortAdmission::PortAdmission(const PortLimits &limits)
    : m_limits(limits)
    , m_displacements(displacementInterval(limits), burstOf(limits))
    , m_refusals(shortestInterval(limits), burstOf(limits))
{
}

auto PortAdmission::open(std::uint64_t connection, std::uint64_t address, TimePoint now) -> void
{
    const Client client{address, ClientStage::Incomplete, now};
    if (m_clients.emplace(connection, client).second) {
        ++m_connectionsByAddress[address];
        insert(connection, client);
    }
}

auto PortAdmission::update(std::uint64_t connection, ClientStage stage, TimePoint servedAt) -> void
{
    const auto found = m_clients.find(connection);
    if (found == m_clients.end()) {
        return;
    }
    Client &client = found->second;
    const TimePoint since = stage == ClientStage::Incomplete ? client.m_since : servedAt;
    if (client.m_stage != stage || client.m_since != since) {
        remove(connection, client);
        client.m_stage = stage;
        client.m_since = since;
        insert(connection, client);
    }
}

auto PortAdmission::close(std::uint64_t connection) -> void
{
    const auto found = m_clients.find(connection);
    if (found == m_clients.end()) {
        return;
    }
    remove(connection, found->second);
    const auto count = m_connectionsByAddress.find(found->second.m_address);
    if (--count->second == 0) {
        m_connectionsByAddress.erase(count);
    }
    m_clients.erase(found);
}

auto PortAdmission::insert(std::uint64_t connection, const Client &client) -> void
{
    m_inUse += client.m_stage == ClientStage::Busy ? 1 : 0;
    m_waiting[static_cast<std::size_t>(client.m_stage)][client.m_address].emplace(client.m_since, connection);
}

auto PortAdmission::remove(std::uint64_t connection, const Client &client) -> void
{
    m_inUse -= client.m_stage == ClientStage::Busy ? 1 : 0;
    auto &byAddress = m_waiting[static_cast<std::size_t>(client.m_stage)];
    const auto found = byAddress.find(client.m_address);
    found->second.erase({client.m_since, connection});
    if (found->second.empty()) {
        byAddress.erase(found);
    }
}

auto PortAdmission::connectionsOf(std::uint64_t address) const -> std::size_t
{
    const auto found = m_connectionsByAddress.find(address);
    return found == m_connectionsByAddress.end() ? 0 : found->second;
}

auto PortAdmission::longest(ClientStage stage, Duration patience, std::size_t fewestOfAddress, TimePoint now) const -> std::optional<std::uint64_t>
{
    std::optional<std::uint64_t> first;
    std::tuple<std::size_t, TimePoint> firstRank;
    for (const auto &[address, waiting] : m_waiting[static_cast<std::size_t>(stage)]) {
        const auto &[since, connection] = *waiting.begin();
        const std::size_t ofAddress = connectionsOf(address);
        if (now - since < patience || ofAddress < fewestOfAddress) {
            continue;
        }
        const std::tuple rank(std::numeric_limits<std::size_t>::max() - ofAddress, since);
        if (!first || rank < firstRank) {
            first = connection;
            firstRank = rank;
        }
    }
    return first;
}

auto PortAdmission::canDisplace() const noexcept -> bool
{
    return m_inUse < m_clients.size();
}

auto PortAdmission::nextAcceptAt(TimePoint now) const noexcept -> TimePoint
{
    return (!isFull() || canDisplace() ? m_displacements : m_refusals).nextAt(now);
}

auto PortAdmission::noteClosed(TimePoint now) noexcept -> void
{
    m_displacements.forceTake(now, travelTime);
}

auto PortAdmission::displace(std::uint64_t address, TimePoint now) -> std::optional<std::uint64_t>
{
    (canDisplace() ? m_displacements : m_refusals).tryTake(now);
    // The new connection counts as one of its address already.
    const std::size_t crowded = connectionsOf(address) + 2;
    for (const auto &candidates : candidateOrder) {
        const Duration patience = candidates.m_stage == ClientStage::Idle ? m_limits.m_shortestIdle : travelTime;
        const std::size_t fewest = candidates.m_isOfCrowdedAddress ? crowded : 0;
        if (const auto connection = longest(candidates.m_stage, candidates.m_hasPatience ? patience : Duration::zero(), fewest, now)) {
            return connection;
        }
    }
    return std::nullopt;
}
}
