#include "burdockspur/fleet/fillinterferencemodel.hpp"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

namespace Burdockspur
{
namespace
{
/// Initial weight of a pair without samples: filling tasks on all processors would cost three times the headroom at the target.
constexpr double priorWeight = 3.0;
/// Initial variance: actual weights range from nearly 0 to about three times the prior.
constexpr double priorVariance = 9.0;
constexpr double largestWeight = 20.0;
/// Variance of the difference of two samples, whose noise is 10 to 20% of a headroom between 1 and 3.
constexpr double sampleVariance = 0.3;
/// Variance added with each sample, because the contents of an image can change under the same name.
constexpr double driftVariance = 0.0005;
/// The effect of smaller shares is below the noise of a sample.
constexpr double negligibleShare = 0.03;
}

auto FillInterferenceModel::imageId(std::string_view image) -> ImageId
{
    const auto known = m_ids.find(image);
    if (known != m_ids.end()) {
        return known->second;
    }
    const auto id = static_cast<ImageId>(m_names.size());
    m_ids.emplace(image, id);
    m_names.emplace_back(image);
    m_fillIndexes.emplace_back();
    m_filters.emplace_back();
    return id;
}

auto FillInterferenceModel::indexOf(ImageId fill) -> std::size_t
{
    if (const auto known = m_fillIndexes[fill]) {
        return *known;
    }
    const std::size_t before = m_fillImages.size();
    const std::size_t after = before + 1;
    m_fillIndexes[fill] = before;
    m_fillImages.push_back(fill);
    for (auto &filter : m_filters) {
        if (!filter.m_isInitialized) {
            continue;
        }
        std::vector<double> grown(after * after, 0.0);
        for (std::size_t row = 0; row < before; ++row) {
            std::copy_n(
                filter.m_covariance.begin() + static_cast<std::ptrdiff_t>(row * before), before, grown.begin() + static_cast<std::ptrdiff_t>(row * after));
        }
        grown.back() = priorVariance;
        filter.m_covariance = std::move(grown);
        filter.m_weights.push_back(priorWeight);
    }
    return before;
}

auto FillInterferenceModel::filterOf(ImageId serving) -> WeightFilter &
{
    auto &filter = m_filters[serving];
    if (!std::exchange(filter.m_isInitialized, true)) {
        const std::size_t count = m_fillImages.size();
        filter.m_weights.assign(count, priorWeight);
        filter.m_covariance.assign(count * count, 0.0);
        for (std::size_t i = 0; i < count; ++i) {
            filter.m_covariance[i * count + i] = priorVariance;
        }
    }
    return filter;
}

auto FillInterferenceModel::weight(ImageId fill, ImageId serving) const noexcept -> double
{
    if (fill >= m_fillIndexes.size() || serving >= m_filters.size()) {
        return priorWeight;
    }
    const auto &filter = m_filters[serving];
    const auto index = m_fillIndexes[fill];
    return filter.m_isInitialized && index ? filter.m_weights[*index] : priorWeight;
}

auto FillInterferenceModel::headroomLoss(std::span<const FillUse> fills, ImageId serving) const noexcept -> double
{
    double sum = 0;
    for (const auto &fill : fills) {
        sum += weight(fill.m_image, serving) * fill.m_share;
    }
    return sum;
}

auto FillInterferenceModel::learn(std::span<const FillUse> difference, ImageId serving, double loss) -> void
{
    for (const auto &fill : difference) {
        static_cast<void>(indexOf(fill.m_image));
    }
    const std::size_t count = m_fillImages.size();
    if (count == 0) {
        return;
    }
    std::vector<double> shares(count, 0.0);
    for (const auto &fill : difference) {
        shares[indexOf(fill.m_image)] += fill.m_share;
    }
    const double largest = std::ranges::max(shares | std::views::transform([](double share) {
                                                return std::abs(share);
                                            }));
    if (largest < negligibleShare) {
        return;
    }
    auto &filter = filterOf(serving);
    std::vector<double> gain(count, 0.0);
    double variance = sampleVariance;
    double predicted = 0;
    for (std::size_t row = 0; row < count; ++row) {
        for (std::size_t column = 0; column < count; ++column) {
            gain[row] += filter.m_covariance[row * count + column] * shares[column];
        }
        variance += shares[row] * gain[row];
        predicted += shares[row] * filter.m_weights[row];
    }
    const double error = loss - predicted;
    for (std::size_t row = 0; row < count; ++row) {
        filter.m_weights[row] = std::clamp(filter.m_weights[row] + gain[row] / variance * error, 0.0, largestWeight);
        for (std::size_t column = 0; column < count; ++column) {
            filter.m_covariance[row * count + column] -= gain[row] * gain[column] / variance;
        }
        double &own = filter.m_covariance[row * count + row];
        own = shares[row] != 0 ? std::min(priorVariance, own + driftVariance) : own;
    }
}

auto FillInterferenceModel::pairs() const -> std::vector<InterferencePair>
{
    std::vector<InterferencePair> all;
    const std::size_t count = m_fillImages.size();
    for (ImageId serving = 0; serving < m_filters.size(); ++serving) {
        const auto &filter = m_filters[serving];
        for (std::size_t i = 0; filter.m_isInitialized && i < count; ++i) {
            const double variance = filter.m_covariance[i * count + i];
            if (variance < priorVariance) {
                all.push_back({m_names[m_fillImages[i]], m_names[serving], filter.m_weights[i], variance});
            }
        }
    }
    return all;
}

auto FillInterferenceModel::restore(std::span<const InterferencePair> pairs) -> void
{
    for (const auto &stored : pairs) {
        const auto index = indexOf(imageId(stored.m_fill));
        auto &filter = filterOf(imageId(stored.m_serving));
        const std::size_t count = m_fillImages.size();
        double &variance = filter.m_covariance[index * count + index];
        if (stored.m_variance > 0 && stored.m_variance < variance) {
            // What was learned together with this weight does not hold for the restored one.
            for (std::size_t other = 0; other < count; ++other) {
                filter.m_covariance[index * count + other] = 0;
                filter.m_covariance[other * count + index] = 0;
            }
            variance = stored.m_variance;
            filter.m_weights[index] = std::clamp(stored.m_weight, 0.0, largestWeight);
        }
    }
}
}
