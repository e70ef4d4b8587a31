#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/link/clientkey.hpp"
#include "burdockspur/link/clientlimits.hpp"
#include "burdockspur/link/clientuse.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

namespace Burdockspur
{
/// @brief Decides which connection is closed when clients hold more memory than they may.
///
/// Counts what the connections of all servers of a thread hold; has no I/O and no clock. When memory is short, connections that hold more
/// than an ordinary one go first, those of the address that holds the most before all others, among these the ones that made no progress
/// for the longest time, and the youngest of equals. A part of the memory is kept for ordinary connections.
///
/// @code
/// MemoryBudget budget(limits);
/// budget.open({1, 7}, addressHash, now);
/// budget.update({1, 7}, use);
/// while (const auto victim = budget.victim()) { close(*victim); budget.close(*victim); }
/// @endcode
class MemoryBudget
{
public:
    explicit MemoryBudget(const ClientLimits &limits) noexcept;

    /// @brief Adds a connection.
    /// @param key must be unused
    /// @param address identifies the client's address; equal for all clients behind one balancer
    /// @param now time of its acceptance
    auto open(ClientKey key, std::uint64_t address, TimePoint now) -> void;

    /// @brief Replaces what a connection holds; does nothing for one that is not open.
    auto update(ClientKey key, const ClientUse &use) -> void;

    /// @brief Removes a connection; its requests under way count until settle().
    auto close(ClientKey key) -> void;

    /// @brief Removes requests of a closed connection that were answered.
    /// @param bytes as counted in ClientUse::m_bytesUnderWay
    auto settle(std::size_t bytes) noexcept -> void;

    /// @brief Connection to close because memory is short.
    /// @returns nothing when it is not, or when only requests under way hold memory
    [[nodiscard]] auto victim() const -> std::optional<ClientKey>;

    /// @brief Connection to close so that there is room for a request: one beyond an ordinary one, then one without a complete request.
    /// @param bytes that it takes
    /// @param by connection that takes them, which is never chosen
    /// @returns nothing when there is room, or when closing connections cannot make any
    [[nodiscard]] auto victimFor(std::size_t bytes, ClientKey by) const -> std::optional<ClientKey>;

    /// @brief True if there is room for a request; one beyond an ordinary connection cannot use the kept part.
    [[nodiscard]] auto hasRoom(std::size_t bytes) const noexcept -> bool;

    /// @brief Bytes held, with requests under way.
    [[nodiscard]] auto heldBytes() const noexcept -> std::size_t
    {
        return m_held + m_underWay;
    }

    /// @brief Number of open connections.
    [[nodiscard]] auto connections() const noexcept -> std::size_t
    {
        return m_clients.size();
    }

private:
    struct KeyHash {
        [[nodiscard]] auto operator()(const ClientKey &key) const noexcept -> std::size_t
        {
            return std::hash<std::uint64_t>{}((key.m_connection << 4U) ^ key.m_server);
        }
    };

    struct Client {
        std::uint64_t m_address = 0;
        ClientUse m_use;
    };

    [[nodiscard]] auto isLarge(const ClientUse &use) const noexcept -> bool
    {
        return use.m_bytes > m_limits.m_ordinaryBytes;
    }

    [[nodiscard]] static auto isIncomplete(const ClientUse &use) noexcept -> bool
    {
        return use.m_stage == ClientStage::Incomplete;
    }

    /// Connections among which one is chosen.
    using Filter = std::function<bool(const ClientUse &use)>;

    /// @brief Bytes that must stay free beside a request.
    [[nodiscard]] auto keptFor(std::size_t bytes) const noexcept -> std::size_t
    {
        return bytes > m_limits.m_ordinaryBytes ? m_limits.m_keptBytes : 0;
    }

    auto add(std::uint64_t address, const ClientUse &use) -> void;
    auto subtract(std::uint64_t address, const ClientUse &use) -> void;
    [[nodiscard]] auto choose(const Filter &mayLeave, std::optional<ClientKey> except) const -> std::optional<ClientKey>;

    ClientLimits m_limits;
    std::unordered_map<ClientKey, Client, KeyHash> m_clients;
    std::unordered_map<std::uint64_t, std::size_t> m_bytesByAddress;
    std::size_t m_held = 0; ///< by connections
    std::size_t m_heldByLarge = 0; ///< part of m_held of connections beyond an ordinary one
    std::size_t m_underWay = 0; ///< by requests that were handed in
};
}
