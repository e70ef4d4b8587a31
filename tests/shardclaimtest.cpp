#include "burdockspur/shard/shardclaim.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
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
    auto read(std::uint64_t version, std::string owner, Epoch epoch) -> ShardClaim::Change
    {
        RowRead answer;
        answer.m_succeeded = true;
        answer.m_stamp.m_version = version;
        answer.m_ownership = {.m_shard = 0, .m_epoch = epoch, .m_owner = std::move(owner), .m_heartbeat = version};
        return m_claim.onRead(answer, m_now, m_random);
    }

    /// @brief Reads the unchanged row once a heartbeat for a time in which nothing may be claimed.
    auto watchUnchanged(std::uint64_t version, Duration length, std::string_view owner = "h2", Epoch epoch = 4, const ClaimBalance &balance = {}) -> void
    {
        for (const TimePoint end = m_now + length; m_now < end;) {
            EXPECT_FALSE(writeOf(tick(balance)));
            m_now = std::min<TimePoint>(end, m_now + m_settings.m_heartbeat);
            read(version, std::string(owner), epoch);
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

    auto written(const WriteOwnerRow &write, CommitResult::Status status) -> ShardClaim::Change
    {
        RowWritten answer;
        answer.m_operation = write.m_operation;
        answer.m_status = status;
        answer.m_stamp.m_version = write.m_version + 1;
        answer.m_epochVersion = write.m_takeover ? write.m_epochVersion + 1 : 0;
        return m_claim.onWritten(answer, m_now, m_random);
    }

    auto own() -> void
    {
        tick();
        read(0, "", 0);
        m_now += Milliseconds(200);
        const auto write = writeOf(tick());
        ASSERT_TRUE(write && write->m_takeover);
        ASSERT_EQ(written(*write, CommitResult::Status::Committed), ShardClaim::Change::Acquired);
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
        read(version, "h2", 4);
        m_now += Milliseconds(1'000);
    }
    // The last answer is 1 s old here.
    watchUnchanged(9, m_settings.m_takeover - Milliseconds(1'000));
    m_now += Milliseconds(100); // jitter
    const auto write = writeOf(tick());
    ASSERT_TRUE(write);
    EXPECT_EQ(write->m_ownership.m_epoch, 5U);
    EXPECT_EQ(write->m_version, 9U);
    EXPECT_EQ(write->m_epochVersion, 4U);
}

// Guards against takeovers all over the fleet after an outage in which no owner could write its heartbeat.
TEST_F(ShardClaimTest, TimeWithoutAStoreDoesNotCount)
{
    tick();
    read(1, "h2", 4);
    m_now += Milliseconds(60'000);
    RowRead failed;
    EXPECT_EQ(m_claim.onRead(failed, m_now, m_random), ShardClaim::Change::None);
    EXPECT_FALSE(writeOf(tick()));
    read(1, "h2", 4);
    EXPECT_FALSE(writeOf(tick()));
    watchUnchanged(1, m_settings.m_takeover);
    m_now += Milliseconds(100);
    EXPECT_TRUE(writeOf(tick()));
}

// Guards against a takeover by a scheduler whose reads of the row have had no answer.
TEST_F(ShardClaimTest, SilentStoreGivesNoReasonToClaim)
{
    tick();
    read(1, "h2", 4);
    for (int i = 0; i < 10; ++i) {
        m_now += m_settings.m_takeover;
        EXPECT_FALSE(writeOf(tick()));
    }
}

// Guards against a takeover before the owner's first heartbeat after an outage, which may wait for a lost call and a retry.
TEST_F(ShardClaimTest, OwnerHasTimeForItsFirstHeartbeatAfterALongOutage)
{
    tick();
    read(1, "h2", 4);
    RowRead failed;
    for (Duration outage{0}; outage <= m_settings.m_takeover; outage += m_settings.m_heartbeat) {
        m_now += m_settings.m_heartbeat;
        static_cast<void>(m_claim.onRead(failed, m_now, m_random));
    }
    read(1, "h2", 4);
    watchUnchanged(1, m_settings.m_storeTimeout + m_settings.m_heartbeat + m_settings.m_takeover);
    m_now += Milliseconds(100);
    EXPECT_TRUE(writeOf(tick()));
}

// Guards against a scheduler that takes every shard before the others have started.
TEST_F(ShardClaimTest, SchedulerAboveItsShareClaimsLater)
{
    const ClaimBalance full{.m_owned = 3, .m_share = 3, .m_mayClaim = true};
    tick(full);
    read(0, "", 0);
    m_now += Milliseconds(200);
    EXPECT_FALSE(writeOf(tick(full)));
    EXPECT_TRUE(writeOf(tick({.m_owned = 2, .m_share = 3, .m_mayClaim = true})));
}

// Guards against renewals by a former owner that was paused, and against leases that end with a store outage.
TEST_F(ShardClaimTest, PausedOwnerHoldsBackButAnOutageDoesNotStopIt)
{
    own();
    EXPECT_TRUE(m_claim.mayAct(m_now));
    m_now += Milliseconds(10'000);
    EXPECT_FALSE(m_claim.mayAct(m_now));
    const auto write = writeOf(tick());
    ASSERT_TRUE(write);
    written(*write, CommitResult::Status::NotApplied);
    EXPECT_TRUE(m_claim.mayAct(m_now));
}

// Guards against a lost answer that is taken for a failed write, and against a blind second write.
TEST_F(ShardClaimTest, LostAnswerIsReadBack)
{
    tick();
    read(0, "", 0);
    m_now += Milliseconds(200);
    const auto write = writeOf(tick());
    ASSERT_TRUE(write);
    written(*write, CommitResult::Status::Unknown);
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

// Guards against a scheduler that takes back at once what it has handed over.
TEST_F(ShardClaimTest, HandedOverShardIsNotClaimedBeforeTheHoldEnds)
{
    own();
    m_claim.release();
    const auto write = writeOf(tick());
    ASSERT_TRUE(write);
    EXPECT_EQ(written(*write, CommitResult::Status::Committed), ShardClaim::Change::Released);
    m_claim.holdOff(m_now + m_settings.m_takeover);
    tick();
    read(2, "", 1);
    watchUnchanged(2, m_settings.m_takeover - Milliseconds(1), "", 1);
    EXPECT_FALSE(writeOf(tick()));
    EXPECT_GE(m_claim.deadline(), m_now);
    m_now += Milliseconds(1);
    EXPECT_TRUE(writeOf(tick()));
}

// Guards against takeovers that wait a whole reading period longer because reads fall just before the heartbeats,
// and against more reads than one a heartbeat.
TEST_F(ShardClaimTest, ReadsComeToFollowTheHeartbeatsClosely)
{
    TimePoint beat = m_now;
    std::uint64_t version = 0;
    int reads = 0;
    int lateReads = 0;
    constexpr int beats = 200;
    for (int step = 0; step < beats * 1'000; ++step, m_now += Milliseconds(1)) {
        if (m_now >= beat + m_settings.m_heartbeat) {
            beat = m_now;
            ++version;
        }
        if (m_now >= m_claim.deadline()) {
            const auto commands = tick();
            EXPECT_FALSE(writeOf(commands));
            if (!commands.empty()) {
                ++reads;
                lateReads += version > beats / 10 && m_now - beat > Milliseconds(150) ? 1 : 0;
                read(version, "h2", 4);
            }
        }
    }
    EXPECT_LE(reads, beats + beats / 50);
    EXPECT_LE(lateReads, beats / 20);
}

// Guards against an excess that leaves the shards of a silent owner without one for seconds.
TEST_F(ShardClaimTest, ExcessDelaysTheTakeoverFromASilentOwnerByHalfAHeartbeatAtMost)
{
    const ClaimBalance full{.m_owned = 9, .m_share = 2, .m_mayClaim = true};
    tick(full);
    read(1, "h2", 4);
    watchUnchanged(1, m_settings.m_takeover, "h2", 4, full);
    EXPECT_FALSE(writeOf(tick(full)));
    m_now += m_settings.m_heartbeat / 2 + Milliseconds(100);
    EXPECT_TRUE(writeOf(tick(full)));
}

// Guards against an owner that ignores a higher epoch.
TEST_F(ShardClaimTest, HigherEpochEndsTheOwnership)
{
    own();
    m_claim.doubt();
    tick();
    EXPECT_EQ(read(9, "h2", 2), ShardClaim::Change::Lost);
    EXPECT_FALSE(m_claim.isOwner());
}
