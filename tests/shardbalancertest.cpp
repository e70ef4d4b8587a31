#include "burdockspur/shard/shardbalancer.hpp"

#include <gtest/gtest.h>

#include <vector>

using namespace Burdockspur;

namespace
{
class ShardBalancerTest : public ::testing::Test
{
protected:
    /// @brief Asks after a time has passed; two of four shards are the share.
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

// Guards against a handover in a short excess, of several shards at once, or of one with many jobs.
TEST_F(ShardBalancerTest, SmallestShardIsHandedOverAfterAnUninterruptedExcess)
{
    EXPECT_FALSE(chooseAfter(Milliseconds(0)));
    EXPECT_FALSE(chooseAfter(m_period - Milliseconds(1), 1));
    EXPECT_FALSE(chooseAfter(Milliseconds(1)));
    EXPECT_FALSE(chooseAfter(m_period - Milliseconds(1)));
    EXPECT_EQ(chooseAfter(Milliseconds(1)), 1U);
    EXPECT_FALSE(chooseAfter(10 * m_period));
    m_owned.erase(m_owned.begin() + 1);
    m_balancer.handoverEnded(true);
    // Both own their share now, so nothing may move any more.
    for (int i = 0; i < 10; ++i) {
        EXPECT_FALSE(chooseAfter(m_period));
    }
}

// Guards against a handover that a failing store or an unfinished recovery would prolong.
TEST_F(ShardBalancerTest, NothingMovesWhileTheStoreFailsOrAShardIsRecovered)
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

// Guards against a shard that loses its owner every period because a listed scheduler does not run.
TEST_F(ShardBalancerTest, HandoverWithoutANewOwnerDoublesTheNextWait)
{
    Milliseconds wait = m_period;
    for (int i = 0; i < 4; ++i, wait *= 2) {
        EXPECT_FALSE(chooseAfter(Milliseconds(0)));
        EXPECT_FALSE(chooseAfter(wait - Milliseconds(1)));
        EXPECT_TRUE(chooseAfter(Milliseconds(1)));
        m_balancer.handoverEnded(false);
    }
    EXPECT_FALSE(chooseAfter(Milliseconds(0)));
    m_balancer.schedulersChanged();
    EXPECT_FALSE(chooseAfter(Milliseconds(0)));
    EXPECT_TRUE(chooseAfter(m_period));
}
