#pragma once

#include "burdockspur/core/clock.hpp"

#include <array>
#include <cstddef>

namespace Burdockspur
{
/// @brief Estimates quantiles of positive values, in which old values lose weight exponentially.
///
/// Uses a histogram whose buckets grow by 3%, so the result is at most 3% above the exact quantile.
class DecayingQuantile
{
public:
    /// @brief Adds a value.
    /// @param value at least 0; larger values than the last bucket's are counted in it
    /// @param now not before the time of the previous call
    /// @param halfLife time after which a value has half its weight
    auto add(double value, TimePoint now, Duration halfLife) noexcept -> void;

    /// @brief Upper bound of the bucket that contains a quantile.
    /// @param share which quantile, 0 to 1, for example 0.95
    /// @returns 0 without values
    [[nodiscard]] auto at(double share) const noexcept -> double;

private:
    static constexpr std::size_t bucketCount = 600; ///< covers values up to 1.03^600, about 5e7

    std::array<float, bucketCount> m_weights{};
    float m_total = 0.0F;
    float m_unit = 1.0F; ///< weight of a value added now; grows so that the buckets need no scaling with each value
    TimePoint m_last; ///< when the last value was added
};
}
