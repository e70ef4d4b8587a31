#include "executionhistory.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur::Bench;

namespace
{
constexpr std::string_view firstRun = R"({"entries":[
    {"sequence":1,"t_ms":100,"event":"task_started","task":"j1","attempt":1},
    {"sequence":2,"t_ms":200,"event":"task_ended","state":"stopped","task":"j1","attempt":1}]})";
}

// Guards against a checker that misses a job running on two workers at once.
TEST(ExecutionHistoryTest, OverlappingAttemptsOfTwoWorkersAreFound)
{
    ExecutionHistory history;
    ASSERT_TRUE(history.addJournal("w1", firstRun));
    ASSERT_TRUE(history.addJournal("w2", R"({"entries":[{"sequence":1,"t_ms":150,"event":"task_started","task":"j1","attempt":2}]})"));
    EXPECT_EQ(history.overlapsOf("j1"), 1U);
    EXPECT_EQ(history.startsOf("j1"), 2U);
}

// Guards against a checker that reports successive attempts of a resumed job as overlapping.
TEST(ExecutionHistoryTest, SuccessiveAttemptsDoNotOverlap)
{
    ExecutionHistory history;
    ASSERT_TRUE(history.addJournal("w1", firstRun));
    ASSERT_TRUE(history.addJournal("w2", R"({"entries":[
        {"sequence":1,"t_ms":200,"event":"task_started","task":"j1","attempt":2},
        {"sequence":2,"t_ms":300,"event":"task_ended","state":"completed","task":"j1","attempt":2}]})"));
    EXPECT_EQ(history.overlapsOf("j1"), 0U);
    EXPECT_EQ(history.completionsOf("j1"), 1U);
}

// Guards against a checker that accepts a journal with missing entries.
TEST(ExecutionHistoryTest, IncompleteJournalsAreRefused)
{
    ExecutionHistory history;
    EXPECT_FALSE(history.addJournal("w1", "not json"));
    EXPECT_FALSE(history.addJournal("w1", R"({"entries":[{"sequence":7,"t_ms":1,"event":"task_started","task":"j1","attempt":1}]})"));
}

// Guards against a checker that misses a request executed on two workers.
TEST(ExecutionHistoryTest, ExecutionsOfAKeyAreCountedOverAllWorkers)
{
    ExecutionHistory history;
    ASSERT_TRUE(history.addJournal("w1", R"({"entries":[{"sequence":1,"t_ms":1,"event":"request_started","request":"r1","key":"k"}]})"));
    ASSERT_TRUE(history.addJournal("w2", R"({"entries":[{"sequence":1,"t_ms":9,"event":"request_started","request":"r2","key":"k"}]})"));
    EXPECT_EQ(history.executionsOfKey("k"), 2U);
    EXPECT_EQ(history.repeatedRequestCount(), 0U);
}
