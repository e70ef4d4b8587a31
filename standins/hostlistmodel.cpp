#include "standins/hostlistmodel.hpp"

#include <algorithm>

namespace Burdockspur::Standins
{
auto HostListModel::set(TimePoint now, std::vector<HostRecord> hosts, Duration lag) -> void
{
    m_actual.m_hosts = std::move(hosts);
    ++m_actual.m_generation;
    // When the lag was lowered, a later change must still not become visible before an earlier one.
    const auto time = m_pending.empty() ? now + lag : std::max(now + lag, m_pending.back().first);
    m_pending.emplace_back(time, m_actual);
}

auto HostListModel::setState(TimePoint now, std::string_view host, HostState state, Duration lag) -> bool
{
    auto hosts = m_actual.m_hosts;
    const auto position = std::ranges::find(hosts, host, &HostRecord::m_name);
    if (position == hosts.end()) {
        return false;
    }
    position->m_state = state;
    set(now, std::move(hosts), lag);
    return true;
}

auto HostListModel::visible(TimePoint now) -> const HostListing &
{
    while (!m_pending.empty() && m_pending.front().first <= now) {
        m_visible = std::move(m_pending.front().second);
        m_pending.pop_front();
    }
    return m_visible;
}
}
