#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>

namespace Burdockspur
{
/// @brief Time at which a peer last made progress with a message: began, completed it or sent a larger part of it. Single bytes are no progress.
class ReceiveProgress
{
public:
    /// @brief Notes that a message began, or is complete.
    auto restart(TimePoint now) noexcept -> void
    {
        m_bytes = 0;
        m_at = now;
    }

    /// @brief Notes received bytes of a message; reads the clock only when they are progress.
    auto add(std::size_t bytes) noexcept -> void
    {
        m_bytes += bytes;
        if (m_bytes >= progressBytes) {
            restart(Clock::now());
        }
    }

    [[nodiscard]] auto at() const noexcept -> TimePoint
    {
        return m_at;
    }

private:
    /// Bytes of a message that count as progress.
    static constexpr std::size_t progressBytes = std::size_t{4} * 1024;

    std::size_t m_bytes = 0; ///< received since m_at
    TimePoint m_at;
};
}
