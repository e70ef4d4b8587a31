#include "burdockspur/core/clock.hpp"

#include <gtest/gtest.h>

#include <ctime>

using namespace Burdockspur;

// Guards against a clock that stands still while the machine is suspended: an owner that wakes up would act on an ownership and on leases
// that have run out meanwhile. A test cannot suspend the machine, so it compares with the kernel's clock that counts the suspension.
TEST(ClockTest, CountsTheTimeOfASuspension)
{
    const auto bootTime = [] {
        timespec time{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    };
    const auto before = bootTime();
    const auto now = Clock::now().time_since_epoch();
    EXPECT_LE(before, now);
    EXPECT_LE(now, bootTime());
}
