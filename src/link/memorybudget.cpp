#include "burdockspur/link/memorybudget.hpp"

#include <algorithm>
#include <compare>
#include <tuple>

namespace Burdockspur
{
namespace
{
/// Time without progress after which a connection that has sent no complete request may lose its descriptor to a new one.
constexpr Milliseconds unusedPatience{1'000};
/// The same for a connection that has; an ordinary caller keeps it for its next request.
constexpr Milliseconds usedPatience{5'000};
}

MemoryBudget::MemoryBudget(const ClientLimits &limits) noexcept
    : m_limits(limits)
{
}

auto MemoryBudget::open(ClientKey key, std::uint64_t address, TimePoint now) -> void
{
    Client client;
    client.m_address = address;
    client.m_use.m_progressAt = now;
    if (m_clients.emplace(key, client).second) {
        ++m_connectionsByAddress[{key.m_server, address}];
    }
}

auto MemoryBudget::add(std::uint64_t address, const ClientUse &use) -> void
{
    m_held += use.m_bytes;
    m_heldByLarge += isLarge(use) ? use.m_bytes : 0;
    m_underWay += use.m_bytesUnderWay;
    m_bytesByAddress[address] += use.m_bytes;
}

auto MemoryBudget::subtract(std::uint64_t address, const ClientUse &use) -> void
{
    m_held -= use.m_bytes;
    m_heldByLarge -= isLarge(use) ? use.m_bytes : 0;
    m_underWay -= use.m_bytesUnderWay;
    const auto ofAddress = m_bytesByAddress.find(address);
    if (ofAddress == m_bytesByAddress.end()) {
        return;
    }
    ofAddress->second -= use.m_bytes;
    if (ofAddress->second == 0) {
        m_bytesByAddress.erase(ofAddress);
    }
}

auto MemoryBudget::update(ClientKey key, const ClientUse &use) -> void
{
    const auto found = m_clients.find(key);
    if (found == m_clients.end()) {
        return;
    }
    subtract(found->second.m_address, found->second.m_use);
    found->second.m_use = use;
    add(found->second.m_address, use);
}

auto MemoryBudget::close(ClientKey key) -> void
{
    const auto found = m_clients.find(key);
    if (found == m_clients.end()) {
        return;
    }
    const std::uint64_t address = found->second.m_address;
    ClientUse freed = found->second.m_use;
    freed.m_bytesUnderWay = 0;
    subtract(address, freed);
    m_clients.erase(found);
    const auto count = m_connectionsByAddress.find({key.m_server, address});
    if (--count->second == 0) {
        m_connectionsByAddress.erase(count);
    }
}

auto MemoryBudget::settle(std::size_t bytes) noexcept -> void
{
    m_underWay -= std::min(bytes, m_underWay);
}

auto MemoryBudget::hasRoom(std::size_t bytes) const noexcept -> bool
{
    const std::size_t kept = bytes > m_limits.m_ordinaryBytes ? m_limits.m_keptBytes : 0;
    return heldBytes() + bytes + kept <= m_limits.m_totalBytes;
}

auto MemoryBudget::victim() const -> std::optional<ClientKey>
{
    if (!hasRoom(0)) {
        const auto large = choose(true, std::nullopt);
        return large ? large : choose(false, std::nullopt);
    }
    return m_heldByLarge > m_limits.m_totalBytes - m_limits.m_keptBytes ? choose(true, std::nullopt) : std::nullopt;
}

auto MemoryBudget::victimFor(std::size_t bytes, ClientKey by) const -> std::optional<ClientKey>
{
    return hasRoom(bytes) ? std::nullopt : choose(true, by);
}

auto MemoryBudget::choose(bool onlyLarge, std::optional<ClientKey> except) const -> std::optional<ClientKey>
{
    /// Of two connections, the one with the smaller rank goes first.
    const auto rank = [this](const auto &entry) {
        const auto &[key, client] = entry;
        const auto bytes = m_bytesByAddress.find(client.m_address);
        const std::size_t ofAddress = bytes == m_bytesByAddress.end() ? 0 : bytes->second;
        return std::tuple(~ofAddress, client.m_address, client.m_use.m_hasUnanswered, client.m_use.m_progressAt, ~key.m_connection, key.m_server);
    };
    std::optional<ClientKey> first;
    std::optional<decltype(rank(*m_clients.begin()))> firstRank;
    for (const auto &entry : m_clients) {
        const auto &[key, client] = entry;
        if (client.m_use.m_bytes == 0 || (onlyLarge && !isLarge(client.m_use)) || (except && *except == key)) {
            continue;
        }
        const auto ofEntry = rank(entry);
        if (!firstRank || ofEntry < *firstRank) {
            first = key;
            firstRank = ofEntry;
        }
    }
    return first;
}

auto MemoryBudget::idlest(std::uint32_t server, std::uint64_t address, TimePoint now) const -> std::optional<ClientKey>
{
    const auto countOf = [this, server](std::uint64_t ofAddress) {
        const auto found = m_connectionsByAddress.find({server, ofAddress});
        return found == m_connectionsByAddress.end() ? std::size_t{0} : found->second;
    };
    const std::size_t own = countOf(address);
    std::optional<ClientKey> first;
    std::optional<std::tuple<std::size_t, bool, TimePoint, std::uint64_t>> firstRank;
    for (const auto &[key, client] : m_clients) {
        const ClientUse &use = client.m_use;
        if (key.m_server != server || use.m_hasUnanswered) {
            continue;
        }
        const std::size_t ofAddress = countOf(client.m_address);
        const Milliseconds patience = use.m_hasCompletedRequest ? usedPatience : unusedPatience;
        // An address that has more connections than the new one's has no claim to them.
        if (ofAddress <= own + 1 && now - use.m_progressAt < patience) {
            continue;
        }
        const std::tuple ofEntry(~ofAddress, use.m_hasCompletedRequest, use.m_progressAt, ~key.m_connection);
        if (!firstRank || ofEntry < *firstRank) {
            first = key;
            firstRank = ofEntry;
        }
    }
    return first;
}
}
