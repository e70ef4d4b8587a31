#include "burdockspur/fleet/ownershipclaim.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
constexpr Milliseconds ownerTimeout{2'000};
constexpr Milliseconds countAge{300}; ///< age of the counts in each row
constexpr Milliseconds readLatency{20}; ///< time from a read to its answer
constexpr Milliseconds bestAge{700}; ///< age of the best capacity in a row
constexpr HostCapacity weakCapacity{0.12, 10}; ///< of the host under test
constexpr HostCapacity strongCapacity{0.5, 200};

class OwnershipClaimTest : public testing::Test
{
protected:
    auto observe(std::uint64_t version, std::string host = "other") -> std::optional<ClaimAttempt>
    {
        const FleetOwnerRow row{std::move(host), "1", 4, version, {{"queue", 7}}, countAge};
        return m_claim.observe(TableRow{std::string(fleetOwnerKey), version, encodeRow(row)}, m_now - readLatency, m_now);
    }

    /// @brief Passes the claim a row with a best capacity.
    auto observeBest(std::uint64_t version, const HostCapacity &best, std::string host = "other", std::string successor = {}) -> std::optional<ClaimAttempt>
    {
        FleetOwnerRow row{.m_host = std::move(host), .m_incarnation = "1", .m_epoch = 4, .m_commit = version};
        row.m_best = {best, bestAge};
        row.m_successor = std::move(successor);
        row.m_successorIncarnation = "7";
        return m_claim.observe(TableRow{std::string(fleetOwnerKey), version, encodeRow(row)}, m_now - readLatency, m_now);
    }

    /// @brief Time until a host that has just started and polls every 20 ms claims a row.
    auto waitOf(const HostCapacity &best, const std::string &host = "other", const std::string &successor = {}) -> Milliseconds
    {
        constexpr Milliseconds checkStep{20};
        constexpr Milliseconds longest{20'000};
        m_claim = OwnershipClaim{"me", "7", ownerTimeout, m_capacity};
        const TimePoint began = m_now;
        while (!observeBest(10, best, host, successor) && m_now - began < longest) {
            m_now += checkStep;
        }
        return std::chrono::duration_cast<Milliseconds>(m_now - began);
    }

    HostCapacity m_capacity = weakCapacity;
    OwnershipClaim m_claim{"me", "7", ownerTimeout, m_capacity};
    TimePoint m_now = TimePoint{} + std::chrono::hours(1);
};
}

// Guards against a fleet without an owner after its first start.
TEST_F(OwnershipClaimTest, ClaimsAnAbsentRow)
{
    const auto attempt = m_claim.observe(std::nullopt, m_now, m_now);
    ASSERT_TRUE(attempt);
    EXPECT_EQ(attempt->m_expectedVersion, 0U);
    EXPECT_EQ(attempt->m_row.m_host, "me");
    EXPECT_EQ(attempt->m_row.m_epoch, 1U);
}

// Guards against a takeover from a live owner, which discards its orders in flight.
TEST_F(OwnershipClaimTest, DoesNotClaimFromAnOwnerThatCommits)
{
    for (std::uint64_t version = 10; version < 40; ++version) {
        EXPECT_FALSE(observe(version));
        m_now += ownerTimeout - Milliseconds{1};
    }
}

// Guards against a dead owner that is never replaced, and against a claim that does not increase the epoch.
TEST_F(OwnershipClaimTest, ClaimsAfterSilence)
{
    EXPECT_FALSE(observe(10));
    m_now += ownerTimeout;
    const auto attempt = observe(10);
    ASSERT_TRUE(attempt);
    EXPECT_EQ(attempt->m_expectedVersion, 10U);
    EXPECT_EQ(attempt->m_row.m_epoch, 5U);
}

// Guards against counting an outage of the store towards the timeout of the owner, which cannot write during one.
TEST_F(OwnershipClaimTest, AnOutageOfTheStoreIsNoSilence)
{
    EXPECT_FALSE(observe(10));
    m_now += ownerTimeout / 2;
    m_claim.observeUnreachable();
    m_now += 10 * ownerTimeout;
    EXPECT_FALSE(observe(10));
    m_now += ownerTimeout;
    EXPECT_TRUE(observe(10));
}

// Guards against a wait of seconds before a released ownership is claimed.
TEST_F(OwnershipClaimTest, ClaimsAReleasedRowAtOnce)
{
    EXPECT_TRUE(observe(10, ""));
}

// Guards against a process that waits for the timeout of its own claim after the answer to it was lost.
TEST_F(OwnershipClaimTest, ReclaimsAtOnceWhenTheAnswerWasLost)
{
    const auto lost = m_claim.observe(std::nullopt, m_now, m_now);
    ASSERT_TRUE(lost);
    const auto again = m_claim.observe(TableRow{std::string(fleetOwnerKey), 11, encodeRow(lost->m_row)}, m_now, m_now);
    ASSERT_TRUE(again);
    EXPECT_EQ(again->m_expectedVersion, 11U);
    EXPECT_EQ(again->m_row.m_epoch, 2U);
    // A row of an earlier incarnation of the same host is treated like that of any other owner.
    FleetOwnerRow earlierIncarnation = again->m_row;
    earlierIncarnation.m_incarnation = "6";
    EXPECT_FALSE(m_claim.observe(TableRow{std::string(fleetOwnerKey), 12, encodeRow(earlierIncarnation)}, m_now, m_now));
}

// Guards against a host that claims its own row again and again after failed takeovers (nine in a row in the incident of 2026-12-05).
TEST_F(OwnershipClaimTest, DoesNotReclaimItsOwnRowAtOnceAfterAFailedTakeover)
{
    const auto taken = m_claim.observe(std::nullopt, m_now, m_now);
    ASSERT_TRUE(taken);
    m_claim.recordClaimConfirmed();
    const TableRow row{std::string(fleetOwnerKey), 11, encodeRow(taken->m_row)};
    EXPECT_FALSE(m_claim.observe(row, m_now, m_now));
    m_now += ownerTimeout;
    EXPECT_TRUE(m_claim.observe(row, m_now, m_now)) << "no other host has claimed the row";
}

// Guards against a host that reclaims the ownership right after its release, and against one that never does so when it is the only host.
TEST_F(OwnershipClaimTest, BacksOffAfterARelease)
{
    constexpr Milliseconds backOff{3'000};
    m_claim.backOff(m_now);
    const TimePoint released = m_now;
    EXPECT_FALSE(observe(10, ""));
    m_now += backOff - Milliseconds{1};
    EXPECT_FALSE(observe(10, ""));
    m_now = released + backOff;
    EXPECT_TRUE(observe(10, ""));
}

// Guards against a weak host that becomes the owner while stronger hosts are alive (incident of 2026-12-05).
TEST_F(OwnershipClaimTest, AWeakHostWaitsLongerAfterATimeout)
{
    const auto wait = waitOf(strongCapacity);
    EXPECT_GE(wait, ownerTimeout + Milliseconds{1'200});
    EXPECT_LT(wait, ownerTimeout + Milliseconds{1'300}) << "a weak host must take over when no strong host does";
}

// Guards against the additional wait of weak hosts on hosts of equal, similar or unknown capacity and on strong hosts.
TEST_F(OwnershipClaimTest, HostsThatAreNotMuchWeakerDoNotWaitLonger)
{
    for (const auto &best : {weakCapacity, HostCapacity{}, HostCapacity{0.17, 10}, HostCapacity{0.12, 25}, HostCapacity{0.5, 5}, HostCapacity{0.06, 200}}) {
        EXPECT_EQ(waitOf(best), ownerTimeout) << best.text();
    }
    m_capacity = strongCapacity;
    EXPECT_EQ(waitOf(strongCapacity), ownerTimeout);
    m_capacity = {};
    EXPECT_EQ(waitOf(strongCapacity), ownerTimeout) << "a host of unknown capacity";
}

// Guards against a weak host that claims a released row before strong hosts can, and against a long wait for such a row.
TEST_F(OwnershipClaimTest, AWeakHostWaitsAShortTimeForAReleasedRow)
{
    EXPECT_EQ(waitOf(strongCapacity, ""), Milliseconds{600});
    EXPECT_EQ(waitOf(weakCapacity, ""), Milliseconds{0});
}

// Guards against hosts that claim before the successor named by a release, and against a long wait for a successor that has died.
TEST_F(OwnershipClaimTest, OtherHostsGiveANamedSuccessorTimeToClaim)
{
    EXPECT_EQ(waitOf(weakCapacity, "", "another"), Milliseconds{800});
    EXPECT_EQ(waitOf(strongCapacity, "", "me"), Milliseconds{0}) << "the successor itself claims at once";
    EXPECT_EQ(waitOf(strongCapacity, "", "another"), Milliseconds{1'400}) << "weak hosts wait longer than strong ones";
}

// Guards against equal hosts that claim in turn after a failed takeover, so that a strong host never gets the ownership.
TEST_F(OwnershipClaimTest, HostsThatAreNotStrongerWaitAfterAFailedTakeover)
{
    const auto claims = [this](const HostCapacity &capacity, const HostCapacity &failed, Milliseconds after) {
        FleetOwnerRow row{.m_host = {}, .m_incarnation = "1", .m_epoch = 4};
        row.m_capacity = failed;
        row.m_hasFailed = true;
        const TableRow stored{std::string(fleetOwnerKey), 10, encodeRow(row)};
        OwnershipClaim claim{"me", "7", ownerTimeout, capacity};
        const bool atOnce = claim.observe(stored, m_now, m_now).has_value();
        return after == Milliseconds{0} ? atOnce : !atOnce && claim.observe(stored, m_now + after, m_now + after).has_value();
    };
    EXPECT_TRUE(claims(strongCapacity, weakCapacity, Milliseconds{0}));
    EXPECT_TRUE(claims(weakCapacity, weakCapacity, Milliseconds{600}));
    EXPECT_TRUE(claims(weakCapacity, strongCapacity, Milliseconds{600}));
    EXPECT_TRUE(claims(weakCapacity, {}, Milliseconds{0})) << "an unknown capacity is never compared";
}

// Guards against a claim that drops the best known capacity, or the capacity of its host, from the owner's row.
TEST_F(OwnershipClaimTest, AClaimStoresTheBestCapacityWithItsAge)
{
    const auto wait = waitOf(strongCapacity);
    const auto attempt = observeBest(10, strongCapacity);
    ASSERT_TRUE(attempt);
    EXPECT_EQ(attempt->m_row.m_capacity, weakCapacity);
    EXPECT_EQ(attempt->m_row.m_best.m_capacity, strongCapacity);
    EXPECT_EQ(attempt->m_row.m_best.m_age, bestAge + wait);
}

// Guards against a fleet whose weak hosts wait forever for strong hosts that no longer exist.
TEST_F(OwnershipClaimTest, TheBestCapacityExpires)
{
    const KnownCapacity known{strongCapacity, Milliseconds{0}};
    const auto kept = known.updated(Milliseconds{29'000}, weakCapacity);
    EXPECT_EQ(kept, (KnownCapacity{strongCapacity, Milliseconds{29'000}}));
    EXPECT_EQ(kept.updated(Milliseconds{1'000}, weakCapacity), (KnownCapacity{weakCapacity, Milliseconds{0}}));
    EXPECT_EQ(kept.updated(Milliseconds{500}, strongCapacity), (KnownCapacity{strongCapacity, Milliseconds{0}})) << "a host of this capacity has confirmed it";
    EXPECT_EQ((KnownCapacity{weakCapacity, Milliseconds{0}}).updated(Milliseconds{0}, strongCapacity).m_capacity, strongCapacity);
}

// Guards against counts of waiting jobs that are considered fresh although their owner is dead (MIXED, 2026-12-04).
TEST_F(OwnershipClaimTest, CountsAreAsOldAsTheLastReadBeforeTheirRow)
{
    EXPECT_FALSE(observe(10));
    const TimePoint readAt = m_now - readLatency;
    m_now += ownerTimeout / 4;
    EXPECT_FALSE(observe(11));
    m_now += ownerTimeout / 2;
    EXPECT_FALSE(observe(11));
    ASSERT_TRUE(m_claim.waitingJobs());
    EXPECT_EQ(m_claim.waitingJobs()->m_asOf, readAt - countAge);
    EXPECT_EQ(m_claim.waitingJobs()->m_byQueue.at("queue"), 7U);
}

// Guards against a restarted host that considers the counts of a long-dead owner fresh (MIXED, incident of 2026-12-05).
TEST_F(OwnershipClaimTest, CountsAreOfUnknownAgeUntilTheRowChanges)
{
    EXPECT_FALSE(observe(10));
    EXPECT_FALSE(m_claim.waitingJobs());
}

// Guards against a claim that copies the counts of the former owner into the new version of the row (MIXED, incident of 2026-12-05).
TEST_F(OwnershipClaimTest, AClaimStoresNoCounts)
{
    EXPECT_FALSE(observe(10));
    m_now += ownerTimeout;
    const auto attempt = observe(10);
    ASSERT_TRUE(attempt);
    EXPECT_FALSE(attempt->m_row.m_waitingAge);
    EXPECT_TRUE(attempt->m_row.m_waiting.empty());
}

// Guards against a host that claims an unreadable row with an epoch below the former owner's: every worker would refuse its orders.
TEST_F(OwnershipClaimTest, ClaimsAnUnreadableRowAboveEveryEarlierEpoch)
{
    const auto attempt = m_claim.observe(TableRow{std::string(fleetOwnerKey), 312, "[["}, m_now, m_now);
    ASSERT_TRUE(attempt);
    EXPECT_EQ(attempt->m_expectedVersion, 312U);
    EXPECT_GT(attempt->m_row.m_epoch, 312U) << "each claim was one transaction, so no epoch is above the version";
}

// Guards against a lease of the former owner that is counted from the claim (LOST), and against one that is counted as over too early (TWICE):
// the row was written before its first read was answered, and an outage of the store does not change that.
TEST_F(OwnershipClaimTest, TellsWhenTheFormerOwnerLastWrote)
{
    FleetOwnerRow row{.m_host = "other", .m_incarnation = "1", .m_epoch = 4, .m_commit = 9};
    row.m_silentWorkers = {{"worker-1", Milliseconds{3'000}}};
    const TableRow stored{std::string(fleetOwnerKey), 9, encodeRow(row)};
    const TimePoint firstRead = m_now;
    EXPECT_FALSE(m_claim.observe(stored, m_now - readLatency, m_now));
    m_claim.observeUnreachable();
    m_now += Milliseconds{1'000};
    EXPECT_FALSE(m_claim.observe(stored, m_now - readLatency, m_now));
    m_now += ownerTimeout;
    const auto attempt = m_claim.observe(stored, m_now - readLatency, m_now);
    ASSERT_TRUE(attempt);
    EXPECT_EQ(attempt->m_former.m_lastSign, firstRead);
    ASSERT_EQ(attempt->m_former.m_silentWorkers.size(), 1U);
    EXPECT_EQ(attempt->m_former.m_silentWorkers.at("worker-1"), firstRead + Milliseconds{3'000});
    EXPECT_TRUE(attempt->m_row.m_silentWorkers.empty()) << "the new owner may renew every lease";
}

// Guards against a list of silent workers that outlives its row (TWICE): a later owner may have renewed their leases.
TEST_F(OwnershipClaimTest, AnUnreadableRowTellsNothingOfLeases)
{
    FleetOwnerRow row{.m_host = "other", .m_incarnation = "1", .m_epoch = 4, .m_commit = 9};
    row.m_silentWorkers = {{"worker-1", Milliseconds{3'000}}};
    EXPECT_FALSE(m_claim.observe(TableRow{std::string(fleetOwnerKey), 9, encodeRow(row)}, m_now - readLatency, m_now));
    EXPECT_FALSE(m_claim.observe(TableRow{std::string(fleetOwnerKey), 10, "{"}, m_now - readLatency, m_now));
    m_now += ownerTimeout;
    const auto attempt = m_claim.observe(TableRow{std::string(fleetOwnerKey), 10, "{"}, m_now - readLatency, m_now);
    ASSERT_TRUE(attempt);
    EXPECT_TRUE(attempt->m_former.m_silentWorkers.empty());
}
