#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstdint>
#include <optional>

namespace Burdockspur
{
/// @brief Admits one log line a second, and counts those in between, for events that a single odd row may cause again and again.
class LogThrottle
{
public:
    /// @brief Decides about a line.
    /// @returns number of lines that were held back since the last one that was written; empty if this line is to be held back too
    [[nodiscard]] auto admit(TimePoint now) noexcept -> std::optional<std::uint64_t>;

private:
    std::optional<TimePoint> m_writtenAt;
    std::uint64_t m_heldBack = 0;
};
}
