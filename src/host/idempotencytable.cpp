#include "burdockspur/host/idempotencytable.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/core/invariant.hpp"
#include "burdockspur/host/routerlimits.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
constexpr std::size_t keyPartSize = 33;

[[nodiscard]] auto sizeOf(const KeyEntry &entry) noexcept -> std::size_t
{
    return entry.m_answer.m_body.size();
}
}

auto requestIdOfKey(const ServiceRequest &request) -> std::string
{
    // The length prefix keeps ("ab", "c") and ("a", "bc") apart.
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

auto IdempotencyTable::begin(std::string_view id, std::uint64_t exchange, TimePoint now) -> bool
{
    removeExpired(now);
    std::string name(keyPartOf(id));
    const bool known = m_entries.contains(name);
    if (!known && m_entries.size() >= m_limits.m_idempotencyEntries) {
        makeRoom();
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
        makeRoom();
    }
}

auto IdempotencyTable::leaveUnresolved(std::string_view id, std::string_view worker, std::string_view incarnation, TimePoint now) -> void
{
    const auto found = m_entries.find(std::string(keyPartOf(id)));
    requireInvariant(found != m_entries.end(), "idempotency_entry_known", id);
    found->second.m_state = KeyState::Unresolved;
    found->second.m_worker = worker;
    found->second.m_incarnation = incarnation;
    finish(id, found->second, now);
}

auto IdempotencyTable::forget(std::string_view id) -> void
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

auto IdempotencyTable::mayHaveForgotten(TimePoint now) const noexcept -> bool
{
    return now < m_forgottenUntil;
}

auto IdempotencyTable::makeRoom() -> void
{
    m_forgottenUntil = std::max(m_forgottenUntil, removeOldest());
}

auto IdempotencyTable::removeOldest() -> TimePoint
{
    while (!m_finished.empty()) {
        const Age age = std::move(m_finished.front());
        m_finished.pop_front();
        const auto found = m_entries.find(std::string(keyPartOf(age.m_id)));
        // An entry that is in use again has another expiry and a later place in the list.
        if (found != m_entries.end() && found->second.m_expires == age.m_expires) {
            forget(age.m_id);
            return age.m_expires;
        }
    }
    return TimePoint::min();
}
}
