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

/// @brief State of an idempotency key on this entry host.
enum class KeyState : std::uint8_t {
    New, ///< not in the table
    InProgress, ///< the exchange m_exchange is handling it
    Stored, ///< finished; m_answer is the final answer
    Unresolved, ///< sent to m_worker, and the outcome is unknown
    Conflict, ///< used before with another service or body
};

/// @brief Entry of an idempotency key in the table.
struct KeyEntry {
    KeyState m_state = KeyState::New;
    std::string m_id; ///< request id
    std::uint64_t m_exchange = 0;
    std::string m_worker;
    std::string m_incarnation; ///< incarnation of m_worker known before the request was sent
    RequestAnswer m_answer;
    TimePoint m_expires = TimePoint::max();
};

/// @brief Derives the request id of a request with an idempotency key.
///
/// Every entry host derives the same id, so a worker recognises a request that another entry host has already sent.
/// The id covers the body because workers compare ids only: without it, a reused key would return the answer to
/// another body.
/// @returns `k`, 32 hex digits for caller and key, `-`, 16 hex digits for service and body
[[nodiscard]] auto requestIdOfKey(const ServiceRequest &request) -> std::string;

/// @brief Returns the part of a request id that identifies caller and key.
[[nodiscard]] auto keyPartOf(std::string_view requestId) noexcept -> std::string_view;

/// @brief Stores idempotency keys with their answers, bounded in number, bytes and age.
///
/// @code
/// const auto id = requestIdOfKey(request);
/// if (table.lookUp(id, now) == KeyState::New && !table.markInProgress(id, exchange, now)) { refuse(); }
/// @endcode
class IdempotencyTable
{
public:
    /// @param limits number, bytes and lifetime of entries; must outlive the table
    explicit IdempotencyTable(const RouterLimits &limits);

    /// @brief Returns the state of the key of a request id; expired entries count as new.
    [[nodiscard]] auto lookUp(std::string_view id, TimePoint now) -> KeyState;

    /// @brief Returns the entry of a key whose state is neither New nor Conflict.
    [[nodiscard]] auto entry(std::string_view id) const -> const KeyEntry &;

    /// @brief Marks a key as in progress; a full table evicts its oldest finished key.
    /// @returns false if the table is full and every entry is in progress
    [[nodiscard]] auto markInProgress(std::string_view id, std::uint64_t exchange, TimePoint now) -> bool;

    /// @brief Stores the final answer of a key.
    auto store(std::string_view id, const RequestAnswer &answer, TimePoint now) -> void;

    /// @brief Stores the worker that may have run the request, and its incarnation known before the request was sent.
    auto storeUnresolved(std::string_view id, std::string_view worker, std::string_view incarnation, TimePoint now) -> void;

    /// @brief Removes the entry of a key.
    auto remove(std::string_view id) -> void;

    /// @brief Returns true while an unknown key may be one that was evicted before it expired.
    [[nodiscard]] auto mayHaveEvicted(TimePoint now) const noexcept -> bool;

    [[nodiscard]] auto size() const noexcept -> std::size_t;
    [[nodiscard]] auto bytes() const noexcept -> std::size_t;

private:
    struct FinishedKey {
        TimePoint m_expires;
        std::string m_id;
    };

    auto finish(std::string_view id, KeyEntry &entry, TimePoint now) -> void;
    auto removeExpired(TimePoint now) -> void;
    auto evictOldest() -> void;
    auto removeOldest() -> TimePoint; ///< returns the expiry of the removed entry

    const RouterLimits &m_limits;
    std::unordered_map<std::string, KeyEntry> m_entries;
    std::deque<FinishedKey> m_finished; ///< by expiry; may contain keys that were removed or are in progress again
    TimePoint m_evictedUntil = TimePoint::min(); ///< latest expiry among the evicted entries
    std::size_t m_bytes = 0;
};
}
