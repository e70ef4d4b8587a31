#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Burdockspur
{
/// @brief Number of requests, and how many of them were slow or failed.
struct BurnCount {
    std::uint64_t m_requests = 0;
    std::uint64_t m_slow = 0; ///< answered later than the latency target
    std::uint64_t m_failed = 0; ///< not answered

    auto operator+=(const BurnCount &other) noexcept -> BurnCount &;
    [[nodiscard]] auto operator==(const BurnCount &) const -> bool = default;

    /// @brief Number of requests that use up error budget.
    [[nodiscard]] auto bad() const noexcept -> std::uint64_t
    {
        return m_slow + m_failed;
    }
};

/// @brief Sliding window of counts: a ring of periods of equal length.
///
/// @code
/// BurnWindow hour(60, std::chrono::minutes(1));
/// hour.add({.m_requests = 1}, now);
/// const auto count = hour.sum(now);
/// @endcode
class BurnWindow
{
public:
    /// @param periods number of periods, the current one included
    /// @param periodLength length of one period
    BurnWindow(std::size_t periods, Duration periodLength);

    /// @brief Adds a count to the current period.
    auto add(const BurnCount &count, TimePoint now) -> void;

    /// @brief Sum of all periods of the window that ends now.
    [[nodiscard]] auto sum(TimePoint now) const -> BurnCount;

    /// @brief Count of each period of the window that ends now, oldest first.
    [[nodiscard]] auto periods(TimePoint now) const -> std::vector<BurnCount>;

    /// @brief Length of the whole window.
    [[nodiscard]] auto length() const noexcept -> Duration;

private:
    struct Period {
        std::int64_t m_number = -1; ///< index of the period since the epoch of the clock; -1: never used
        BurnCount m_count;
    };

    [[nodiscard]] auto periodNumberAt(TimePoint time) const noexcept -> std::int64_t;

    Duration m_periodLength;
    std::vector<Period> m_ring; ///< period n is at index n modulo the size
};
}
