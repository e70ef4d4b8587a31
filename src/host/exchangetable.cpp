#include "burdockspur/host/exchangetable.hpp"

#include "burdockspur/core/invariant.hpp"

#include <algorithm>

namespace Burdockspur
{
auto ExchangeTable::create(ServiceRequest &&request) -> Exchange &
{
    auto &exchange = m_exchanges[++m_lastNumber];
    exchange.m_number = m_lastNumber;
    exchange.m_request = std::move(request);
    return exchange;
}

auto ExchangeTable::find(std::uint64_t number) noexcept -> Exchange *
{
    const auto found = m_exchanges.find(number);
    return found == m_exchanges.end() ? nullptr : &found->second;
}

auto ExchangeTable::erase(Exchange &exchange) -> void
{
    requireInvariant(exchange.m_waiters.empty(), "exchange_answered", exchange.m_request.m_id);
    m_timers.erase({exchange.m_timer, exchange.m_number});
    m_exchanges.erase(exchange.m_number);
}

auto ExchangeTable::addWaiter(Exchange &exchange, const Waiter &waiter) -> void
{
    const bool added = m_tickets.emplace(waiter.m_ticket, exchange.m_number).second;
    requireInvariant(added, "ticket_unique", exchange.m_request.m_id);
    exchange.m_waiters.push_back(waiter);
    updateTimer(exchange);
}

auto ExchangeTable::removeWaiter(CallerTicket ticket) -> Exchange *
{
    const auto found = m_tickets.find(ticket);
    if (found == m_tickets.end()) {
        return nullptr;
    }
    Exchange *const exchange = find(found->second);
    m_tickets.erase(found);
    if (exchange == nullptr) {
        requireInvariant(false, "ticket_has_exchange", std::to_string(ticket));
        return nullptr;
    }
    std::erase_if(exchange->m_waiters, [ticket](const Waiter &waiter) {
        return waiter.m_ticket == ticket;
    });
    return exchange;
}

auto ExchangeTable::removeExpiredWaiters(Exchange &exchange, TimePoint now) -> std::vector<CallerTicket>
{
    std::vector<CallerTicket> expired;
    for (const auto &waiter : exchange.m_waiters) {
        if (waiter.m_expires <= now) {
            expired.push_back(waiter.m_ticket);
        }
    }
    for (const CallerTicket ticket : expired) {
        removeWaiter(ticket);
    }
    updateTimer(exchange);
    return expired;
}

auto ExchangeTable::setTimer(Exchange &exchange, TimePoint time) -> void
{
    exchange.m_stateTimer = time;
    updateTimer(exchange);
}

auto ExchangeTable::updateTimer(Exchange &exchange) -> void
{
    TimePoint earliest = exchange.m_stateTimer;
    for (const auto &waiter : exchange.m_waiters) {
        earliest = std::min(earliest, waiter.m_expires);
    }
    if (earliest == exchange.m_timer) {
        return;
    }
    m_timers.erase({exchange.m_timer, exchange.m_number});
    exchange.m_timer = earliest;
    if (earliest != TimePoint::max()) {
        m_timers.emplace(earliest, exchange.m_number);
    }
}

auto ExchangeTable::nextTimer() const noexcept -> TimePoint
{
    return m_timers.empty() ? TimePoint::max() : m_timers.begin()->first;
}

auto ExchangeTable::nextExpired(TimePoint now) noexcept -> Exchange *
{
    return nextTimer() <= now ? find(m_timers.begin()->second) : nullptr;
}

auto ExchangeTable::size() const noexcept -> std::size_t
{
    return m_exchanges.size();
}

auto ExchangeTable::waiterCount() const noexcept -> std::size_t
{
    return m_tickets.size();
}
}
