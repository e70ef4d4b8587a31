#pragma once

#include "burdockspur/core/clock.hpp"

#include <algorithm>
#include <cstdint>

namespace Burdockspur
{
/// @brief How many rows one read of a list asks for, so that an answer takes a fraction of a call's time-out on any link.
class PageSize
{
public:
    [[nodiscard]] auto rows() const noexcept -> std::uint32_t
    {
        return m_rows;
    }

    /// @brief Takes the time of an answered read.
    auto noteAnswered(Duration took) noexcept -> void
    {
        if (took < fast) {
            m_rows = std::min(most, m_rows * 2);
        } else if (took > slow) {
            m_rows = std::max(least, m_rows / 2);
        }
    }

    auto noteFailed() noexcept -> void
    {
        m_rows = std::max(least, m_rows / 2);
    }

private:
    static constexpr std::uint32_t first = 64; ///< about 0.2 s at 10 Mbit/s with rows of 4 KB
    static constexpr std::uint32_t least = 4;
    static constexpr std::uint32_t most = 500; ///< rows of one answer (platform's bound)
    /// A sign of life shares the link with the pages and has to pass well within the silence after which an owner is replaced.
    static constexpr Milliseconds fast{120};
    static constexpr Milliseconds slow{350};

    std::uint32_t m_rows = first;
};
}
