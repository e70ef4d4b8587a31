#include "burdockspur/placement/sizeestimator.hpp"
#include "burdockspur/contract/job.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
constexpr Resources largest{.m_cpuMillis = 16'000, .m_memoryMb = 60'000, .m_accelerators = 1};

auto jobOf(std::int64_t cpu, std::int64_t memory) -> JobSpec
{
    JobSpec spec;
    spec.m_class = "render";
    spec.m_demand = {.m_cpuMillis = cpu, .m_memoryMb = memory, .m_accelerators = 1};
    return spec;
}

auto learn(SizeEstimator &sizes, const JobSpec &spec, const Resources &peak, int attempts, TimePoint now = TimePoint()) -> void
{
    for (int i = 0; i < attempts; ++i) {
        sizes.addAttempt(spec, peak, Milliseconds(60'000), now);
    }
}

// A class without history must not reserve anything but what the caller declared.
TEST(SizeEstimator, UnknownClassReservesTheDeclaredSize)
{
    const SizeEstimator sizes;
    EXPECT_EQ(sizes.reservationFor(jobOf(1'000, 500), largest), jobOf(1'000, 500).m_demand);
}

// With few samples an estimate below the declared size could overload the worker.
TEST(SizeEstimator, FewSamplesOnlyRaiseTheDeclaredSize)
{
    SizeEstimator sizes;
    learn(sizes, jobOf(1'000, 5'000), {.m_cpuMillis = 4'000, .m_memoryMb = 1'000}, 19);
    const Resources reserved = sizes.reservationFor(jobOf(1'000, 5'000), largest);
    EXPECT_EQ(reserved.m_cpuMillis, 5'000); // the highest usage with a margin of 25%
    EXPECT_EQ(reserved.m_memoryMb, 5'000);
    EXPECT_EQ(reserved.m_accelerators, 1);
}

// Declared sizes wrong by a factor of ten, in both directions.
TEST(SizeEstimator, ManySamplesReplaceTheDeclaredSize)
{
    for (const std::int64_t declared : {100, 10'000}) {
        SizeEstimator sizes;
        const JobSpec spec = jobOf(declared, declared);
        learn(sizes, spec, {.m_cpuMillis = 1'000, .m_memoryMb = 1'000}, 20);
        const Resources reserved = sizes.reservationFor(spec, largest);
        EXPECT_GE(reserved.m_cpuMillis, 1'000);
        EXPECT_LE(reserved.m_cpuMillis, 1'061); // two buckets of 3%
        EXPECT_GE(reserved.m_memoryMb, 1'000);
    }
}

// Jobs of one class that differ in size reserve in proportion, when their declared sizes are consistent.
TEST(SizeEstimator, ConsistentDeclaredSizesAreKept)
{
    SizeEstimator sizes;
    for (const std::int64_t cpu : {500, 1'000, 4'000}) {
        learn(sizes, jobOf(cpu, 100), {.m_cpuMillis = cpu, .m_memoryMb = 100}, 20);
    }
    EXPECT_LE(sizes.reservationFor(jobOf(500, 100), largest).m_cpuMillis, 515);
}

// One attempt that once needed much memory must not be stopped for lack of it the next time.
TEST(SizeEstimator, MemoryIsNeverBelowTheHighestReport)
{
    SizeEstimator sizes;
    sizes.observe("render", {.m_cpuMillis = 100, .m_memoryMb = 9'000});
    learn(sizes, jobOf(1'000, 1'000), {.m_cpuMillis = 1'000, .m_memoryMb = 1'000}, 200);
    EXPECT_EQ(sizes.reservationFor(jobOf(1'000, 1'000), largest).m_memoryMb, 9'000);
}

// An estimate above every worker would leave the job queued for ever.
TEST(SizeEstimator, EstimateIsCutToTheLargestWorker)
{
    SizeEstimator sizes;
    learn(sizes, jobOf(1'000, 1'000), {.m_cpuMillis = 50'000, .m_memoryMb = 90'000}, 5);
    EXPECT_EQ(sizes.reservationFor(jobOf(1'000, 1'000), largest), largest);
}

// A class whose usage fell must not reserve the old amount for ever.
TEST(SizeEstimator, OldUsageDecays)
{
    SizeEstimator sizes;
    learn(sizes, jobOf(1'000, 100), {.m_cpuMillis = 8'000, .m_memoryMb = 100}, 50);
    learn(sizes, jobOf(1'000, 100), {.m_cpuMillis = 1'000, .m_memoryMb = 100}, 50, TimePoint() + std::chrono::hours(48));
    EXPECT_LE(sizes.reservationFor(jobOf(1'000, 100), largest).m_cpuMillis, 1'061);
    EXPECT_GE(sizes.runTimeOf("render"), Milliseconds(60'000));
}
}
