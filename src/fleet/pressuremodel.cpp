#include "burdockspur/fleet/pressuremodel.hpp"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

namespace Burdockspur
{
namespace
{
/// Weight of a pair that was never seen: a full worker of it would cost three times the target's headroom.
constexpr double priorWeight = 3.0;
/// Pairs range from hardly any pressure to about three times the prior.
constexpr double priorVariance = 9.0;
constexpr double largestWeight = 20.0;
/// Variance of a difference of two samples: their noise is 10 to 20% of a headroom between 1 and 3.
constexpr double sampleVariance = 0.3;
/// What a weight may drift between two samples, because the images behind a name change.
constexpr double driftVariance = 0.0005;
/// Shares below this say less than the noise of a sample.
constexpr double smallestShare = 0.03;
}

auto PressureModel::imageId(std::string_view image) -> ImageId
{
    const auto known = m_ids.find(image);
    if (known != m_ids.end()) {
        return known->second;
    }
    const auto id = static_cast<ImageId>(m_names.size());
    m_ids.emplace(image, id);
    m_names.emplace_back(image);
    m_indexes.emplace_back();
    m_victims.emplace_back();
    return id;
}

auto PressureModel::indexOf(ImageId fill) -> std::size_t
{
    if (const auto known = m_indexes[fill]) {
        return *known;
    }
    const std::size_t before = m_fills.size();
    const std::size_t after = before + 1;
    m_indexes[fill] = before;
    m_fills.push_back(fill);
    for (auto &victim : m_victims) {
        if (!victim.m_isKnown) {
            continue;
        }
        std::vector<double> grown(after * after, 0.0);
        for (std::size_t row = 0; row < before; ++row) {
            std::copy_n(
                victim.m_covariance.begin() + static_cast<std::ptrdiff_t>(row * before), before, grown.begin() + static_cast<std::ptrdiff_t>(row * after));
        }
        grown.back() = priorVariance;
        victim.m_covariance = std::move(grown);
        victim.m_weights.push_back(priorWeight);
    }
    return before;
}

auto PressureModel::victimOf(ImageId serving) -> Victim &
{
    auto &victim = m_victims[serving];
    if (!std::exchange(victim.m_isKnown, true)) {
        const std::size_t count = m_fills.size();
        victim.m_weights.assign(count, priorWeight);
        victim.m_covariance.assign(count * count, 0.0);
        for (std::size_t i = 0; i < count; ++i) {
            victim.m_covariance[i * count + i] = priorVariance;
        }
    }
    return victim;
}

auto PressureModel::weight(ImageId fill, ImageId serving) const noexcept -> double
{
    if (fill >= m_indexes.size() || serving >= m_victims.size()) {
        return priorWeight;
    }
    const auto &victim = m_victims[serving];
    const auto index = m_indexes[fill];
    return victim.m_isKnown && index ? victim.m_weights[*index] : priorWeight;
}

auto PressureModel::pressure(std::span<const FillUse> fills, ImageId serving) const noexcept -> double
{
    double sum = 0;
    for (const auto &fill : fills) {
        sum += weight(fill.m_image, serving) * fill.m_share;
    }
    return sum;
}

auto PressureModel::learn(std::span<const FillUse> fills, ImageId serving, double lost) -> void
{
    for (const auto &fill : fills) {
        static_cast<void>(indexOf(fill.m_image));
    }
    const std::size_t count = m_fills.size();
    if (count == 0) {
        return;
    }
    std::vector<double> shares(count, 0.0);
    for (const auto &fill : fills) {
        shares[indexOf(fill.m_image)] += fill.m_share;
    }
    const double largest = std::ranges::max(shares | std::views::transform([](double share) {
                                                return std::abs(share);
                                            }));
    if (largest < smallestShare) {
        return;
    }
    auto &victim = victimOf(serving);
    std::vector<double> gain(count, 0.0);
    double variance = sampleVariance;
    double predicted = 0;
    for (std::size_t row = 0; row < count; ++row) {
        for (std::size_t column = 0; column < count; ++column) {
            gain[row] += victim.m_covariance[row * count + column] * shares[column];
        }
        variance += shares[row] * gain[row];
        predicted += shares[row] * victim.m_weights[row];
    }
    const double error = lost - predicted;
    for (std::size_t row = 0; row < count; ++row) {
        victim.m_weights[row] = std::clamp(victim.m_weights[row] + gain[row] / variance * error, 0.0, largestWeight);
        for (std::size_t column = 0; column < count; ++column) {
            victim.m_covariance[row * count + column] -= gain[row] * gain[column] / variance;
        }
        double &own = victim.m_covariance[row * count + row];
        own = shares[row] != 0 ? std::min(priorVariance, own + driftVariance) : own;
    }
}

auto PressureModel::pairs() const -> std::vector<PressurePair>
{
    std::vector<PressurePair> all;
    const std::size_t count = m_fills.size();
    for (ImageId serving = 0; serving < m_victims.size(); ++serving) {
        const auto &victim = m_victims[serving];
        for (std::size_t i = 0; victim.m_isKnown && i < count; ++i) {
            const double variance = victim.m_covariance[i * count + i];
            if (variance < priorVariance) {
                all.push_back({m_names[m_fills[i]], m_names[serving], victim.m_weights[i], variance});
            }
        }
    }
    return all;
}

auto PressureModel::restore(std::span<const PressurePair> pairs) -> void
{
    for (const auto &stored : pairs) {
        const auto index = indexOf(imageId(stored.m_fill));
        auto &victim = victimOf(imageId(stored.m_serving));
        const std::size_t count = m_fills.size();
        double &variance = victim.m_covariance[index * count + index];
        if (stored.m_variance > 0 && stored.m_variance < variance) {
            variance = stored.m_variance;
            victim.m_weights[index] = std::clamp(stored.m_weight, 0.0, largestWeight);
        }
    }
}
}
