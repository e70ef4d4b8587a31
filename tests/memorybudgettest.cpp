#include "burdockspur/link/memorybudget.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
constexpr std::uint64_t balancer = 1;
constexpr std::uint64_t otherAddress = 2;
constexpr std::size_t small = 10;
constexpr std::size_t large = 40;

/// Budget of 1,000 bytes, 200 of them kept for connections of at most 20 bytes.
class MemoryBudgetTest : public testing::Test
{
protected:
    static constexpr ClientLimits limits{.m_totalBytes = 1'000, .m_keptBytes = 200, .m_ordinaryBytes = 20};

    [[nodiscard]] static auto key(std::uint64_t connection) -> ClientKey
    {
        return {1, connection};
    }

    [[nodiscard]] auto after(Milliseconds time) const -> TimePoint
    {
        return m_start + time;
    }

    /// Opens a connection that holds bytes and made progress at a time.
    auto add(std::uint64_t connection, std::size_t bytes, Milliseconds progress, std::uint64_t address = balancer) -> void
    {
        m_budget.open(key(connection), address, after(progress));
        ClientUse use;
        use.m_bytes = bytes;
        use.m_progressAt = after(progress);
        m_budget.update(key(connection), use);
    }

    TimePoint m_start = Clock::now();
    MemoryBudget m_budget{limits};
};
}

