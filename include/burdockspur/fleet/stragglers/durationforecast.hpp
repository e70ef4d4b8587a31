#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>

namespace Burdockspur
{
/// @brief Expected duration of a run, from runs of the same kind.
struct DurationForecast {
    Duration m_median{0};
    Duration m_high{0}; ///< nine of ten runs take no longer
    std::size_t m_samples = 0; ///< number of durations that the forecast rests on

    [[nodiscard]] auto operator==(const DurationForecast &) const -> bool = default;
};
}
