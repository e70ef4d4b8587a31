#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace Burdockspur::Bench
{
/// @brief Counts of latencies in buckets that grow by 1%.
class LatencyHistogram
{
public:
    auto add(double milliseconds) noexcept -> void;

    /// @brief Upper end of the bucket of a quantile, milliseconds.
    [[nodiscard]] auto at(double share) const noexcept -> double;

private:
    std::array<std::uint64_t, 1'500> m_counts{};
    std::uint64_t m_total = 0;
};
}
