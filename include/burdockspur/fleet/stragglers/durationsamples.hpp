#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/stragglers/durationforecast.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <span>

namespace Burdockspur
{
/// @brief The latest durations of runs of one kind, in fixed memory.
class DurationSamples
{
public:
    /// Number of durations that are kept. Enough for a quantile of 0.9, and few enough that a change of the work shows within minutes.
    static constexpr std::size_t capacity = 64;

    /// @brief Adds a duration; replaces the oldest one when the memory is full.
    auto add(Duration took) noexcept -> void;

    [[nodiscard]] auto size() const noexcept -> std::size_t
    {
        return m_size;
    }

    /// @brief Forecast from the durations that are kept; empty without any.
    [[nodiscard]] auto forecast() const -> std::optional<DurationForecast>;

    /// @brief Forecast from durations in milliseconds, in any order; empty without any.
    /// @param millis is reordered
    [[nodiscard]] static auto forecastOf(std::span<float> millis) -> std::optional<DurationForecast>;

private:
    std::array<float, capacity> m_millis{}; ///< ring
    std::size_t m_size = 0;
    std::size_t m_next = 0; ///< position of the next duration
};
}
