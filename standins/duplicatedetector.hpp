#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>

namespace Burdockspur::Standins
{
/// @brief Detects names that occur more than once among the most recently added ones.
class DuplicateDetector
{
public:
    /// @param capacity maximum number of names remembered; the oldest are dropped
    explicit DuplicateDetector(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// @brief Adds a name.
    /// @returns true when the name was already remembered
    auto add(std::string_view name) -> bool;

    /// @brief True when a name is among the remembered ones.
    [[nodiscard]] auto contains(std::string_view name) const -> bool;

private:
    std::size_t m_capacity;
    std::unordered_set<std::uint64_t> m_hashes;
    std::deque<std::uint64_t> m_order;
};
}
