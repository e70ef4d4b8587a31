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
/// @brief Exchanges that wait for a free slot: one bounded queue for each class, earliest deadline first.
class WaitingQueues
{
public:
    /// @param capacity most entries of a class
    explicit WaitingQueues(std::size_t capacity);

    /// @brief Adds an exchange.
    /// @returns the exchange with the earliest deadline when the class is full; it has been removed
    [[nodiscard]] auto push(std::string_view name, TimePoint deadline, std::uint64_t exchange) -> std::optional<std::uint64_t>;

    /// @brief Takes the exchange with the earliest deadline of a class.
    [[nodiscard]] auto popFrom(std::string_view name) -> std::optional<std::uint64_t>;

    /// @brief Takes the exchange with the earliest deadline of all classes.
    [[nodiscard]] auto popEarliest() -> std::optional<std::uint64_t>;

    /// @brief Removes an exchange; harmless when it does not wait.
    auto remove(std::string_view name, TimePoint deadline, std::uint64_t exchange) -> void;

    [[nodiscard]] auto size() const noexcept -> std::size_t;

private:
    using Entry = std::pair<TimePoint, std::uint64_t>;

    std::size_t m_capacity;
    std::unordered_map<std::string, std::set<Entry>> m_classes;
    std::set<std::pair<Entry, std::string>> m_all;
};
}
