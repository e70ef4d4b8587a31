#include "burdockspur/placement/decayingquantile.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Burdockspur
{
namespace
{
constexpr double growth = 1.03; // of the bucket size, from one bucket to the next
constexpr float largestUnit = 1e6F; // weights are scaled down before they lose precision
}

auto DecayingQuantile::add(double value, TimePoint now, Duration halfLife) noexcept -> void
{
    if (m_total > 0.0F && now > m_last) {
        // After 60 half-lives the weight of the older values is negligible; the bound avoids an overflow.
        constexpr double most = 60.0;
        m_unit *= static_cast<float>(std::exp2(std::min(most, std::chrono::duration<double>(now - m_last) / std::chrono::duration<double>(halfLife))));
    }
    m_last = now;
    if (m_unit > largestUnit) {
        m_total /= m_unit;
        for (float &weight : m_weights) {
            weight /= m_unit;
        }
        m_unit = 1.0F;
    }
    const double position = value <= 1.0 ? 0.0 : std::ceil(std::log(value) / std::log(growth));
    const auto bucket = static_cast<std::size_t>(std::min(position, static_cast<double>(bucketCount - 1)));
    m_weights[bucket] += m_unit;
    m_total += m_unit;
}

auto DecayingQuantile::at(double share) const noexcept -> double
{
    if (m_total <= 0.0F) {
        return 0.0;
    }
    double sum = 0.0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        sum += m_weights[i];
        if (sum >= share * m_total) {
            return std::pow(growth, static_cast<double>(i));
        }
    }
    return std::pow(growth, static_cast<double>(bucketCount - 1));
}
}
