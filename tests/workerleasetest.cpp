#include "burdockspur/fleet/workerlease.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
constexpr double drift = 0.02;
constexpr Milliseconds lease{5'000};
const TimePoint start = TimePoint{} + std::chrono::hours(1);
}

// Guards against starting a task again while a worker with a slow clock still runs it.
TEST(WorkerLeaseTest, ExpiresWhenTheSlowestClockHasPassedTheDeadline)
{
    WorkerLease bounds(drift, start);
    bounds.recordClock(Milliseconds{100'000}, start);
    const auto until = bounds.extendLease(lease, start + Milliseconds{1'000});
    ASSERT_TRUE(until);
    EXPECT_EQ(*until, Milliseconds{106'000});
    // 6 s of a clock that runs at 98%.
    EXPECT_GE(bounds.latestExpiry(), start + Milliseconds{6'122});
    EXPECT_LE(bounds.latestExpiry(), start + Milliseconds{6'123});
}

// Guards against an older answer that is overtaken by a newer one: its clock value would make the lease appear longer than it is.
TEST(WorkerLeaseTest, IgnoresOlderClockValues)
{
    WorkerLease bounds(drift, start);
    bounds.recordClock(Milliseconds{100'000}, start);
    bounds.recordClock(Milliseconds{90'000}, start + Milliseconds{5});
    EXPECT_EQ(bounds.extendLease(lease, start), Milliseconds{105'000});
}

// Guards against a lease that is granted before the worker's clock is known.
TEST(WorkerLeaseTest, GrantsNoLeaseWithoutAClockValue)
{
    WorkerLease bounds(drift, start + lease);
    EXPECT_FALSE(bounds.extendLease(lease, start));
    EXPECT_EQ(bounds.latestExpiry(), start + lease);
}

// Guards against a deadline that moves back, because workers keep the latest one.
TEST(WorkerLeaseTest, DeadlineNeverMovesBack)
{
    WorkerLease bounds(drift, start);
    bounds.recordClock(Milliseconds{100'000}, start);
    const auto longer = bounds.extendLease(2 * lease, start);
    EXPECT_EQ(bounds.extendLease(lease, start), longer);
}
