#include "burdockspur/fleet/lookahead/jobsizes.hpp"
#include "burdockspur/core/randomsource.hpp"

#include <gtest/gtest.h>

#include <array>

using namespace Burdockspur;

// Guards against metrics of waits whose sizes are not those that the users' gate goes by: the largest tenth and the fifth below it.
TEST(JobSizesTest, ATenthAndAFifthOfTheJobsAreLarge)
{
    constexpr int jobs = 4'000;
    JobSizes sizes;
    RandomSource random(5);
    std::array<int, 3> counts{};
    for (int i = 0; i < jobs; ++i) {
        ++counts[static_cast<std::size_t>(sizes.record("queue", random.unit()))];
    }
    EXPECT_NEAR(counts[static_cast<std::size_t>(JobSize::LargestTenth)], 0.1 * jobs, 0.02 * jobs);
    EXPECT_NEAR(counts[static_cast<std::size_t>(JobSize::NextFifth)], 0.2 * jobs, 0.02 * jobs);
}

// Guards against a queue of large jobs beside which all others are small.
TEST(JobSizesTest, EachQueueHasItsOwnSizes)
{
    JobSizes sizes;
    for (int i = 0; i < 100; ++i) {
        static_cast<void>(sizes.record("large", 1'000 + i));
        static_cast<void>(sizes.record("small", i));
    }
    EXPECT_EQ(sizes.record("small", 500), JobSize::LargestTenth);
    EXPECT_EQ(sizes.record("large", 500), JobSize::Rest);
}
