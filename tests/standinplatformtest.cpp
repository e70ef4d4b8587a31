#include "standins/fault.hpp"
#include "standins/hostlistmodel.hpp"
#include "standins/tablemodel.hpp"
#include "standins/tokenbucket.hpp"

#include "burdockspur/core/randomsource.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;
using namespace Burdockspur::Standins;
using namespace std::chrono_literals;
using Status = CommitResult::Status;

// Guards against lost updates: of two writers that expect the same version, only one may succeed.
TEST(StandinPlatformTest, ConditionsDecideAtomically)
{
    TableModel table;
    const auto first = table.commit({{{"a", 0}}, {{"a", "1"}, {"b", "1"}}, {}});
    EXPECT_EQ(first.m_status, Status::Committed);
    EXPECT_EQ(first.m_rows.at(1).m_version, 1U);
    const auto second = table.commit({{{"a", 0}, {"b", 1}}, {{"b", "2"}}, {"a"}});
    EXPECT_EQ(second.m_status, Status::Conflict);
    ASSERT_EQ(second.m_rows.size(), 1U);
    EXPECT_EQ(second.m_rows[0].m_value, "1");
    EXPECT_EQ(table.read("b")->m_version, 1U);
    EXPECT_EQ(table.commit({{{"a", 1}}, {{"b", "2"}}, {"a"}}).m_status, Status::Committed);
    EXPECT_EQ(table.read("b")->m_version, 2U);
    EXPECT_FALSE(table.read("a"));
    EXPECT_EQ(table.commit({{{"missing", 0}}, {}, {}}).m_status, Status::Committed);
}

// Guards against transactions whose result depends on the order of their writes.
TEST(StandinPlatformTest, KeyIsWrittenOnceInATransaction)
{
    TableModel table;
    EXPECT_EQ(table.commit({{}, {{"a", "1"}, {"a", "2"}}, {}}).m_status, Status::NotApplied);
    EXPECT_EQ(table.commit({{}, {{"a", "1"}}, {"a"}}).m_status, Status::NotApplied);
    EXPECT_EQ(table.size(), 0U);
}

// Guards against pages that repeat or skip a row, or include keys without the prefix.
TEST(StandinPlatformTest, ScanReturnsConsecutivePages)
{
    TableModel table;
    ASSERT_EQ(table.commit({{}, {{"a", ""}, {"s/1", ""}, {"s/2", ""}, {"s/3", ""}, {"t", ""}}, {}}).m_status, Status::Committed);
    const auto first = table.scan("s/", "", 2);
    ASSERT_EQ(first.size(), 2U);
    EXPECT_EQ(first[1].m_key, "s/2");
    const auto second = table.scan("s/", first[1].m_key, 2);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].m_key, "s/3");
    EXPECT_EQ(table.scan("", "", 100).size(), 5U);
}

// Guards against a limit that admits bursts of more than one second, or never refills.
TEST(StandinPlatformTest, TokenBucketLimitsTheRate)
{
    TokenBucket bucket;
    auto now = TimePoint{} + 1h;
    EXPECT_TRUE(bucket.take(now, 0, 1'000));
    for (int i = 0; i < 10; ++i) {
        EXPECT_TRUE(bucket.take(now, 10, 1));
    }
    EXPECT_FALSE(bucket.take(now, 10, 1));
    now += 100ms;
    EXPECT_TRUE(bucket.take(now, 10, 1));
    EXPECT_FALSE(bucket.take(now, 10, 1));
    now += 1h;
    EXPECT_TRUE(bucket.take(now, 10, 15));
    EXPECT_FALSE(bucket.take(now + 1s, 10, 10));
}

// Guards against changes that are visible too early or in the wrong order.
TEST(StandinPlatformTest, HostListChangesBecomeVisibleAfterTheLag)
{
    HostListModel list;
    const auto now = TimePoint{} + 1h;
    HostRecord host;
    host.m_name = "w1";
    list.set(now, {host}, 0ms);
    EXPECT_EQ(list.visible(now).m_hosts.size(), 1U);
    EXPECT_TRUE(list.setState(now, "w1", HostState::Leaving, 500ms));
    EXPECT_FALSE(list.setState(now, "w2", HostState::Leaving, 500ms));
    list.set(now + 1ms, {}, 0ms);
    EXPECT_EQ(list.visible(now + 499ms).m_generation, 1U);
    EXPECT_EQ(list.visible(now + 499ms).m_hosts.at(0).m_state, HostState::Live);
    EXPECT_EQ(list.visible(now + 500ms).m_generation, 3U);
    EXPECT_TRUE(list.visible(now + 500ms).m_hosts.empty());
}

// Guards against faults that exceed their count, and faults that ignore their match.
TEST(StandinPlatformTest, FaultsRespectTheirCountAndMatch)
{
    RandomSource random(1);
    Fault fault{1, 2, "/v1/tasks"};
    EXPECT_FALSE(fault.triggers(random, "/v1/leases/0"));
    EXPECT_TRUE(fault.triggers(random, "/v1/tasks/j1"));
    EXPECT_TRUE(fault.triggers(random, "/v1/tasks/j1"));
    EXPECT_FALSE(fault.triggers(random, "/v1/tasks/j1"));
    EXPECT_FALSE(fault.isOn());
    Fault share{0.25, {}, {}};
    int triggered = 0;
    for (int i = 0; i < 1'000; ++i) {
        triggered += share.triggers(random) ? 1 : 0;
    }
    EXPECT_NEAR(triggered, 250, 60);
}
