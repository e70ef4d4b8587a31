#include "latencyhistogram.hpp"

#include <algorithm>
#include <cmath>

namespace Burdockspur::Bench
{
namespace
{
constexpr double bucketGrowth = 1.01;
constexpr double smallestMs = 0.1;
}

auto LatencyHistogram::add(double milliseconds) noexcept -> void
{
    const double bucket = std::log(std::max(milliseconds, smallestMs) / smallestMs) / std::log(bucketGrowth);
    ++m_counts[std::min(static_cast<std::size_t>(bucket), m_counts.size() - 1)];
    ++m_total;
}

auto LatencyHistogram::quantile(double share) const noexcept -> double
{
    std::uint64_t sum = 0;
    std::size_t i = 0;
    for (; i + 1 < m_counts.size(); ++i) {
        sum += m_counts[i];
        if (static_cast<double>(sum) >= share * static_cast<double>(m_total)) {
            break;
        }
    }
    return smallestMs * std::pow(bucketGrowth, static_cast<double>(i + 1));
}
}
