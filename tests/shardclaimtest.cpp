#include "burdockspur/shard/shardclaim.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
/// @brief Runs the claim of host `h1` on a shard; the tests answer its reads and writes.
class ShardClaimTest : public ::testing::Test
{
protected:
    auto tick(const ClaimBalance &balance = {}) -> ShardCommands
    {
        ShardCommands commands;
        m_claim.tick(balance, m_now, m_random, commands);
        return commands;
    }

    /// @brief Answers a read of the owner row.
    auto answerRead(std::uint64_t version, std::string owner, Epoch epoch) -> ShardClaim::Change
    {
        RowRead answer;
        answer.m_succeeded = true;
        answer.m_stamp.m_version = version;
        answer.m_ownership = {.m_shard = 0, .m_epoch = epoch, .m_owner = std::move(owner), .m_heartbeat = version};
        return m_claim.onRead(answer, m_now, m_random);
    }

    /// @brief Answers one read for each heartbeat period with an unchanged row, and checks that no claim is written.
    auto watchUnchanged(std::uint64_t version, Duration length, std::string_view owner = "h2", Epoch epoch = 4, const ClaimBalance &balance = {}) -> void
    {
        for (const TimePoint end = m_now + length; m_now < end;) {
            EXPECT_FALSE(writeOf(tick(balance)));
            m_now = std::min<TimePoint>(end, m_now + m_settings.m_heartbeat);
            answerRead(version, std::string(owner), epoch);
        }
    }

    static auto writeOf(const ShardCommands &commands) -> std::optional<WriteOwnerRow>
    {
        for (const auto &command : commands) {
            if (const auto *const write = std::get_if<WriteOwnerRow>(&command)) {
                return *write;
            }
        }
        return std::nullopt;
    }

    /// @brief Answers a write of the owner row.
    auto answerWrite(const WriteOwnerRow &write, CommitResult::Status status) -> ShardClaim::Change
    {
        RowWritten answer;
        answer.m_operation = write.m_operation;
        answer.m_status = status;
        answer.m_stamp.m_version = write.m_version + 1;
        answer.m_epochVersion = write.m_takeover ? write.m_epochVersion + 1 : 0;
        return m_claim.onWritten(answer, m_now, m_random);
    }

    /// @brief Makes the claim the owner of a shard that had none.
    auto acquire() -> void
    {
        tick();
        answerRead(0, "", 0);
        m_now += Milliseconds(200);
        const auto write = writeOf(tick());
        ASSERT_TRUE(write && write->m_takeover);
        ASSERT_EQ(answerWrite(*write, CommitResult::Status::Committed), ShardClaim::Change::Acquired);
    }

    ShardSettings m_settings;
    RandomSource m_random{1};
    TimePoint m_now{std::chrono::hours(1)};
    ShardClaim m_claim{0, "h1", m_settings};
};
}

