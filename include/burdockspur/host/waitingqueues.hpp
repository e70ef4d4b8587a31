#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace Burdockspur
{
/// @brief Queues of exchanges that wait for a free slot: one bounded queue per name, earliest deadline first.
///
/// The name is a service or a worker.
class WaitingQueues
{
public:
    /// @param capacity maximum number of entries in each queue
    explicit WaitingQueues(std::size_t capacity);

    /// @brief Adds an exchange to a queue.
    /// @returns the exchange with the earliest deadline, which is dropped if the queue was full
    [[nodiscard]] auto push(std::string_view name, TimePoint deadline, std::uint64_t exchange) -> std::optional<std::uint64_t>;

    /// @brief Removes and returns the exchange with the earliest deadline in a queue.
    [[nodiscard]] auto popFrom(std::string_view name) -> std::optional<std::uint64_t>;

    /// @brief Removes and returns the exchange with the earliest deadline in all queues.
    [[nodiscard]] auto popEarliest() -> std::optional<std::uint64_t>;

    /// @brief Removes an exchange; does nothing if it is not queued.
    auto remove(std::string_view name, TimePoint deadline, std::uint64_t exchange) -> void;

    [[nodiscard]] auto size() const noexcept -> std::size_t;

private:
    using Entry = std::pair<TimePoint, std::uint64_t>;

    std::size_t m_capacity;
    std::unordered_map<std::string, std::set<Entry>> m_queues;
    std::set<std::pair<Entry, std::string>> m_byDeadline;
};
}
