#include "burdockspur/fleet/handover.hpp"
#include "burdockspur/fleet/ownershipcandidate.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
constexpr HostCapacity weak{0.12, 10};
constexpr HostCapacity strong{0.5, 200};
constexpr HostCapacity stronger{2, 1'000};
constexpr Milliseconds pollInterval{400};
constexpr Epoch epoch = 7;

[[nodiscard]] auto ownerRow(const HostCapacity &capacity) -> FleetOwnerRow
{
    FleetOwnerRow row{.m_host = "owner", .m_incarnation = "1", .m_epoch = epoch, .m_commit = 3};
    row.m_capacity = capacity;
    row.m_best = {capacity, Milliseconds{0}};
    return row;
}

[[nodiscard]] auto offerRow(std::uint64_t version, const HostCapacity &capacity, Epoch ofEpoch = epoch, std::string host = "other") -> TableRow
{
    return {std::string(fleetCandidateKey), version, encodeRow(FleetCandidateRow{std::move(host), "2", capacity, ofEpoch})};
}

class OwnershipCandidateTest : public testing::Test
{
protected:
    /// @brief Passes the owner's row to the candidate at each poll for a time.
    /// @returns time until a read of the candidate's row was first requested
    auto observe(const FleetOwnerRow &owner, Milliseconds length) -> std::optional<Milliseconds>
    {
        std::optional<Milliseconds> first;
        for (Milliseconds at{0}; at < length; at += pollInterval, m_now += pollInterval) {
            if (m_candidate.observeOwner(owner, m_now) && !first) {
                first = at;
            }
        }
        return first;
    }

    OwnershipCandidate m_candidate{"me", "7", strong};
    TimePoint m_now = TimePoint{} + std::chrono::hours(1);
};

class HandOverTest : public testing::Test
{
protected:
    HandOverTest()
    {
        m_handOver.begin(ownerRow(weak), m_now);
    }

    /// @brief Number of checks that are due in a time.
    auto countChecks(Milliseconds length) -> int
    {
        int checks = 0;
        for (Milliseconds at{0}; at < length; at += pollInterval, m_now += pollInterval) {
            checks += m_handOver.isCheckDue(m_now) ? 1 : 0;
        }
        return checks;
    }

    HandOver m_handOver{"owner", weak};
    TimePoint m_now = TimePoint{} + std::chrono::hours(1);
};
}

