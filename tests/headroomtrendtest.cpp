#include "burdockspur/fleet/headroomtrend.hpp"
#include "burdockspur/core/randomsource.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <numbers>

using namespace Burdockspur;

namespace
{
/// Headroom under a load that swings by about half within 20 s.
auto headroomAt(double seconds) -> double
{
    return 2.5 + std::sin(seconds * 2 * std::numbers::pi / 20);
}
}

// Guards against decisions based on single samples, whose noise of 15% is as large as the headroom that is kept.
TEST(HeadroomTrendTest, FollowsASwingingLoadDespiteNoise)
{
    RandomSource random(3);
    HeadroomTrend trend;
    TimePoint now = TimePoint{} + std::chrono::hours(1);
    double trendError = 0;
    double sampleError = 0;
    constexpr int samples = 400;
    for (int i = 0; i < samples; ++i) {
        // Six workers report every 0.4 s.
        now += Milliseconds{67};
        const double exactHeadroom = headroomAt(i * 0.067);
        const double sample = exactHeadroom * (0.85 + 0.3 * random.unit());
        trend.add(sample, now);
        sampleError += std::abs(sample - exactHeadroom);
        trendError += std::abs(trend.at(now + Milliseconds{300}, 0) - headroomAt(i * 0.067 + 0.3));
    }
    EXPECT_LT(trendError, sampleError / 2) << "the prediction 0.3 s ahead must be better than the samples";
}

// Guards against a trend that is extrapolated for seconds without a sample.
TEST(HeadroomTrendTest, ReturnsTheFallbackAfterAGap)
{
    HeadroomTrend trend;
    const TimePoint now = TimePoint{} + std::chrono::hours(1);
    EXPECT_DOUBLE_EQ(trend.at(now, 7.0), 7.0);
    trend.add(2.0, now);
    EXPECT_DOUBLE_EQ(trend.at(now, 7.0), 2.0);
    EXPECT_DOUBLE_EQ(trend.at(now + Milliseconds{5'000}, 7.0), 7.0);
}
