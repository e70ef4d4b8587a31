#pragma once

#include "burdockspur/contract/requestanswer.hpp"
#include "burdockspur/contract/servicerequest.hpp"
#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Burdockspur
{
struct RouterLimits;

/// @brief What is known about an idempotency key.
enum class KeyState : std::uint8_t {
    New,
    InProgress, ///< m_exchange is working on it
    Stored, ///< m_answer is final
    Unresolved, ///< sent to m_worker, outcome unknown
    Conflict, ///< used before with another body or service
};

/// @brief Entry of an idempotency key.
struct KeyEntry {
    KeyState m_state = KeyState::New;
    std::string m_id; ///< request id
    std::uint64_t m_exchange = 0;
    std::string m_worker;
    std::string m_incarnation; ///< of m_worker as known before the request was sent
    RequestAnswer m_answer;
    TimePoint m_expires = TimePoint::max();
};

/// @brief Request id that every entry host derives from a request with an idempotency key.
///
/// Because the id is the same everywhere, a worker that is asked about it by one entry host also knows
/// the request that another entry host sent. The body is part of it, because workers compare ids only: the
/// answer to another body under the same key would be delivered.
/// @returns `k`, 32 hex digits for caller and key, `-`, 16 hex digits for service and body
[[nodiscard]] auto requestIdOfKey(const ServiceRequest &request) -> std::string;

/// @brief The part of a request id that stands for caller and key.
[[nodiscard]] auto keyPartOf(std::string_view requestId) noexcept -> std::string_view;

/// @brief Remembers idempotency keys, bounded in number, bytes and time.
///
/// @code
/// const auto id = requestIdOfKey(request);
/// if (table.lookUp(id, now) == KeyState::New && !table.begin(id, exchange, now)) { refuse(); }
/// @endcode
class IdempotencyTable
{
public:
    /// @param limits bounds; must outlive the table
    explicit IdempotencyTable(const RouterLimits &limits);

    /// @brief State of the key of a request id; expired entries count as new.
    [[nodiscard]] auto lookUp(std::string_view id, TimePoint now) -> KeyState;

    /// @brief Entry of a key whose state is neither New nor Conflict.
    [[nodiscard]] auto entry(std::string_view id) const -> const KeyEntry &;

    /// @brief Marks a key as in progress; the oldest finished key gives way when the table is full.
    /// @returns false when every entry is in progress
    [[nodiscard]] auto begin(std::string_view id, std::uint64_t exchange, TimePoint now) -> bool;

    /// @brief Keeps the final answer.
    auto store(std::string_view id, const RequestAnswer &answer, TimePoint now) -> void;

    /// @brief Keeps the worker that may have run the request, and its incarnation as known before the send.
    auto leaveUnresolved(std::string_view id, std::string_view worker, std::string_view incarnation, TimePoint now) -> void;

    /// @brief Removes a key whose request did not run.
    auto forget(std::string_view id) -> void;

    /// @brief True while a key that is not known may have made room for others before it expired.
    [[nodiscard]] auto mayHaveForgotten(TimePoint now) const noexcept -> bool;

    [[nodiscard]] auto size() const noexcept -> std::size_t;
    [[nodiscard]] auto bytes() const noexcept -> std::size_t;

private:
    struct Age {
        TimePoint m_expires;
        std::string m_id;
    };

    auto finish(std::string_view id, KeyEntry &entry, TimePoint now) -> void;
    auto removeExpired(TimePoint now) -> void;
    auto makeRoom() -> void;
    auto removeOldest() -> TimePoint; ///< returns when the removed entry would have expired

    const RouterLimits &m_limits;
    std::unordered_map<std::string, KeyEntry> m_entries;
    std::deque<Age> m_finished; ///< in the order of expiry; may name entries that are gone or in use again
    TimePoint m_forgottenUntil = TimePoint::min(); ///< latest expiry of the entries that made room
    std::size_t m_bytes = 0;
};
}
