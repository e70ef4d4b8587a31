#include "fleetsimulation.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;
using namespace Burdockspur::Testing;

namespace
{
constexpr std::size_t workers = 10;

struct Scenario {
    std::string_view m_name;
    FleetFaults m_faults;
};

/// Each fault alone, then combined; a scheduler that wrongly relies on an answer, a clock or a lease runs a task twice in one of them.
const std::array<Scenario, 13> scenarios{{
    {"calm", {}},
    {"answers_lost", {.m_answerLost = 0.1}},
    {"orders_late", {.m_orderLate = 0.1}},
    {"orders_lost", {.m_orderLost = 0.1}},
    {"commits_fail", {.m_commitFails = 0.2, .m_commitLate = 0.2}},
    {"workers_lost", {.m_crashesPerSecond = 0.3, .m_outagesPerSecond = 0.3}},
    {"restarts_unseen", {.m_orderLate = 0.05, .m_takeoversPerSecond = 0.1, .m_hiddenRestartsPerSecond = 0.5, .m_foreignEntriesPerSecond = 0.5}},
    {"restarts_as_another_kind", {.m_crashesPerSecond = 1.0, .m_hiddenRestartsPerSecond = 0.5, .m_kindChanges = 0.5, .m_evacuationsPerSecond = 0.2}},
    {"restarts_as_another_kind_beside_takeovers",
     {.m_orderLate = 0.05, .m_crashesPerSecond = 0.5, .m_takeoversPerSecond = 0.3, .m_hiddenRestartsPerSecond = 0.5, .m_kindChanges = 0.5}},
    {"takeovers", {.m_orderLate = 0.05, .m_takeoversPerSecond = 0.3}},
    {"moves_unanswered", {.m_archiveUnanswered = 0.5, .m_reloadsPerSecond = 1.0}},
    {"takeovers_and_moves", {.m_takeoversPerSecond = 0.5, .m_archiveUnanswered = 0.5, .m_reloadsPerSecond = 1.0}},
    {"all",
     {.m_answerLost = 0.05,
      .m_orderLate = 0.05,
      .m_orderLost = 0.05,
      .m_commitFails = 0.1,
      .m_commitLate = 0.1,
      .m_crashesPerSecond = 0.2,
      .m_outagesPerSecond = 0.2,
      .m_takeoversPerSecond = 0.2,
      .m_archiveUnanswered = 0.2,
      .m_reloadsPerSecond = 0.5}},
}};

class FleetSchedulerProperty : public ::testing::TestWithParam<Scenario>
{
};

// Guards against tasks that run twice, jobs that never start, and workers that get more than their capacity, or tasks for a former kind, under
// random faults.
TEST_P(FleetSchedulerProperty, FaultsCauseNoDuplicateRunLostJobOrOverload)
{
    constexpr std::uint64_t seeds = 25;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        FleetSimulation simulation(seed, workers, GetParam().m_faults);
        for (int i = 0; i < 30; ++i) {
            const auto id = simulation.submitRandomJob();
            simulation.run(Milliseconds{300});
            if (i % 7 == 3) {
                simulation.cancel(id);
            }
        }
        simulation.endFaults();
        simulation.run(Milliseconds{60'000});
        ASSERT_TRUE(simulation.m_violations.empty()) << "seed " << seed << ": " << simulation.m_violations.front();
        for (const auto &id : simulation.m_jobs) {
            const auto phase = simulation.phaseOf(id);
            EXPECT_TRUE(isFinal(phase) || simulation.startsOf(id) > 0) << "seed " << seed << ": job " << id << " never started";
            // Otherwise each successor would have to read the rows of ended jobs.
            EXPECT_EQ(simulation.isArchived(id), isFinal(phase)) << "seed " << seed << ": rows of the ended job " << id << " stay";
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Faults, FleetSchedulerProperty, ::testing::ValuesIn(scenarios), [](const auto &info) {
    return std::string(info.param.m_name);
});
}

// Shows which failure RunWorkerPort prevents by sending orders to the addressed incarnation only: a start order that reaches the next incarnation
// of a restarted worker runs beside the one that replaces it.
TEST(FleetSchedulerGuards, OrdersThatReachAnotherIncarnationRunTasksTwice)
{
    constexpr std::uint64_t seeds = 25;
    std::vector<std::string> violations;
    for (std::uint64_t seed = 1; seed <= seeds && violations.empty(); ++seed) {
        FleetSimulation simulation(seed, workers, {.m_orderLate = 0.05, .m_hiddenRestartsPerSecond = 0.5, .m_ordersReachAnyIncarnation = true});
        for (int i = 0; i < 30; ++i) {
            simulation.submitRandomJob();
            simulation.run(Milliseconds{300});
        }
        violations = simulation.m_violations;
    }
    ASSERT_FALSE(violations.empty());
    EXPECT_TRUE(violations.front().starts_with("runs_twice") || violations.front().starts_with("started_after_done")) << violations.front();
}
