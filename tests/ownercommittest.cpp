#include "memorystore.hpp"

#include "burdockspur/fleet/ownercommit.hpp"

#include <gtest/gtest.h>

#include <optional>

using namespace Burdockspur;
using namespace Burdockspur::Testing;

namespace
{
using namespace std::chrono_literals;

class OwnerCommitTest : public testing::Test
{
protected:
    OwnerCommitTest()
        : m_row{.m_host = "host-1", .m_incarnation = "1", .m_epoch = 3}
    {
        m_store.put(fleetOwnerKey, encodeRow(m_row));
        m_commits.begin(m_row, 1);
    }

    auto commit(std::uint64_t number) -> void
    {
        m_answer.reset();
        m_commits.commit(CommitOrder{.m_number = number, .m_epoch = 3}, {});
    }

    FleetOwnerRow m_row;
    MemoryStore m_store;
    std::optional<CommitAnswer> m_answer;
    int m_answers = 0;
    bool m_isLost = false;
    OwnerCommit m_commits{m_store,
                          {.m_answered =
                               [this](const CommitAnswer &answer) {
                                   m_answer = answer;
                                   ++m_answers;
                               },
                           .m_lost =
                               [this] {
                                   m_isLost = true;
                               },
                           .m_runLater =
                               [this](Milliseconds pause, std::function<void()> call) {
                                   m_store.later(pause, std::move(call));
                               }}};
};
}

// Guards against an owner that starts nothing for the whole time-out of a commit whose answer was lost.
TEST_F(OwnerCommitTest, ACommitWhoseAnswerIsLostIsSettledByARead)
{
    m_store.m_nextFault = [] {
        return MemoryStore::Fault::AnswerLost;
    };
    commit(1);
    m_store.run(600ms);
    ASSERT_TRUE(m_answer) << "the read after 0.4 s finds the commit";
    EXPECT_TRUE(m_answer->m_isStored);
    m_store.m_nextFault = nullptr;
    commit(2);
    m_store.run(2s);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->m_number, 2U) << "the time-out of the first commit must not end the second one";
    EXPECT_TRUE(m_answer->m_isStored);
    EXPECT_EQ(m_answers, 2);
}

// Guards against a commit that is reported as not stored because a read was faster, and that takes effect later.
TEST_F(OwnerCommitTest, ACommitUnderWayIsNotGivenUpByARead)
{
    m_store.m_nextFault = [] {
        return MemoryStore::Fault::RequestLost;
    };
    commit(1);
    m_store.run(1'100ms);
    EXPECT_FALSE(m_answer) << "it may still be on its way";
    m_store.run(400ms);
    ASSERT_TRUE(m_answer);
    EXPECT_FALSE(m_answer->m_isStored);
    m_store.m_nextFault = nullptr;
    commit(2);
    m_store.run(100ms);
    EXPECT_TRUE(m_answer && m_answer->m_isStored);
}

// Guards against a former owner that learns of its successor only from the time-out of its commit.
TEST_F(OwnerCommitTest, AReadThatFindsAnotherOwnerEndsTheOwnership)
{
    m_store.m_nextFault = [this] {
        m_row.m_host = "host-2";
        m_row.m_epoch = 4;
        m_store.put(fleetOwnerKey, encodeRow(m_row));
        return MemoryStore::Fault::AnswerLost;
    };
    commit(1);
    m_store.run(600ms);
    EXPECT_TRUE(m_isLost);
    EXPECT_FALSE(m_commits.isOwner());
    m_store.run(5s);
    EXPECT_FALSE(m_answer);
}
