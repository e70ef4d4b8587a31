#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>

namespace Burdockspur::Standins
{
/// @brief Remembers the latest names and tells which ones it has seen before.
class DuplicateDetector
{
public:
    /// @param capacity most names remembered
    explicit DuplicateDetector(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// @brief Remembers a name.
    /// @returns true when it was remembered already
    auto add(std::string_view name) -> bool;

    /// @brief True when a name is remembered.
    [[nodiscard]] auto contains(std::string_view name) const -> bool;

private:
    std::size_t m_capacity;
    std::unordered_set<std::uint64_t> m_hashes;
    std::deque<std::uint64_t> m_order;
};
}
