#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/link/clientcounts.hpp"
#include "burdockspur/link/clientkey.hpp"
#include "burdockspur/link/clientlimits.hpp"
#include "burdockspur/link/clientuse.hpp"
#include "burdockspur/link/portlimits.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace Burdockspur
{
/// @brief Keeps the clients of several servers within one budget and each server within its connections: closes the connections that
/// MemoryBudget and PortAdmission choose, and gives freed memory back to the system.
///
/// Belongs to the thread of an EventLoopDuty, like the servers that share it.
class ClientGuard
{
public:
    /// @brief Closes a connection of a server at once; the server then calls close().
    using CloseConnection = std::function<void(std::uint64_t connection)>;

    explicit ClientGuard(const ClientLimits &limits);
    ~ClientGuard();
    ClientGuard(const ClientGuard &) = delete;
    ClientGuard(ClientGuard &&) = delete;
    auto operator=(const ClientGuard &) -> ClientGuard & = delete;
    auto operator=(ClientGuard &&) -> ClientGuard & = delete;

    /// @brief Adds a server.
    /// @returns its number for ClientKey
    [[nodiscard]] auto addServer(const PortLimits &limits, CloseConnection closeConnection) -> std::uint32_t;

    /// @brief Removes a server that has closed its connections.
    auto removeServer(std::uint32_t server) -> void;

    /// @brief Adds a connection; see MemoryBudget::open().
    auto open(ClientKey key, std::uint64_t address, TimePoint now) -> void;

    /// @brief Notes what a connection holds, and closes connections while memory is short; that may be this one.
    auto update(ClientKey key, const ClientUse &use) -> void;

    /// @brief Removes a closed connection.
    auto close(ClientKey key) -> void;

    /// @brief Notes the answer to a request of a closed connection; see MemoryBudget::settle().
    auto settle(std::size_t bytes) -> void;

    /// @brief Decides whether a complete request may be handed in; closes connections beyond an ordinary one for it.
    /// @param key its connection, which is not closed
    /// @param bytes that it will take
    /// @returns false when it must be refused; nothing of it may have run
    [[nodiscard]] auto admit(ClientKey key, std::size_t bytes) -> bool;

    /// @brief Makes room for a new connection of a server; closes another one of it when the server is full.
    /// @returns false when the new connection must be refused
    [[nodiscard]] auto makeRoom(std::uint32_t server, std::uint64_t address, TimePoint now) -> bool;

    /// @brief True when a server has as many connections as it may.
    [[nodiscard]] auto isFull(std::uint32_t server) const -> bool;

    /// @brief Earliest time at which a server may accept its next connection; see PortAdmission.
    [[nodiscard]] auto nextAcceptAt(std::uint32_t server, TimePoint now) const -> TimePoint;

    /// @brief Current use and counts.
    [[nodiscard]] auto counts() const noexcept -> ClientCounts;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};
}
