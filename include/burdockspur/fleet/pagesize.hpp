#pragma once

#include "burdockspur/core/clock.hpp"

#include <algorithm>
#include <cstdint>

namespace Burdockspur
{
/// @brief Adapts the number of rows requested per page of a list, so that on any link an answer takes only a fraction of the timeout of
/// a call.
class PageSize
{
public:
    /// @brief Number of rows to request with the next page.
    [[nodiscard]] auto rows() const noexcept -> std::uint32_t
    {
        return m_rows;
    }

    /// @brief Adapts the size to the duration of an answered read.
    auto recordAnswered(Duration took) noexcept -> void
    {
        if (took < fastAnswer) {
            m_rows = std::min(maxRows, m_rows * 2);
        } else if (took > slowAnswer) {
            m_rows = std::max(minRows, m_rows / 2);
        }
    }

    /// @brief Reduces the size after a failed read.
    auto recordFailed() noexcept -> void
    {
        m_rows = std::max(minRows, m_rows / 2);
    }

private:
    static constexpr std::uint32_t initialRows = 64; ///< about 0.2 s at 10 Mbit/s with rows of 4 KB
    static constexpr std::uint32_t minRows = 4;
    static constexpr std::uint32_t maxRows = 500; ///< maximum rows of one answer (limit of the platform)
    /// A read that takes less than this doubles the size.
    static constexpr Milliseconds fastAnswer{120};
    /// A read that takes longer than this halves the size: the owner's heartbeats share the link with the pages and must arrive well
    /// within the timeout after which an owner is replaced.
    static constexpr Milliseconds slowAnswer{350};

    std::uint32_t m_rows = initialRows;
};
}
