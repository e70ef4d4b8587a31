#include "slopefit.hpp"

#include <gtest/gtest.h>

#include <array>

using namespace Burdockspur::Bench;

// Guards against capacity figures that are extrapolated from a wrong line.
TEST(SlopeFitTest, FitsAnExactLineWithoutResidual)
{
    constexpr std::array<Sample, 4> exact{{{1, 5}, {2, 7}, {4, 11}, {8, 19}}};
    const SlopeFit fit(exact);
    EXPECT_NEAR(fit.slope(), 2.0, 1e-9);
    EXPECT_NEAR(fit.intercept(), 3.0, 1e-9);
    EXPECT_NEAR(fit.residual(), 0.0, 1e-9);
    EXPECT_NEAR(fit.valueAt(1000), 2003.0, 1e-6);
}

// Guards against a fit that reports no error for scattered samples.
TEST(SlopeFitTest, ResidualIsTheErrorOfScatteredSamples)
{
    constexpr std::array<Sample, 4> scattered{{{0, 1}, {0, -1}, {10, 1}, {10, -1}}};
    const SlopeFit fit(scattered);
    EXPECT_NEAR(fit.slope(), 0.0, 1e-9);
    EXPECT_NEAR(fit.residual(), 1.0, 1e-9);
}
