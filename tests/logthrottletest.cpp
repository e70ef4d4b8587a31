#include "burdockspur/operations/logthrottle.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

// Guards against one odd row that fills the log, and against lines that vanish without a count.
TEST(LogThrottleTest, AdmitsOneLineASecondAndCountsTheOthers)
{
    const TimePoint start = TimePoint{} + std::chrono::hours(1);
    LogThrottle throttle;
    EXPECT_EQ(throttle.admit(start), 0U);
    for (int i = 1; i <= 9; ++i) {
        EXPECT_FALSE(throttle.admit(start + i * Milliseconds{100}));
    }
    EXPECT_EQ(throttle.admit(start + Milliseconds{1'000}), 9U);
    EXPECT_FALSE(throttle.admit(start + Milliseconds{1'999}));
    EXPECT_EQ(throttle.admit(start + Milliseconds{5'000}), 1U);
}
