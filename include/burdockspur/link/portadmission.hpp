#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/link/clientstage.hpp"
#include "burdockspur/link/portlimits.hpp"
#include "burdockspur/link/tokenbucket.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace Burdockspur
{
/// @brief Decides which connection of a full server is closed in favour of a new one, and how often that happens.
///
/// Has no I/O and no clock. The first request of an ordinary caller is complete shortly after it has connected, that of a crowd never is. So
/// the connections that have waited longest for their first request go first. New connections beyond PortLimits::m_maxTurnover wait in the
/// queue of the kernel, which costs nothing and keeps their order. So a crowd that connects again as soon as it is closed, for whatever reason, does not
/// take the processor.
///
/// @code
/// PortAdmission admission(limits);
/// if (admission.isFull() && admission.nextAcceptAt(now) <= now) {
///     if (const auto leaving = admission.displace(addressHash, now)) { close(*leaving); admission.close(*leaving); }
/// }
/// admission.open(7, addressHash, now);
/// @endcode
class PortAdmission
{
public:
    explicit PortAdmission(const PortLimits &limits);

    /// @brief Adds a connection that waits for its first request.
    /// @param connection must be unused
    /// @param address identifies the client's address; equal for all clients behind one balancer
    /// @param now time of its acceptance
    auto open(std::uint64_t connection, std::uint64_t address, TimePoint now) -> void;

    /// @brief Notes what a connection waits for; does nothing for one that is not open.
    /// @param servedAt see ClientUse; the time of acceptance counts for a connection without a complete request
    auto update(std::uint64_t connection, ClientStage stage, TimePoint servedAt) -> void;

    /// @brief Removes a connection.
    auto close(std::uint64_t connection) -> void;

    /// @brief True when a new connection finds no room.
    [[nodiscard]] auto isFull() const noexcept -> bool
    {
        return m_clients.size() >= m_limits.m_maxConnections;
    }

    /// @brief Earliest time at which the next connection may be accepted; now unless connections were closed or refused lately.
    [[nodiscard]] auto nextAcceptAt(TimePoint now) const noexcept -> TimePoint;

    /// @brief Notes that a connection was closed for another reason than a new one, such as want of memory; counts towards the turnover.
    auto noteClosed(TimePoint now) noexcept -> void;

    /// @brief Connection that a full server closes in favour of a new one; counts towards the turnover.
    /// @param address address of the new connection
    /// @returns nothing when the new connection must be refused
    [[nodiscard]] auto displace(std::uint64_t address, TimePoint now) -> std::optional<std::uint64_t>;

private:
    struct Client {
        std::uint64_t m_address = 0;
        ClientStage m_stage = ClientStage::Incomplete;
        TimePoint m_since;
    };

    /// Connections of one address and stage, the one that has been in it for the longest time first.
    using Waiting = std::set<std::pair<TimePoint, std::uint64_t>>;

    /// True unless all connections are in use.
    [[nodiscard]] auto canDisplace() const noexcept -> bool;
    [[nodiscard]] auto longest(ClientStage stage, Duration patience, std::size_t fewestOfAddress, TimePoint now) const -> std::optional<std::uint64_t>;
    [[nodiscard]] auto connectionsOf(std::uint64_t address) const -> std::size_t;
    auto insert(std::uint64_t connection, const Client &client) -> void;
    auto remove(std::uint64_t connection, const Client &client) -> void;

    PortLimits m_limits;
    TokenBucket m_displacements;
    TokenBucket m_refusals; ///< of new connections while all others are in use
    std::unordered_map<std::uint64_t, Client> m_clients;
    std::size_t m_inUse = 0; ///< connections with an unanswered request
    std::map<std::uint64_t, std::size_t> m_connectionsByAddress;
    std::array<std::map<std::uint64_t, Waiting>, clientStages> m_waiting; ///< by stage and address
};
}
