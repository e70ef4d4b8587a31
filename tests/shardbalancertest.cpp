#include "burdockspur/shard/shardbalancer.hpp"

#include <gtest/gtest.h>

#include <vector>

using namespace Burdockspur;

namespace
{
/// @brief Runs the balancer of a scheduler that owns three of four shards; its share is two.
class ShardBalancerTest : public ::testing::Test
{
protected:
    /// @brief Advances the time and calls choose().
    auto chooseAfter(Milliseconds passed, std::size_t schedulers = 2) -> std::optional<ShardId>
    {
        m_now += passed;
        return m_balancer.choose(m_owned, 4, schedulers, m_now);
    }

    Milliseconds m_period{10'000};
    TimePoint m_now{std::chrono::hours(1)};
    ShardBalancer m_balancer{m_period};
    std::vector<BalancedShard> m_owned{{.m_shard = 0, .m_isRecovered = true, .m_jobs = 5},
                                       {.m_shard = 1, .m_isRecovered = true, .m_jobs = 2},
                                       {.m_shard = 3, .m_isRecovered = true, .m_jobs = 9}};
};
}

// Guards against a handover after a short excess, of several shards at once, or of a shard with more jobs than another.
TEST_F(ShardBalancerTest, SmallestShardIsHandedOverAfterAnUninterruptedExcess)
{
    EXPECT_FALSE(chooseAfter(Milliseconds(0)));
    EXPECT_FALSE(chooseAfter(m_period - Milliseconds(1), 1));
    EXPECT_FALSE(chooseAfter(Milliseconds(1)));
    EXPECT_FALSE(chooseAfter(m_period - Milliseconds(1)));
    EXPECT_EQ(chooseAfter(Milliseconds(1)), 1U);
    EXPECT_FALSE(chooseAfter(10 * m_period));
    m_owned.erase(m_owned.begin() + 1);
    m_balancer.endHandover(true);
    // Both schedulers own their share now, so no further handover may begin.
    for (int i = 0; i < 10; ++i) {
        EXPECT_FALSE(chooseAfter(m_period));
    }
}

// Guards against a handover that takes longer because the store fails or a recovery is in progress.
TEST_F(ShardBalancerTest, NoHandoverWhileTheStoreFailsOrAShardIsRecovered)
{
    for (bool BalancedShard::*const member : {&BalancedShard::m_isRecovered, &BalancedShard::m_storeFailed}) {
        EXPECT_FALSE(chooseAfter(Milliseconds(0)));
        m_owned[2].*member = !(m_owned[2].*member);
        EXPECT_FALSE(chooseAfter(2 * m_period));
        m_owned[2].*member = !(m_owned[2].*member);
        EXPECT_FALSE(chooseAfter(Milliseconds(0)));
        EXPECT_FALSE(chooseAfter(m_period - Milliseconds(1)));
    }
    EXPECT_TRUE(chooseAfter(Milliseconds(1)));
}

// Guards against a shard that is released in every period because a listed scheduler does not run and cannot claim it.
TEST_F(ShardBalancerTest, HandoverWithoutANewOwnerDoublesTheNextWait)
{
    Milliseconds wait = m_period;
    for (int i = 0; i < 4; ++i, wait *= 2) {
        EXPECT_FALSE(chooseAfter(Milliseconds(0)));
        EXPECT_FALSE(chooseAfter(wait - Milliseconds(1)));
        EXPECT_TRUE(chooseAfter(Milliseconds(1)));
        m_balancer.endHandover(false);
    }
    EXPECT_FALSE(chooseAfter(Milliseconds(0)));
    m_balancer.onSchedulersChanged();
    EXPECT_FALSE(chooseAfter(Milliseconds(0)));
    EXPECT_TRUE(chooseAfter(m_period));
}
