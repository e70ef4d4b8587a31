#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace Burdockspur::Bench
{
/// @brief Histogram of latencies from 0.1 ms with buckets that grow by 1%.
class LatencyHistogram
{
public:
    auto add(double milliseconds) noexcept -> void;

    /// @brief Upper end of the bucket that contains a quantile, in milliseconds.
    /// @param share quantile from 0 to 1
    [[nodiscard]] auto quantile(double share) const noexcept -> double;

private:
    std::array<std::uint64_t, 1'500> m_counts{};
    std::uint64_t m_total = 0;
};
}
