#pragma once

#include "burdockspur/core/clock.hpp"

#include <array>
#include <cstddef>

namespace Burdockspur
{
/// @brief A quantile of positive values in which old values lose weight.
///
/// A histogram with buckets that grow by 3%, so that the result is at most 3% above the exact quantile.
class DecayingQuantile
{
public:
    /// @brief Adds a value.
    /// @param value at least 0; values above the largest bucket count there
    /// @param now not before that of the previous call
    /// @param halfLife after this time a value counts half
    auto add(double value, TimePoint now, Duration halfLife) noexcept -> void;

    /// @brief Upper end of the bucket that holds the quantile.
    /// @param share 0 to 1, for example 0.95
    /// @returns 0 without values
    [[nodiscard]] auto at(double share) const noexcept -> double;

private:
    static constexpr std::size_t bucketCount = 600; // 1.03^600 is about 5e7

    std::array<float, bucketCount> m_weights{};
    float m_total = 0.0F;
    float m_unit = 1.0F; ///< weight of a value added now; grows instead of scaling all buckets down
    TimePoint m_last;
};
}
