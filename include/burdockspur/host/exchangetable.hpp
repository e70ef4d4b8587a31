#pragma once

#include "burdockspur/host/exchange.hpp"

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace Burdockspur
{
/// @brief Stores the requests in progress, the callers that wait for them, and their timers.
class ExchangeTable
{
public:
    /// @brief Adds an exchange with the next number.
    [[nodiscard]] auto create(ServiceRequest &&request) -> Exchange &;

    /// @returns nullptr if the exchange has ended
    [[nodiscard]] auto find(std::uint64_t number) noexcept -> Exchange *;

    /// @brief Removes an exchange that no caller waits for any more.
    auto erase(Exchange &exchange) -> void;

    /// @brief Adds a waiting caller to an exchange.
    auto addWaiter(Exchange &exchange, const Waiter &waiter) -> void;

    /// @brief Removes a caller from its exchange.
    /// @returns the exchange, or nullptr if the caller waits for none
    auto removeWaiter(CallerTicket ticket) -> Exchange *;

    /// @brief Removes the callers whose wait has expired.
    /// @returns their tickets
    [[nodiscard]] auto removeExpiredWaiters(Exchange &exchange, TimePoint now) -> std::vector<CallerTicket>;

    /// @brief Sets the timeout of the current state of an exchange.
    auto setTimer(Exchange &exchange, TimePoint time) -> void;

    /// @brief Returns the earliest timer, or TimePoint::max() if there is none.
    [[nodiscard]] auto nextTimer() const noexcept -> TimePoint;

    /// @brief Returns the exchange with the earliest timer if that has expired, or nullptr.
    [[nodiscard]] auto nextExpired(TimePoint now) noexcept -> Exchange *;

    /// @brief Returns the number of exchanges.
    [[nodiscard]] auto size() const noexcept -> std::size_t;

    /// @brief Returns the number of waiting callers over all exchanges.
    [[nodiscard]] auto waiterCount() const noexcept -> std::size_t;

private:
    auto updateTimer(Exchange &exchange) -> void;

    std::unordered_map<std::uint64_t, Exchange> m_exchanges;
    std::unordered_map<CallerTicket, std::uint64_t> m_tickets;
    std::set<std::pair<TimePoint, std::uint64_t>> m_timers;
    std::uint64_t m_lastNumber = 0;
};
}