// Guards against a fleet that keeps a weak owner while a strong host is alive (13 s in the incident of 2026-12-05).
TEST_F(OwnershipCandidateTest, OffersToReplaceAWeakOwner)
{
    const auto due = observe(ownerRow(weak), Milliseconds{4'000});
    ASSERT_TRUE(due);
    EXPECT_GE(*due, Milliseconds{3'000}) << "the store must have answered for some seconds";
    const auto attempt = m_candidate.observeCandidate(std::nullopt, m_now);
    ASSERT_TRUE(attempt);
    EXPECT_EQ(attempt->m_expectedVersion, 0U);
    EXPECT_EQ(attempt->m_row, (FleetCandidateRow{"me", "7", strong, epoch}));
    EXPECT_TRUE(m_candidate.isAwaitingHandOver(m_now));
}

// Guards against useless reads and hand-overs in a fleet of similar hosts.
TEST_F(OwnershipCandidateTest, OffersNothingToAnOwnerThatIsNotMuchWeaker)
{
    for (const auto &capacity : {strong, stronger, HostCapacity{}, HostCapacity{0.4, 200}, HostCapacity{0.12, 1'000}}) {
        EXPECT_FALSE(observe(ownerRow(capacity), Milliseconds{10'000})) << capacity.text();
    }
}

// Guards against an offer to an owner that still reads the jobs, and against an offer while there is no owner.
TEST_F(OwnershipCandidateTest, OffersNothingBeforeTheOwnersFirstCommit)
{
    auto row = ownerRow(weak);
    row.m_commit = 0;
    EXPECT_FALSE(observe(row, Milliseconds{10'000}));
    row = ownerRow(weak);
    row.m_host.clear();
    EXPECT_FALSE(observe(row, Milliseconds{10'000}));
}

// Guards against a hand-over to a host with an unreliable connection to the store.
TEST_F(OwnershipCandidateTest, OffersNothingWhileTheStoreFailsIntermittently)
{
    for (int i = 0; i < 8; ++i) {
        EXPECT_FALSE(observe(ownerRow(weak), Milliseconds{2'800}));
        m_candidate.observeUnreachable();
    }
}

// Guards against strong hosts that overwrite each other's valid offers, and against an offer of a dead host that is never replaced.
TEST_F(OwnershipCandidateTest, ReplacesOnlyOffersThatAreOldOrWeak)
{
    observe(ownerRow(weak), Milliseconds{4'000});
    EXPECT_FALSE(m_candidate.observeCandidate(offerRow(5, strong), m_now));
    m_now += Milliseconds{2'900};
    EXPECT_FALSE(m_candidate.observeCandidate(offerRow(5, strong), m_now));
    EXPECT_FALSE(m_candidate.isAwaitingHandOver(m_now));
    EXPECT_TRUE(m_candidate.observeCandidate(offerRow(6, strong, epoch - 1), m_now)) << "an offer to an earlier owner";
    EXPECT_FALSE(m_candidate.observeCandidate(offerRow(7, strong), m_now));
    EXPECT_TRUE(m_candidate.observeCandidate(offerRow(8, weak), m_now)) << "an offer of a weak host";
    m_now += Milliseconds{1'000};
    EXPECT_FALSE(m_candidate.observeCandidate(offerRow(9, strong), m_now));
    m_now += Milliseconds{3'000};
    EXPECT_TRUE(m_candidate.observeCandidate(offerRow(9, strong), m_now)) << "an offer that was not renewed";
}

// Guards against two hosts that replace each other in turn.
TEST_F(OwnershipCandidateTest, OffersNothingSoonAfterItLostTheOwnership)
{
    m_candidate.backOff(m_now);
    const auto due = observe(ownerRow(weak), Milliseconds{15'000});
    ASSERT_TRUE(due);
    EXPECT_GE(*due, Milliseconds{10'000});
}

// Guards against a weak owner that does not hand over to a strong host.
TEST_F(HandOverTest, HandsOverToAMuchStrongerHost)
{
    m_now += Milliseconds{3'000};
    EXPECT_TRUE(m_handOver.isCheckDue(m_now));
    EXPECT_FALSE(m_handOver.observeCandidate(std::nullopt, m_now));
    const auto successor = m_handOver.observeCandidate(offerRow(5, strong), m_now);
    ASSERT_TRUE(successor);
    EXPECT_EQ(successor->m_host, "other");
    EXPECT_EQ(m_handOver.best(m_now), (KnownCapacity{strong, Milliseconds{0}}));
}

// Guards against a hand-over to a host that is not much stronger, has offered to an earlier owner, or is the owner itself, and against
// one due to an unreadable row.
TEST_F(HandOverTest, RejectsUnsuitableCandidates)
{
    m_now += Milliseconds{3'000};
    EXPECT_FALSE(m_handOver.observeCandidate(offerRow(5, weak), m_now));
    EXPECT_FALSE(m_handOver.observeCandidate(offerRow(6, HostCapacity{0.15, 20}), m_now));
    EXPECT_FALSE(m_handOver.observeCandidate(offerRow(7, strong, epoch - 1), m_now));
    EXPECT_FALSE(m_handOver.observeCandidate(offerRow(8, strong, epoch, "owner"), m_now));
    EXPECT_FALSE(m_handOver.observeCandidate(TableRow{std::string(fleetCandidateKey), 9, "{"}, m_now));
}

// Guards against owners that change so quickly that the fleet is not scheduled.
TEST_F(HandOverTest, DoesNotHandOverInItsFirstSeconds)
{
    m_now += Milliseconds{2'900};
    EXPECT_FALSE(m_handOver.isCheckDue(m_now));
    EXPECT_FALSE(m_handOver.observeCandidate(offerRow(5, strong), m_now));
}

// Guards against frequent charged reads of the candidate's row when no offer is likely.
TEST_F(HandOverTest, ChecksSeldomWhenNoStrongerHostIsKnown)
{
    EXPECT_LE(countChecks(Milliseconds{15'000}), 12);
    EXPECT_LE(countChecks(Milliseconds{60'000}), 13);
    HandOver unknown{"owner", HostCapacity{}};
    unknown.begin(ownerRow({}), m_now);
    EXPECT_FALSE(unknown.isCheckDue(m_now + std::chrono::hours(1)));
}

// Guards against a weak owner that checks too seldom while a strong host may return, and against a known capacity that never expires.
TEST_F(HandOverTest, ChecksOftenWhileAStrongerHostIsKnown)
{
    auto row = ownerRow(weak);
    row.m_best = {strong, Milliseconds{2'000}};
    m_handOver.begin(row, m_now);
    countChecks(Milliseconds{18'000});
    EXPECT_GE(countChecks(Milliseconds{9'000}), 7);
    EXPECT_EQ(m_handOver.best(m_now).m_capacity, strong);
    m_now += Milliseconds{1'000};
    EXPECT_EQ(m_handOver.best(m_now).m_capacity, weak);
}
