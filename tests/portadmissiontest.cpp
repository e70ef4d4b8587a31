#include "burdockspur/link/portadmission.hpp"

#include "burdockspur/core/randomsource.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

using namespace Burdockspur;

namespace
{
constexpr std::uint64_t balancer = 1;
constexpr std::uint64_t otherAddress = 2;
constexpr Milliseconds tick{1};

class PortAdmissionTest : public testing::Test
{
protected:
    [[nodiscard]] auto after(Milliseconds time) const -> TimePoint
    {
        return m_start + time;
    }

    /// Opens a connection, and notes that it reached a stage at the same time.
    auto add(std::uint64_t connection, ClientStage stage, Milliseconds time, std::uint64_t address = balancer) -> void
    {
        m_admission.open(connection, address, after(time));
        m_admission.update(connection, stage, after(time));
    }

    TimePoint m_start = Clock::now();
    PortAdmission m_admission{PortLimits{.m_maxConnections = 4, .m_maxTurnover = 500}};
};

/// Clients of one port in steps of a millisecond, behind a kernel queue that keeps the order of connections.
///
/// Members of the crowd never complete a request and connect again some time after their connection is closed. Ordinary callers connect at
/// random times, and their request is complete some time after the connection was opened.
class CrowdedPort
{
public:
    struct Plan {
        std::size_t m_places = 1'024;
        std::size_t m_crowd = 1'500;
        Milliseconds m_pause{0}; ///< of a member of the crowd between close and connect
        Milliseconds m_travel{10}; ///< from the opening of a connection to the complete request of an ordinary caller
        std::uint32_t m_unreadPercent = 0; ///< members of the crowd that complete a request and do not read the answer
        std::uint64_t m_seed = 54;
    };

    explicit CrowdedPort(const Plan &plan)
        : m_plan(plan)
        , m_random(plan.m_seed)
        , m_admission({.m_maxConnections = plan.m_places, .m_maxTurnover = 500})
    {
        for (std::size_t i = 0; i < plan.m_crowd; ++i) {
            m_queue.push_back(crowd);
        }
    }

    /// Ordinary callers that were served without a refusal, of a number that connect one after another.
    [[nodiscard]] auto servedOf(int callers) -> int
    {
        constexpr int warmUpMs = 3'000;
        constexpr int longestPauseMs = 300;
        int served = 0;
        for (int i = 0; i < callers; ++i) {
            const int wait = (i == 0 ? warmUpMs : 0) + 1 + static_cast<int>(m_random.below(longestPauseMs));
            for (int ms = 0; ms < wait; ++ms) {
                step();
            }
            const TimePoint connectedAt = m_now;
            m_queue.push_back(++m_lastCaller);
            m_outcome = Outcome::Open;
            while (m_outcome == Outcome::Open && m_now - connectedAt < deadline) {
                step();
            }
            served += m_outcome == Outcome::Served ? 1 : 0;
        }
        return served;
    }

    [[nodiscard]] auto mostAcceptedInASecond() const -> std::size_t
    {
        return m_mostAccepted;
    }

private:
    enum class Outcome : std::uint8_t { Open, Served, Refused };

