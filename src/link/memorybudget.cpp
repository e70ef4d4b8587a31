#include "burdockspur/link/memorybudget.hpp"

#include <algorithm>
#include <compare>
#include <tuple>

namespace Burdockspur
{
MemoryBudget::MemoryBudget(const ClientLimits &limits) noexcept
    : m_limits(limits)
{
}

auto MemoryBudget::open(ClientKey key, std::uint64_t address, TimePoint now) -> void
{
    Client client;
    client.m_address = address;
    client.m_use.m_progressAt = now;
    m_clients.emplace(key, client);
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
    ClientUse freed = found->second.m_use;
    freed.m_bytesUnderWay = 0;
    subtract(found->second.m_address, freed);
    m_clients.erase(found);
}

auto MemoryBudget::settle(std::size_t bytes) noexcept -> void
{
    m_underWay -= std::min(bytes, m_underWay);
}

auto MemoryBudget::hasRoom(std::size_t bytes) const noexcept -> bool
{
    return heldBytes() + bytes + keptFor(bytes) <= m_limits.m_totalBytes;
}

auto MemoryBudget::victim() const -> std::optional<ClientKey>
{
    const Filter large = [this](const ClientUse &use) {
        return isLarge(use);
    };
    if (!hasRoom(0)) {
        const auto first = choose(large, std::nullopt);
        return first ? first
                     : choose(
                           [](const ClientUse &) {
                               return true;
                           },
                           std::nullopt);
    }
    return m_heldByLarge > m_limits.m_totalBytes - m_limits.m_keptBytes ? choose(large, std::nullopt) : std::nullopt;
}

auto MemoryBudget::victimFor(std::size_t bytes, ClientKey by) const -> std::optional<ClientKey>
{
    if (hasRoom(bytes) || m_underWay + bytes + keptFor(bytes) > m_limits.m_totalBytes) {
        return std::nullopt;
    }
    const auto large = choose(
        [this](const ClientUse &use) {
            return isLarge(use);
        },
        by);
    return large ? large : choose(&MemoryBudget::isIncomplete, by);
}

auto MemoryBudget::choose(const Filter &mayLeave, std::optional<ClientKey> except) const -> std::optional<ClientKey>
{
    /// Of two connections, the one with the smaller rank goes first.
    const auto rank = [this](const auto &entry) {
        const auto &[key, client] = entry;
        const auto bytes = m_bytesByAddress.find(client.m_address);
        const std::size_t ofAddress = bytes == m_bytesByAddress.end() ? 0 : bytes->second;
        const bool isBusy = client.m_use.m_stage == ClientStage::Busy;
        return std::tuple(~ofAddress, client.m_address, isBusy, client.m_use.m_progressAt, ~key.m_connection, key.m_server);
    };
    std::optional<ClientKey> first;
    std::optional<decltype(rank(*m_clients.begin()))> firstRank;
    for (const auto &entry : m_clients) {
        const auto &[key, client] = entry;
        if (client.m_use.m_bytes == 0 || !mayLeave(client.m_use) || (except && *except == key)) {
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
}
