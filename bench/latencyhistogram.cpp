#include "latencyhistogram.hpp"

#include <algorithm>
#include <cmath>

namespace Burdockspur::Bench
{
namespace
{
constexpr double growth = 1.01;
constexpr double smallest = 0.1;
}

auto LatencyHistogram::add(double milliseconds) noexcept -> void
{
    const double position = std::log(std::max(milliseconds, smallest) / smallest) / std::log(growth);
    ++m_counts[std::min(static_cast<std::size_t>(position), m_counts.size() - 1)];
    ++m_total;
}

auto LatencyHistogram::at(double share) const noexcept -> double
{
    std::uint64_t sum = 0;
    std::size_t i = 0;
    for (; i + 1 < m_counts.size(); ++i) {
        sum += m_counts[i];
        if (static_cast<double>(sum) >= share * static_cast<double>(m_total)) {
            break;
        }
    }
    return smallest * std::pow(growth, static_cast<double>(i + 1));
}
}