// Guards against a takeover from an owner that still writes its heartbeat.
TEST_F(ShardClaimTest, ChangingHeartbeatPreventsATakeover)
{
    for (std::uint64_t version = 1; version < 10; ++version) {
        EXPECT_FALSE(writeOf(tick()));
        answerRead(version, "h2", 4);
        m_now += Milliseconds(1'000);
    }
    // The last read was answered 1 s ago.
    watchUnchanged(9, m_settings.m_takeover - Milliseconds(1'000));
    m_now += Milliseconds(100); // longest jitter
    const auto write = writeOf(tick());
    ASSERT_TRUE(write);
    EXPECT_EQ(write->m_ownership.m_epoch, 5U);
    EXPECT_EQ(write->m_version, 9U);
    EXPECT_EQ(write->m_epochVersion, 4U);
}

// Guards against takeovers of all shards after an outage of the store, in which no owner could write its heartbeat.
TEST_F(ShardClaimTest, TimeOfAnOutageDoesNotCountTowardsTheTakeover)
{
    tick();
    answerRead(1, "h2", 4);
    m_now += Milliseconds(60'000);
    RowRead failed;
    EXPECT_EQ(m_claim.onRead(failed, m_now, m_random), ShardClaim::Change::None);
    EXPECT_FALSE(writeOf(tick()));
    answerRead(1, "h2", 4);
    EXPECT_FALSE(writeOf(tick()));
    watchUnchanged(1, m_settings.m_takeover);
    m_now += Milliseconds(100);
    EXPECT_TRUE(writeOf(tick()));
}

// Guards against a takeover by a scheduler whose reads of the row are not answered.
TEST_F(ShardClaimTest, UnansweredReadsCauseNoTakeover)
{
    tick();
    answerRead(1, "h2", 4);
    for (int i = 0; i < 10; ++i) {
        m_now += m_settings.m_takeover;
        EXPECT_FALSE(writeOf(tick()));
    }
}

// Guards against a takeover before the owner's first heartbeat after an outage, which may wait for the timeout of a lost
// call and for a retry.
TEST_F(ShardClaimTest, OwnerHasTimeForItsFirstHeartbeatAfterALongOutage)
{
    tick();
    answerRead(1, "h2", 4);
    RowRead failed;
    for (Duration outage{0}; outage <= m_settings.m_takeover; outage += m_settings.m_heartbeat) {
        m_now += m_settings.m_heartbeat;
        static_cast<void>(m_claim.onRead(failed, m_now, m_random));
    }
    answerRead(1, "h2", 4);
    watchUnchanged(1, m_settings.m_storeTimeout + m_settings.m_heartbeat + m_settings.m_takeover);
    m_now += Milliseconds(100);
    EXPECT_TRUE(writeOf(tick()));
}

// Guards against a scheduler that claims every shard before the other schedulers have started.
TEST_F(ShardClaimTest, SchedulerAboveItsShareClaimsLater)
{
    const ClaimBalance full{.m_owned = 3, .m_share = 3, .m_mayClaim = true};
    tick(full);
    answerRead(0, "", 0);
    m_now += Milliseconds(200);
    EXPECT_FALSE(writeOf(tick(full)));
    EXPECT_TRUE(writeOf(tick({.m_owned = 2, .m_share = 3, .m_mayClaim = true})));
}

// Guards against lease renewals by a former owner after a pause, and against an owner that stops renewing leases in an
// outage of the store.
TEST_F(ShardClaimTest, OwnerMayNotActAfterAPauseButMayDuringAnOutage)
{
    acquire();
    EXPECT_TRUE(m_claim.mayAct(m_now));
    m_now += Milliseconds(10'000);
    EXPECT_FALSE(m_claim.mayAct(m_now));
    const auto write = writeOf(tick());
    ASSERT_TRUE(write);
    answerWrite(*write, CommitResult::Status::NotApplied);
    EXPECT_TRUE(m_claim.mayAct(m_now));
}

// Guards against a lost answer that counts as a failed write, and against a second write without a read-back.
TEST_F(ShardClaimTest, LostAnswerIsReadBack)
{
    tick();
    answerRead(0, "", 0);
    m_now += Milliseconds(200);
    const auto write = writeOf(tick());
    ASSERT_TRUE(write);
    answerWrite(*write, CommitResult::Status::Unknown);
    m_now += Milliseconds(200);
    const auto commands = tick();
    EXPECT_FALSE(writeOf(commands));
    RowRead answer;
    answer.m_operation = write->m_operation;
    answer.m_succeeded = true;
    answer.m_stamp = {.m_version = 1, .m_operation = write->m_operation};
    EXPECT_EQ(m_claim.onRead(answer, m_now, m_random), ShardClaim::Change::Acquired);
    EXPECT_EQ(m_claim.epochVersion(), 1U);
}

// Guards against a scheduler that claims a shard again right after it has handed it over.
TEST_F(ShardClaimTest, HandedOverShardIsNotClaimedBeforeTheDelayEnds)
{
    acquire();
    m_claim.release();
    const auto write = writeOf(tick());
    ASSERT_TRUE(write);
    EXPECT_EQ(answerWrite(*write, CommitResult::Status::Committed), ShardClaim::Change::Released);
    m_claim.delayClaim(m_now + m_settings.m_takeover);
    tick();
    answerRead(2, "", 1);
    watchUnchanged(2, m_settings.m_takeover - Milliseconds(1), "", 1);
    EXPECT_FALSE(writeOf(tick()));
    EXPECT_GE(m_claim.deadline(), m_now);
    m_now += Milliseconds(1);
    EXPECT_TRUE(writeOf(tick()));
}

// Guards against takeovers that take a whole read period longer because each read comes just before a heartbeat, and
// against more than one read for each heartbeat.
TEST_F(ShardClaimTest, ReadsAlignWithTheHeartbeats)
{
    TimePoint lastHeartbeat = m_now - Milliseconds(400);
    std::uint64_t version = 0;
    int reads = 0;
    int lateReads = 0;
    constexpr int heartbeats = 200;
    for (int step = 0; step < heartbeats * 1'000; ++step, m_now += Milliseconds(1)) {
        if (m_now >= lastHeartbeat + m_settings.m_heartbeat) {
            lastHeartbeat = m_now;
            ++version;
        }
        if (m_now >= m_claim.deadline()) {
            const auto commands = tick();
            EXPECT_FALSE(writeOf(commands));
            if (!commands.empty()) {
                ++reads;
                lateReads += version > heartbeats / 10 && m_now - lastHeartbeat > Milliseconds(150) ? 1 : 0;
                answerRead(version, "h2", 4);
            }
        }
    }
    EXPECT_LE(reads, heartbeats + heartbeats / 50);
    EXPECT_LE(lateReads, heartbeats / 20);
}

// Guards against a takeover that is delayed for seconds because the scheduler owns more shards than its share.
TEST_F(ShardClaimTest, ExcessShardsDelayATakeoverByAtMostHalfAHeartbeat)
{
    const ClaimBalance full{.m_owned = 9, .m_share = 2, .m_mayClaim = true};
    tick(full);
    answerRead(1, "h2", 4);
    watchUnchanged(1, m_settings.m_takeover, "h2", 4, full);
    EXPECT_FALSE(writeOf(tick(full)));
    m_now += m_settings.m_heartbeat / 2 + Milliseconds(100);
    EXPECT_TRUE(writeOf(tick(full)));
}

// Guards against an owner that ignores a higher epoch in the owner row.
TEST_F(ShardClaimTest, HigherEpochEndsTheOwnership)
{
    acquire();
    m_claim.requestCheck();
    tick();
    EXPECT_EQ(answerRead(9, "h2", 2), ShardClaim::Change::Lost);
    EXPECT_FALSE(m_claim.isOwner());
}
