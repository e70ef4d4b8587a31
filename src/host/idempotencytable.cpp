#include "burdockspur/host/idempotencytable.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/core/invariant.hpp"
#include "burdockspur/host/routerlimits.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
constexpr std::size_t keyPartSize = 33; // `k` and 32 hex digits

[[nodiscard]] auto sizeOf(const KeyEntry &entry) noexcept -> std::size_t
{
    return entry.m_answer.m_body.size();
}
}

auto requestIdOfKey(const ServiceRequest &request) -> std::string
{
    // The length prefix distinguishes ("ab", "c") from ("a", "bc").
    std::string text = std::to_string(request.m_caller.size());
    text.append(":").append(request.m_caller).append(request.m_idempotencyKey);
    const auto content = hashOf(request.m_body, hashOf(request.m_service));
    return "k" + hexOf(hashOf(text, 1)) + hexOf(hashOf(text, 2)) + "-" + hexOf(content);
}

auto keyPartOf(std::string_view requestId) noexcept -> std::string_view
{
    return requestId.substr(0, keyPartSize);
}

IdempotencyTable::IdempotencyTable(const RouterLimits &limits)
    : m_limits(limits)
{
}

auto IdempotencyTable::lookUp(std::string_view id, TimePoint now) -> KeyState
{
    removeExpired(now);
    const auto found = m_entries.find(std::string(keyPartOf(id)));
    if (found == m_entries.end()) {
        return KeyState::New;
    }
    return found->second.m_id == id ? found->second.m_state : KeyState::Conflict;
}

auto IdempotencyTable::entry(std::string_view id) const -> const KeyEntry &
{
    const auto found = m_entries.find(std::string(keyPartOf(id)));
    requireInvariant(found != m_entries.end(), "idempotency_entry_known", id);
    return found->second;
}

auto IdempotencyTable::markInProgress(std::string_view id, std::uint64_t exchange, TimePoint now) -> bool
{
    removeExpired(now);
    std::string name(keyPartOf(id));
    const bool known = m_entries.contains(name);
    if (!known && m_entries.size() >= m_limits.m_idempotencyEntries) {
        evictOldest();
        if (m_entries.size() >= m_limits.m_idempotencyEntries) {
            return false;
        }
    }
    auto &entry = m_entries[std::move(name)];
    entry.m_state = KeyState::InProgress;
    entry.m_id = id;
    entry.m_exchange = exchange;
    entry.m_expires = TimePoint::max();
    return true;
}

auto IdempotencyTable::store(std::string_view id, const RequestAnswer &answer, TimePoint now) -> void
{
    const auto found = m_entries.find(std::string(keyPartOf(id)));
    requireInvariant(found != m_entries.end(), "idempotency_entry_known", id);
    found->second.m_state = KeyState::Stored;
    found->second.m_answer = answer;
    m_bytes += sizeOf(found->second);
    finish(id, found->second, now);
    while (m_bytes > m_limits.m_idempotencyBytes && !m_finished.empty()) {
        evictOldest();
    }
}

auto IdempotencyTable::storeUnresolved(std::string_view id, std::string_view worker, std::string_view incarnation, TimePoint now) -> void
{
    const auto found = m_entries.find(std::string(keyPartOf(id)));
    requireInvariant(found != m_entries.end(), "idempotency_entry_known", id);
    found->second.m_state = KeyState::Unresolved;
    found->second.m_worker = worker;
    found->second.m_incarnation = incarnation;
    finish(id, found->second, now);
}

auto IdempotencyTable::remove(std::string_view id) -> void
{
    const auto found = m_entries.find(std::string(keyPartOf(id)));
    if (found != m_entries.end()) {
        m_bytes -= sizeOf(found->second);
        m_entries.erase(found);
    }
}

auto IdempotencyTable::size() const noexcept -> std::size_t
{
    return m_entries.size();
}

auto IdempotencyTable::bytes() const noexcept -> std::size_t
{
    return m_bytes;
}

auto IdempotencyTable::finish(std::string_view id, KeyEntry &entry, TimePoint now) -> void
{
    entry.m_expires = now + m_limits.m_idempotencyTtl;
    m_finished.push_back({entry.m_expires, std::string(id)});
}

auto IdempotencyTable::removeExpired(TimePoint now) -> void
{
    while (!m_finished.empty() && m_finished.front().m_expires <= now) {
        removeOldest();
    }
}

auto IdempotencyTable::mayHaveEvicted(TimePoint now) const noexcept -> bool
{
    return now < m_evictedUntil;
}

auto IdempotencyTable::evictOldest() -> void
{
    m_evictedUntil = std::max(m_evictedUntil, removeOldest());
}

auto IdempotencyTable::removeOldest() -> TimePoint
{
    while (!m_finished.empty()) {
        const FinishedKey oldest = std::move(m_finished.front());
        m_finished.pop_front();
        const auto found = m_entries.find(std::string(keyPartOf(oldest.m_id)));
        // An entry that was in progress again in the meantime has another expiry and is in the list a second time.
        if (found != m_entries.end() && found->second.m_expires == oldest.m_expires) {
            remove(oldest.m_id);
            return oldest.m_expires;
        }
    }
    return TimePoint::min();
}
}
