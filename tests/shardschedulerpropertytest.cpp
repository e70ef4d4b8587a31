#include "shardfaults.hpp"

#include <gtest/gtest.h>

#include <cstdlib>

using namespace Burdockspur;
using Burdockspur::Testing::anyShardFault;
using Burdockspur::Testing::ShardWorld;

namespace
{
// The fixed seed makes every run the same; RC_PARAMS in the environment replaces it.
const int fixedSeed = setenv("RC_PARAMS", "seed=20261204 max_success=60", 0);
}

// Guards against a job that runs on two workers, is lost, ends twice, loses its checkpoint, or exceeds the capacity of
// a worker, under random combinations of faults.
TEST(ShardSchedulerPropertyTest, FaultsNeverViolateTheGuarantees)
{
    ASSERT_EQ(fixedSeed, 0);
    EXPECT_TRUE(rc::check("faults", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto loss = *rc::gen::inRange<std::uint32_t>(0, 10);
        const auto faults = *rc::gen::container<std::vector<ShardWorld::Fault>>(anyShardFault());
        ShardWorld world(seed, loss);
        world.run(40, faults);
    }));
}

// Guards against a simulation in which no job runs even without faults, so that the property above would hold trivially.
TEST(ShardSchedulerPropertyTest, EveryJobRunsWithoutFaults)
{
    ShardWorld world(1, 0);
    world.run(40, {});
    EXPECT_EQ(world.m_starts, 48U); // 40 jobs, of which 8 fail their first attempt
    EXPECT_EQ(world.m_takeovers, 1U);
}

// Guards against an eviction without a checkpoint, and against a takeover that restarts running jobs.
TEST(ShardSchedulerPropertyTest, EvictedJobsResumeFromTheirCheckpoints)
{
    using Kind = ShardWorld::FaultKind;
    ShardWorld world(2, 0);
    world.run(40,
              {{static_cast<int>(Kind::LeaveWorker), 10'000, 0, 20'000},
               {static_cast<int>(Kind::KillScheduler), 20'000, 0, 9'000},
               {static_cast<int>(Kind::KillScheduler), 30'000, 1, 9'000}});
    EXPECT_GT(world.m_resumed, 0U);
    EXPECT_GE(world.m_takeovers, 2U);
}
