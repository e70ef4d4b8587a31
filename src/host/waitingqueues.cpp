#include "burdockspur/host/waitingqueues.hpp"

namespace Burdockspur
{
WaitingQueues::WaitingQueues(std::size_t capacity)
    : m_capacity(capacity)
{
}

auto WaitingQueues::push(std::string_view name, TimePoint deadline, std::uint64_t exchange) -> std::optional<std::uint64_t>
{
    const Entry entry(deadline, exchange);
    auto &queue = m_queues[std::string(name)];
    queue.insert(entry);
    m_byDeadline.emplace(entry, name);
    // Drops the request with the earliest deadline, which is the least likely to be met.
    return queue.size() > m_capacity ? popFrom(name) : std::nullopt;
}

auto WaitingQueues::popFrom(std::string_view name) -> std::optional<std::uint64_t>
{
    const auto found = m_queues.find(std::string(name));
    if (found == m_queues.end()) {
        return std::nullopt;
    }
    const Entry entry = *found->second.begin();
    remove(name, entry.first, entry.second);
    return entry.second;
}

auto WaitingQueues::popEarliest() -> std::optional<std::uint64_t>
{
    return m_byDeadline.empty() ? std::nullopt : popFrom(std::string(m_byDeadline.begin()->second));
}

auto WaitingQueues::remove(std::string_view name, TimePoint deadline, std::uint64_t exchange) -> void
{
    const auto found = m_queues.find(std::string(name));
    if (found == m_queues.end()) {
        return;
    }
    const Entry entry(deadline, exchange);
    m_byDeadline.erase({entry, std::string(name)});
    found->second.erase(entry);
    if (found->second.empty()) {
        m_queues.erase(found);
    }
}

auto WaitingQueues::size() const noexcept -> std::size_t
{
    return m_byDeadline.size();
}
}
