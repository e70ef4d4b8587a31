#pragma once

#include "burdockspur/core/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace Burdockspur::Standins
{
/// @brief One event of a worker.
struct JournalEntry {
    std::uint64_t m_sequence = 0; ///< consecutive from 1; dropped entries keep their numbers
    std::int64_t m_wallMs = 0; ///< milliseconds since the Unix epoch
    std::string m_event; ///< e.g. `task_started`, `task_ended`
    std::string m_state; ///< outcome of a task or request that ended; empty otherwise
    std::string m_task;
    AttemptNumber m_attempt = 0;
    std::string m_request;
    std::string m_key;
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
};

/// @brief Append-only event log of bounded size; drops the oldest entries.
class ExecutionJournal
{
public:
    /// @param capacity maximum number of entries
    explicit ExecutionJournal(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// @brief Adds an entry and assigns its sequence number.
    auto append(JournalEntry entry) -> void
    {
        entry.m_sequence = ++m_last;
        m_entries.push_back(std::move(entry));
        if (m_entries.size() > m_capacity) {
            m_entries.pop_front();
        }
    }

    /// @brief The entries kept, oldest first.
    [[nodiscard]] auto entries() const noexcept -> const std::deque<JournalEntry> &
    {
        return m_entries;
    }

    /// @brief Number of entries ever added.
    [[nodiscard]] auto last() const noexcept -> std::uint64_t
    {
        return m_last;
    }

private:
    std::size_t m_capacity;
    std::uint64_t m_last = 0;
    std::deque<JournalEntry> m_entries;
};
}
