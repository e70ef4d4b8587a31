#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/wakedescriptor.hpp"

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace Burdockspur
{
/// @brief Bounded queue between two duties.
///
/// Any thread may push; a single duty consumes. A duty with a blocking loop calls takeUntil(); a duty with an
/// event loop watches wakeDescriptor() and calls drain(). Neither spins.
///
/// @code
/// BoundedRing<Event> ring(1024);
/// if (!ring.tryPush(event)) { refuse(event); }
/// @endcode
template<typename T>
class BoundedRing
{
public:
    /// @param capacity maximum number of entries; 0 counts as 1
    explicit BoundedRing(std::size_t capacity)
        : m_entries(capacity == 0 ? 1 : capacity)
    {
    }

    /// @brief Adds an entry.
    /// @param entry moved from only on success
    /// @returns false when the ring is full or closed; the caller keeps the entry
    [[nodiscard]] auto tryPush(T &&entry) -> bool
    {
        {
            const std::scoped_lock lock(m_mutex);
            if (m_closed || m_count == m_entries.size()) {
                return false;
            }
            m_entries[(m_head + m_count) % m_entries.size()].emplace(std::move(entry));
            ++m_count;
            if (m_count > 1) {
                // The consumer was signalled for an earlier entry and takes all of them.
                return true;
            }
        }
        m_ready.notify_one();
        m_wake.signal();
        return true;
    }

    /// @brief Takes every entry without waiting.
    /// @param entries appended to
    /// @returns number of entries taken
    auto drain(std::vector<T> &entries) -> std::size_t
    {
        m_wake.clear();
        const std::scoped_lock lock(m_mutex);
        return takeAll(entries);
    }

    /// @brief Waits for an entry, close() or the deadline, then takes every entry.
    /// @param deadline latest time to return
    /// @param entries appended to
    /// @returns number of entries taken, 0 at the deadline or when closed
    auto takeUntil(TimePoint deadline, std::vector<T> &entries) -> std::size_t
    {
        std::unique_lock lock(m_mutex);
        m_ready.wait_until(lock, deadline, [this] {
            return m_count > 0 || m_closed;
        });
        return takeAll(entries);
    }

    /// @brief Refuses further entries and wakes the consumer.
    auto close() -> void
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_closed = true;
        }
        m_ready.notify_all();
        m_wake.signal();
    }

    /// @brief True after close().
    [[nodiscard]] auto isClosed() const -> bool
    {
        const std::scoped_lock lock(m_mutex);
        return m_closed;
    }

    /// @brief Number of entries waiting.
    [[nodiscard]] auto size() const -> std::size_t
    {
        const std::scoped_lock lock(m_mutex);
        return m_count;
    }

    /// @brief Descriptor that is readable while entries wait.
    [[nodiscard]] auto wakeDescriptor() const noexcept -> int
    {
        return m_wake.descriptor();
    }

private:
    auto takeAll(std::vector<T> &entries) -> std::size_t
    {
        const std::size_t taken = m_count;
        for (; m_count > 0; --m_count) {
            entries.push_back(std::move(*m_entries[m_head]));
            m_entries[m_head].reset();
            m_head = (m_head + 1) % m_entries.size();
        }
        return taken;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_ready;
    WakeDescriptor m_wake;
    std::vector<std::optional<T>> m_entries;
    std::size_t m_head = 0;
    std::size_t m_count = 0;
    bool m_closed = false;
};
}
