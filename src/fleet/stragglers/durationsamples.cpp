#include "burdockspur/fleet/stragglers/durationsamples.hpp"

#include <algorithm>
#include <chrono>

namespace Burdockspur
{
namespace
{
using RealMillis = std::chrono::duration<float, std::milli>;

constexpr double medianShare = 0.5;
constexpr double highShare = 0.9;

/// @brief Smallest value that at least a share of the values do not exceed.
[[nodiscard]] auto quantile(std::span<float> millis, double share) -> Duration
{
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(millis.size()));
    const auto position = millis.begin() + static_cast<std::ptrdiff_t>(std::min(rank, millis.size() - 1));
    std::ranges::nth_element(millis, position);
    return std::chrono::duration_cast<Duration>(RealMillis(*position));
}
}

auto DurationSamples::add(Duration took) noexcept -> void
{
    m_millis[m_next] = RealMillis(took).count();
    m_next = (m_next + 1) % capacity;
    m_size = std::min(m_size + 1, capacity);
}

auto DurationSamples::forecast() const -> std::optional<DurationForecast>
{
    auto millis = m_millis;
    return forecastOf(std::span(millis).first(m_size));
}

auto DurationSamples::forecastOf(std::span<float> millis) -> std::optional<DurationForecast>
{
    if (millis.empty()) {
        return std::nullopt;
    }
    const auto median = quantile(millis, medianShare);
    return DurationForecast{median, quantile(millis, highShare), millis.size()};
}
}
