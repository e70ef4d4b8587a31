#include "burdockspur/host/retrybudget.hpp"

#include "burdockspur/host/routerlimits.hpp"

#include <algorithm>

namespace Burdockspur
{
RetryBudget::RetryBudget(const RouterLimits &limits)
    : m_limits(limits)
{
}

auto RetryBudget::recordRequest(std::string_view caller, TimePoint now) -> void
{
    ++accountOf(caller, now).m_windows[0].m_requests;
}

auto RetryBudget::tryTake(std::string_view caller, TimePoint now) -> bool
{
    constexpr std::uint64_t percent = 100;
    auto &windows = accountOf(caller, now).m_windows;
    const auto requests = windows[0].m_requests + windows[1].m_requests;
    const auto retries = windows[0].m_retries + windows[1].m_retries;
    if (retries >= std::max<std::uint64_t>(m_limits.m_retryMinimum, requests * m_limits.m_retryPercent / percent)) {
        return false;
    }
    ++windows[0].m_retries;
    return true;
}

auto RetryBudget::callers() const noexcept -> std::size_t
{
    return m_accounts.size();
}

auto RetryBudget::accountOf(std::string_view caller, TimePoint now) -> Account &
{
    const std::int64_t period = now.time_since_epoch() / Duration(m_limits.m_retryWindow);
    if (period != m_lastCleaned) {
        removeIdle(period);
        m_lastCleaned = period;
    }
    std::string name(caller);
    auto found = m_accounts.find(name);
    if (found == m_accounts.end() && m_accounts.size() < m_limits.m_retryCallers) {
        found = m_accounts.try_emplace(std::move(name)).first;
        found->second.m_period = period;
    }
    auto &account = found == m_accounts.end() ? m_shared : found->second;
    if (account.m_period != period) {
        account.m_windows[1] = account.m_period + 1 == period ? account.m_windows[0] : Window{};
        account.m_windows[0] = Window{};
        account.m_period = period;
    }
    return account;
}

auto RetryBudget::removeIdle(std::int64_t period) -> void
{
    std::erase_if(m_accounts, [period](const auto &entry) {
        return entry.second.m_period + 1 < period;
    });
}
}
