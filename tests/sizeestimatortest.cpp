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

// Guards against reserving anything but the declared size for a class without history.
TEST(SizeEstimator, UnknownClassReservesTheDeclaredSize)
{
    const SizeEstimator sizes;
    EXPECT_EQ(sizes.reservationFor(jobOf(1'000, 500), largest), jobOf(1'000, 500).m_demand);
}

// Guards against overloading a worker with an estimate from few samples that is below the declared size.
TEST(SizeEstimator, FewSamplesOnlyRaiseTheDeclaredSize)
{
    SizeEstimator sizes;
    learn(sizes, jobOf(1'000, 5'000), {.m_cpuMillis = 4'000, .m_memoryMb = 1'000}, 19);
    const Resources reserved = sizes.reservationFor(jobOf(1'000, 5'000), largest);
    EXPECT_EQ(reserved.m_cpuMillis, 5'000); // the highest usage with a margin of 25%
    EXPECT_EQ(reserved.m_memoryMb, 5'000);
    EXPECT_EQ(reserved.m_accelerators, 1);
}

// Guards against keeping declared sizes that are wrong by a factor of ten, in either direction.
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

// Guards against reserving the size of large jobs for small ones of the same class whose declared sizes are consistent.
TEST(SizeEstimator, ConsistentDeclaredSizesAreKept)
{
    SizeEstimator sizes;
    for (const std::int64_t cpu : {500, 1'000, 4'000}) {
        learn(sizes, jobOf(cpu, 100), {.m_cpuMillis = cpu, .m_memoryMb = 100}, 20);
    }
    EXPECT_LE(sizes.reservationFor(jobOf(500, 100), largest).m_cpuMillis, 515);
}

// Guards against an attempt that runs out of memory because earlier peaks of its class are ignored.
TEST(SizeEstimator, MemoryIsNeverBelowTheHighestReport)
{
    SizeEstimator sizes;
    sizes.observe("render", {.m_cpuMillis = 100, .m_memoryMb = 9'000});
    learn(sizes, jobOf(1'000, 1'000), {.m_cpuMillis = 1'000, .m_memoryMb = 1'000}, 200);
    EXPECT_EQ(sizes.reservationFor(jobOf(1'000, 1'000), largest).m_memoryMb, 9'000);
}

// Guards against an estimate that exceeds every worker, so that the job would stay queued forever.
TEST(SizeEstimator, EstimateIsCutToTheLargestWorker)
{
    SizeEstimator sizes;
    learn(sizes, jobOf(1'000, 1'000), {.m_cpuMillis = 50'000, .m_memoryMb = 90'000}, 5);
    EXPECT_EQ(sizes.reservationFor(jobOf(1'000, 1'000), largest), largest);
}

// Guards against reserving the old amount forever after the usage of a class has fallen.
TEST(SizeEstimator, OldUsageDecays)
{
    SizeEstimator sizes;
    learn(sizes, jobOf(1'000, 100), {.m_cpuMillis = 8'000, .m_memoryMb = 100}, 50);
    learn(sizes, jobOf(1'000, 100), {.m_cpuMillis = 1'000, .m_memoryMb = 100}, 50, TimePoint() + std::chrono::hours(48));
    EXPECT_LE(sizes.reservationFor(jobOf(1'000, 100), largest).m_cpuMillis, 1'061);
    EXPECT_GE(sizes.runTimeOf("render"), Milliseconds(60'000));
}
}