    static constexpr std::uint64_t crowd = 0;
    static constexpr std::uint64_t callerConnections = 1'000'000'000;
    static constexpr Milliseconds deadline{3'000}; ///< of a job's submission on the pages

    auto step() -> void
    {
        m_now += tick;
        while (!m_returning.empty() && m_returning.front() <= m_now) {
            m_returning.pop_front();
            m_queue.push_back(crowd);
        }
        while (!m_queue.empty() && m_admission.nextAcceptAt(m_now) <= m_now) {
            accept(m_queue.front());
            m_queue.pop_front();
        }
        completeCaller();
        while (!m_accepted.empty() && m_now - m_accepted.front() > std::chrono::seconds(1)) {
            m_accepted.pop_front();
        }
        m_mostAccepted = std::max(m_mostAccepted, m_accepted.size());
    }

    /// @param caller crowd, or the number of an ordinary caller
    auto accept(std::uint64_t caller) -> void
    {
        if (m_admission.isFull()) {
            m_accepted.push_back(m_now);
            const auto leaving = m_admission.displace(balancer, m_now);
            if (!leaving) {
                end(caller);
                return;
            }
            m_admission.close(*leaving);
            end(*leaving >= callerConnections ? m_lastCaller : crowd);
        }
        const std::uint64_t connection = caller == crowd ? ++m_lastConnection : callerConnections + caller;
        m_admission.open(connection, balancer, m_now);
        if (caller != crowd) {
            m_callerOpenedAt = m_now;
        } else if (m_random.below(100) < m_plan.m_unreadPercent) {
            m_admission.update(connection, ClientStage::Unread, m_now);
        }
    }

    /// The connection of a client was closed, or refused, before its request was complete.
    auto end(std::uint64_t caller) -> void
    {
        if (caller == crowd) {
            m_returning.push_back(m_now + m_plan.m_pause);
        } else {
            m_outcome = Outcome::Refused;
            m_callerOpenedAt = TimePoint::max();
        }
    }

    auto completeCaller() -> void
    {
        if (m_callerOpenedAt != TimePoint::max() && m_now - m_callerOpenedAt >= m_plan.m_travel) {
            m_admission.close(callerConnections + m_lastCaller);
            m_callerOpenedAt = TimePoint::max();
            m_outcome = Outcome::Served;
        }
    }

    Plan m_plan;
    RandomSource m_random;
    PortAdmission m_admission;
    TimePoint m_start = TimePoint(std::chrono::hours(1));
    TimePoint m_now = m_start;
    std::deque<std::uint64_t> m_queue; ///< callers whose connections wait to be accepted
    std::deque<TimePoint> m_returning;
    std::deque<TimePoint> m_accepted; ///< on the full port within the last second
    std::size_t m_mostAccepted = 0;
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_lastCaller = 0;
    TimePoint m_callerOpenedAt = TimePoint::max();
    Outcome m_outcome = Outcome::Open;
};
}

// Guards against a full port that refuses new callers in favour of connections that never sent a request.
TEST_F(PortAdmissionTest, TheLongestIncompleteConnectionGivesWay)
{
    add(1, ClientStage::Incomplete, Milliseconds(100));
    add(2, ClientStage::Incomplete, Milliseconds(0));
    add(3, ClientStage::Incomplete, Milliseconds(50));
    EXPECT_FALSE(m_admission.isFull());
    add(4, ClientStage::Incomplete, Milliseconds(200));
    EXPECT_TRUE(m_admission.isFull());
    EXPECT_EQ(m_admission.displace(balancer, after(Milliseconds(1'000))), 2U);
    m_admission.close(2);
    EXPECT_EQ(m_admission.displace(balancer, after(Milliseconds(1'000))), 3U);
    m_admission.update(3, ClientStage::Incomplete, after(Milliseconds(900)));
    EXPECT_EQ(m_admission.displace(balancer, after(Milliseconds(1'000))), 3U) << "single parts of a request do not make it younger";
}

// Guards against an ordinary caller whose request is on its way and who is closed for a connection that waits for nothing.
TEST_F(PortAdmissionTest, StalledReadersAndIdleConnectionsGoBeforeAYoungOne)
{
    add(1, ClientStage::Idle, Milliseconds(0));
    add(2, ClientStage::Unread, Milliseconds(1'000));
    add(3, ClientStage::Incomplete, Milliseconds(5'900));
    add(4, ClientStage::Busy, Milliseconds(0));
    EXPECT_EQ(m_admission.displace(balancer, after(Milliseconds(6'000))), 2U);
    m_admission.close(2);
    EXPECT_EQ(m_admission.displace(balancer, after(Milliseconds(6'000))), 1U);
    m_admission.close(1);
    EXPECT_EQ(m_admission.displace(balancer, after(Milliseconds(6'000))), 3U);
    m_admission.close(3);
    EXPECT_FALSE(m_admission.displace(balancer, after(Milliseconds(60'000)))) << "its caller waits for an answer";
}

// Guards against ordinary callers that lose the connections that they keep between two requests while others wait for less.
TEST_F(PortAdmissionTest, AUsedConnectionIsKeptForTheNextRequest)
{
    add(1, ClientStage::Idle, Milliseconds(0));
    EXPECT_FALSE(m_admission.displace(balancer, after(Milliseconds(240)))) << "its next request may be on its way";
    add(2, ClientStage::Incomplete, Milliseconds(59'000));
    EXPECT_EQ(m_admission.displace(balancer, after(Milliseconds(60'000))), 2U) << "never used, although less idle";
    m_admission.close(2);
    EXPECT_EQ(m_admission.displace(balancer, after(Milliseconds(60'000))), 1U);
    m_admission.update(1, ClientStage::Busy, after(Milliseconds(60'000)));
    m_admission.update(1, ClientStage::Idle, after(Milliseconds(60'100)));
    EXPECT_FALSE(m_admission.displace(balancer, after(Milliseconds(60'200)))) << "it was used again";
}

// Guards against clients that keep every connection of a port after one request, so that others are refused although nothing is under way.
TEST_F(PortAdmissionTest, TheLongestIdleConnectionGivesWayWhenAllAreKept)
{
    add(1, ClientStage::Idle, Milliseconds(20));
    add(2, ClientStage::Idle, Milliseconds(0));
    add(3, ClientStage::Idle, Milliseconds(40));
    add(4, ClientStage::Busy, Milliseconds(0));
    EXPECT_EQ(m_admission.displace(balancer, after(Milliseconds(300))), 2U);
}

// Guards against links between the system's own processes that give way while they send heartbeats.
TEST(PortLimitsTest, IdleConnectionsAreKeptForTheTimeOfTheirServer)
{
    const TimePoint start = Clock::now();
    PortAdmission admission({.m_maxConnections = 1, .m_shortestIdle = Milliseconds(3'000)});
    admission.open(1, balancer, start);
    admission.update(1, ClientStage::Idle, start);
    EXPECT_FALSE(admission.displace(balancer, start + Milliseconds(2'900)));
    EXPECT_EQ(admission.displace(balancer, start + Milliseconds(3'000)), 1U);
}

// Guards against one address that keeps all connections by opening them again and again.
TEST_F(PortAdmissionTest, AnAddressWithMoreConnectionsYields)
{
    add(1, ClientStage::Incomplete, Milliseconds(0), otherAddress);
    add(2, ClientStage::Incomplete, Milliseconds(10));
    add(3, ClientStage::Incomplete, Milliseconds(20));
    EXPECT_EQ(m_admission.displace(otherAddress, after(Milliseconds(30))), 2U) << "the other address has only one";
    m_admission.close(1);
    m_admission.update(2, ClientStage::Idle, after(Milliseconds(10)));
    m_admission.update(3, ClientStage::Idle, after(Milliseconds(20)));
    EXPECT_FALSE(m_admission.displace(balancer, after(Milliseconds(30))));
    EXPECT_EQ(m_admission.displace(otherAddress, after(Milliseconds(30))), 2U);
}

// Guards against a crowd of addresses without requests that costs a used address, e.g. a proxy, its connections.
TEST_F(PortAdmissionTest, IncompleteConnectionsOfOthersGoBeforeIdleOnesOfACrowdedAddress)
{
    add(1, ClientStage::Idle, Milliseconds(0));
    add(2, ClientStage::Idle, Milliseconds(0));
    add(3, ClientStage::Idle, Milliseconds(0));
    add(4, ClientStage::Incomplete, Milliseconds(100), otherAddress);
    EXPECT_EQ(m_admission.displace(3, after(Milliseconds(110))), 4U);
}

// Guards against new connections that take the processor of the machine, and against a connection that is closed before its request arrives.
TEST_F(PortAdmissionTest, AFullPortAcceptsAtABoundedRate)
{
    TimePoint now = after(Milliseconds(0));
    EXPECT_EQ(m_admission.nextAcceptAt(now), now) << "nothing was closed";
    for (std::uint64_t i = 1; i <= 4; ++i) {
        add(i, ClientStage::Incomplete, Milliseconds(0));
    }
    int accepted = 0;
    for (std::uint64_t next = 5; now < after(Milliseconds(2'500)); now += tick) {
        while (m_admission.nextAcceptAt(now) <= now) {
            const auto leaving = m_admission.displace(balancer, now);
            ASSERT_TRUE(leaving);
            m_admission.close(*leaving);
            m_admission.open(next++, balancer, now);
            ++accepted;
        }
    }
    EXPECT_EQ(accepted, 40) << "each of the four stays for a quarter of a second";
}

// Guards against a crowd that is closed for want of memory on a port with room, and connects again as fast as it is closed.
TEST_F(PortAdmissionTest, ClosingForMemoryCountsTowardsTheTurnover)
{
    const TimePoint start = after(Milliseconds(0));
    TimePoint now = start;
    int accepted = 0;
    for (std::uint64_t next = 1; now < after(Milliseconds(2'500)); now += tick) {
        while (m_admission.nextAcceptAt(now) <= now) {
            m_admission.open(next, balancer, now);
            m_admission.noteClosed(now);
            m_admission.close(next++);
            ++accepted;
        }
    }
    EXPECT_EQ(accepted, 40) << "as many as a full port would accept";
}

// Guards against ordinary callers who wait long because many connections were closed at one moment.
TEST_F(PortAdmissionTest, ManyClosedConnectionsDelayTheNextOneByABoundedTime)
{
    const TimePoint now = after(Milliseconds(0));
    for (int i = 0; i < 1'000; ++i) {
        m_admission.noteClosed(now);
    }
    EXPECT_EQ(m_admission.nextAcceptAt(now), now + Milliseconds(250));
}

// Guards against refusals that wait although it is known that nothing can give way.
TEST_F(PortAdmissionTest, ConnectionsInUseAreNotWaitedFor)
{
    for (std::uint64_t i = 1; i <= 4; ++i) {
        add(i, ClientStage::Busy, Milliseconds(0));
    }
    const TimePoint now = after(Milliseconds(100));
    EXPECT_FALSE(m_admission.displace(balancer, now));
    EXPECT_EQ(m_admission.nextAcceptAt(now), now + Milliseconds(2)) << "500 refusals a second";
}

// Guards against ordinary callers that are refused while a crowd without complete requests connects again at once, or half a second later,
// and against a crowd that the port accepts as fast as it comes.
TEST(CrowdedPortTest, OrdinaryCallersAreServedBesideACrowdThatConnectsAgain)
{
    constexpr int callers = 50;
    const std::vector<CrowdedPort::Plan> plans{
        {.m_places = 1'024, .m_crowd = 1'500},
        {.m_places = 1'024, .m_crowd = 1'500, .m_pause = Milliseconds(500)},
        {.m_places = 1'024, .m_crowd = 2'000, .m_travel = Milliseconds(100)},
        {.m_places = 64, .m_crowd = 100},
        {.m_places = 64, .m_crowd = 100, .m_pause = Milliseconds(500)},
        {.m_places = 32, .m_crowd = 60},
        {.m_places = 32, .m_crowd = 60, .m_pause = Milliseconds(500)},
        {.m_places = 32, .m_crowd = 60, .m_travel = Milliseconds(100)},
        {.m_places = 32, .m_crowd = 60, .m_unreadPercent = 100},
    };
    for (const auto &plan : plans) {
        CrowdedPort port(plan);
        EXPECT_EQ(port.servedOf(callers), callers) << plan.m_places << " places, " << plan.m_crowd << " clients, pause " << plan.m_pause.count();
        EXPECT_LE(port.mostAcceptedInASecond(), 500U + plan.m_places / 8 + 1);
    }
}

// Guards against a mix of crowds that keeps ordinary callers out although the queue of the kernel holds it. Fixed seeds.
TEST(CrowdedPortTest, OrdinaryCallersAreServedBesideRandomCrowds)
{
    constexpr int callers = 20;
    constexpr std::uint64_t seeds = 50;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        RandomSource random(seed);
        CrowdedPort::Plan plan;
        plan.m_seed = seed;
        plan.m_places = 8 + random.below(1'017);
        // Those that wait are accepted within a second and a half, half of the callers' time.
        const std::size_t accepted = std::min<std::size_t>(500, plan.m_places * 4);
        plan.m_crowd = plan.m_places + random.below(static_cast<std::uint32_t>(accepted * 3 / 2));
        plan.m_pause = Milliseconds(random.below(1'000));
        plan.m_travel = Milliseconds(1 + random.below(150));
        plan.m_unreadPercent = random.below(101);
        CrowdedPort port(plan);
        EXPECT_EQ(port.servedOf(callers), callers) << "seed " << seed << ": " << plan.m_places << " places, " << plan.m_crowd << " clients, pause "
                                                   << plan.m_pause.count() << " ms, travel " << plan.m_travel.count() << " ms, unread " << plan.m_unreadPercent
                                                   << "%";
    }
}