// Guards against connections that are closed while memory is left, e.g. those of many ordinary callers that wait.
TEST_F(MemoryBudgetTest, ClosesNothingWithinTheBudget)
{
    for (std::uint64_t i = 0; i < 100; ++i) {
        add(i, small, Milliseconds(i));
    }
    EXPECT_EQ(m_budget.heldBytes(), 1'000U);
    EXPECT_EQ(m_budget.connections(), 100U);
    EXPECT_FALSE(m_budget.victim());
}

// Guards against large connections that use up the part kept for ordinary ones.
TEST_F(MemoryBudgetTest, KeepsAPartFromLargeConnections)
{
    for (std::uint64_t i = 0; i < 20; ++i) {
        add(i, large, Milliseconds(i));
    }
    EXPECT_FALSE(m_budget.victim()) << "800 bytes are for any connection";
    add(20, large, Milliseconds(20));
    EXPECT_EQ(m_budget.victim(), key(0)) << "the one without progress for the longest time";
    m_budget.close(key(0));
    EXPECT_FALSE(m_budget.victim());
    for (std::uint64_t i = 100; i < 120; ++i) {
        add(i, small, Milliseconds(0));
        EXPECT_FALSE(m_budget.victim()) << "the kept part is for ordinary connections";
    }
}

// Guards against ordinary connections that are closed while a larger one could be.
TEST_F(MemoryBudgetTest, LargeConnectionsGoBeforeOrdinaryOnes)
{
    add(1, large, Milliseconds(50));
    for (std::uint64_t i = 10; i < 107; ++i) {
        add(i, small, Milliseconds(0));
    }
    EXPECT_EQ(m_budget.victim(), key(1));
    m_budget.close(key(1));
    EXPECT_FALSE(m_budget.victim());
}

// Guards against an older connection that is closed although a younger one is as idle.
TEST_F(MemoryBudgetTest, TheYoungestOfEqualsGoesFirst)
{
    for (std::uint64_t i = 0; i < 21; ++i) {
        add(i, large, Milliseconds(0));
    }
    EXPECT_EQ(m_budget.victim(), key(20));
}

// Guards against a request that was handed in and is cut off while others are not.
TEST_F(MemoryBudgetTest, UnansweredRequestsGoLast)
{
    for (std::uint64_t i = 0; i < 21; ++i) {
        add(i, large, Milliseconds(i));
    }
    ClientUse use;
    use.m_bytes = large;
    use.m_progressAt = after(Milliseconds(0));
    use.m_stage = ClientStage::Busy;
    m_budget.update(key(0), use);
    EXPECT_EQ(m_budget.victim(), key(1));
}

// Guards against a crowd behind one address that takes the memory of other addresses.
TEST_F(MemoryBudgetTest, TheAddressThatHoldsTheMostPays)
{
    add(1, large, Milliseconds(0), otherAddress);
    for (std::uint64_t i = 2; i < 22; ++i) {
        add(i, large, Milliseconds(i));
    }
    EXPECT_EQ(m_budget.victim(), key(2)) << "the connection of the other address is idler";
}

// Guards against requests under way that are not counted, and against their memory that is never free again.
TEST_F(MemoryBudgetTest, RequestsUnderWayCountUntilTheyAreSettled)
{
    add(1, small, Milliseconds(0));
    ClientUse use;
    use.m_bytes = small;
    use.m_bytesUnderWay = 900;
    use.m_stage = ClientStage::Busy;
    m_budget.update(key(1), use);
    EXPECT_EQ(m_budget.heldBytes(), 910U);
    EXPECT_FALSE(m_budget.hasRoom(100));
    EXPECT_TRUE(m_budget.hasRoom(20));
    m_budget.close(key(1));
    EXPECT_EQ(m_budget.heldBytes(), 900U) << "the connection is closed, the handler still has the request";
    m_budget.settle(900);
    EXPECT_EQ(m_budget.heldBytes(), 0U);
}

// Guards against large requests under way that use up what is kept for ordinary ones.
TEST_F(MemoryBudgetTest, LargeRequestsCannotUseTheKeptPart)
{
    add(1, small, Milliseconds(0));
    ClientUse use;
    use.m_bytes = small;
    use.m_bytesUnderWay = 770;
    m_budget.update(key(1), use);
    EXPECT_FALSE(m_budget.hasRoom(large));
    EXPECT_TRUE(m_budget.hasRoom(small));
}

// Guards against a complete request that is refused while incomplete ones hold the memory.
TEST_F(MemoryBudgetTest, IncompleteRequestsMakeRoomForACompleteOne)
{
    for (std::uint64_t i = 0; i < 20; ++i) {
        add(i, large, Milliseconds(i));
    }
    EXPECT_EQ(m_budget.victimFor(300, key(0)), key(1)) << "the connection of the request itself is not chosen";
    m_budget.close(key(1));
    EXPECT_FALSE(m_budget.victimFor(10, key(0)));
    for (std::uint64_t i = 2; i < 20; ++i) {
        m_budget.close(key(i));
    }
    EXPECT_FALSE(m_budget.victimFor(10'000, key(0))) << "nothing is left that could make room";
}

// Guards against requests under way whose memory makes every other connection a victim, without an end.
TEST_F(MemoryBudgetTest, ClosesNothingThatDoesNotHelp)
{
    add(1, small, Milliseconds(0));
    m_budget.close(key(1));
    EXPECT_FALSE(m_budget.victim());
    m_budget.update(key(1), {.m_bytes = 10'000, .m_progressAt = m_start});
    EXPECT_EQ(m_budget.heldBytes(), 0U) << "a closed connection holds nothing";
    EXPECT_FALSE(m_budget.victim());
}

// Guards against a complete request of an ordinary caller that is refused while many small connections without one hold the memory.
TEST_F(MemoryBudgetTest, SmallIncompleteConnectionsMakeRoomForACompleteRequest)
{
    for (std::uint64_t i = 0; i < 100; ++i) {
        add(i, small, Milliseconds(i));
    }
    ClientUse complete;
    complete.m_bytes = small;
    complete.m_progressAt = after(Milliseconds(0));
    complete.m_stage = ClientStage::Idle;
    m_budget.update(key(0), complete);
    m_budget.update(key(1), complete);
    EXPECT_EQ(m_budget.victimFor(small, key(0)), key(2)) << "a caller between two requests keeps its connection";
    m_budget.close(key(2));
    EXPECT_FALSE(m_budget.victimFor(small, key(0)));
}

// Guards against connections that are closed for a request that finds no room anyway.
TEST_F(MemoryBudgetTest, ClosesNothingForARequestThatCannotFit)
{
    for (std::uint64_t i = 0; i < 100; ++i) {
        add(i, small, Milliseconds(i));
    }
    ClientUse busy;
    busy.m_bytes = small;
    busy.m_bytesUnderWay = 995;
    busy.m_stage = ClientStage::Busy;
    m_budget.update(key(0), busy);
    EXPECT_FALSE(m_budget.victimFor(small, key(1)));
}
