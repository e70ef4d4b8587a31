#include "burdockspur/placement/fairshare.hpp"
#include "burdockspur/contract/configuration.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
constexpr Resources capacity{.m_cpuMillis = 10'000, .m_memoryMb = 10'000, .m_accelerators = 0};

auto cores(std::int64_t count) -> Resources
{
    return {.m_cpuMillis = 1'000 * count, .m_memoryMb = 100, .m_accelerators = 0};
}

class FairShareTest : public ::testing::Test
{
protected:
    FairShareTest()
    {
        m_fair.setTeams(m_quotas, capacity);
    }

    auto queue(std::string_view team, std::int64_t count = 1, bool urgent = false, int waitedSeconds = 0) -> void
    {
        m_jobs.push_back({.m_team = team,
                          .m_demand = cores(count),
                          .m_urgent = urgent,
                          .m_submission = m_jobs.size(),
                          .m_queuedAt = m_now - std::chrono::seconds(waitedSeconds)});
    }

    auto order() -> std::vector<std::size_t>
    {
        return m_fair.order(m_jobs, m_now);
    }

    using Order = std::vector<std::size_t>;
    TimePoint m_now{std::chrono::hours(1)};
    std::vector<TeamQuota> m_quotas{{.m_team = "stock", .m_limit = {.m_cpuMillis = 4'000, .m_memoryMb = 10'000, .m_accelerators = 0}, .m_weight = 1.0},
                                    {.m_team = "shows", .m_limit = {.m_cpuMillis = 8'000, .m_memoryMb = 10'000, .m_accelerators = 0}, .m_weight = 2.0}};
    FairShare m_fair{Milliseconds(600'000)};
    std::vector<FairJob> m_jobs;
};

// Guards against a team that submits many jobs first and keeps the others waiting.
TEST_F(FairShareTest, TeamsTakeTurnsByWeight)
{
    for (int i = 0; i < 3; ++i) {
        queue("stock"); // 0 to 2
    }
    for (int i = 0; i < 4; ++i) {
        queue("shows"); // 3 to 6
    }
    EXPECT_EQ(order(), (Order{0, 3, 4, 1, 5, 6, 2}));
    m_fair.add("stock", cores(2));
    EXPECT_EQ(order().front(), 3U);
    EXPECT_DOUBLE_EQ(m_fair.shareOf("stock"), 0.2);
    m_fair.remove("stock", cores(2));
    EXPECT_DOUBLE_EQ(m_fair.shareOf("stock"), 0.0);
}

// Guards against counting only processors: a large share of the memory weighs as much as a large share of the processors.
TEST_F(FairShareTest, TheDominantResourceDeterminesTheShare)
{
    m_fair.add("a", {.m_cpuMillis = 100, .m_memoryMb = 5'000, .m_accelerators = 0});
    m_fair.add("b", {.m_cpuMillis = 4'000, .m_memoryMb = 100, .m_accelerators = 0});
    queue("a");
    queue("b");
    EXPECT_EQ(order(), (Order{1, 0}));
}

// Guards against a team exceeding its quota while another has a job within its own, and against idle capacity when none has.
TEST_F(FairShareTest, ATeamAboveItsQuotaWaitsForTheOthers)
{
    m_fair.add("stock", cores(4));
    queue("stock");
    EXPECT_EQ(order(), (Order{0})); // no other team has a job
    queue("shows");
    EXPECT_EQ(order(), (Order{1}));
    m_jobs[0].m_urgent = true;
    EXPECT_EQ(order(), (Order{0, 1}));
}

// Guards against starvation: after the bound a job goes before all but urgent ones, whatever its team uses.
TEST_F(FairShareTest, OrdersUrgentThenStarvingThenByShare)
{
    m_fair.add("stock", cores(4));
    queue("shows");
    queue("stock", 1, false, 601);
    queue("shows", 1, true);
    queue("stock", 1, false, 599);
    EXPECT_EQ(order(), (Order{2, 1, 0}));
}
}
