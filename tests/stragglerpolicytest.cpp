#include "burdockspur/fleet/stragglers/stragglerpolicy.hpp"

#include "burdockspur/contract/taskid.hpp"
#include "burdockspur/fleet/jobprogress.hpp"
#include "burdockspur/fleet/stragglers/stepdurations.hpp"
#include "burdockspur/fleet/stragglers/stragglersituation.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
/// @brief A run of a task that ordinarily takes 850 ms and that takes seven times as long, 600 ms after its start; it is the only step of its job, whose
/// objective is 1.5 times the chain and 300 ms.
[[nodiscard]] auto straggler() -> StragglerSituation
{
    StragglerSituation situation;
    situation.m_observed = Milliseconds{600};
    situation.m_gainedPercent = 10;
    situation.m_percent = 10;
    situation.m_siblings = DurationForecast{Milliseconds{850}, Milliseconds{1'100}, 9};
    situation.m_estimate = Milliseconds{850};
    situation.m_age = Milliseconds{650};
    situation.m_declaredObjective = Milliseconds{1'575};
    situation.m_target = Milliseconds{300};
    situation.m_maxAttempts = 4;
    return situation;
}

/// @brief The same run at the pace of the others.
[[nodiscard]] auto ordinary() -> StragglerSituation
{
    auto situation = straggler();
    situation.m_gainedPercent = situation.m_percent = 65;
    return situation;
}

const StragglerPolicy policy;
}

// Guards against stragglers that nobody notices, and against copies of tasks that end in time.
TEST(StragglerPolicyTest, AStragglerIsWorthACopyAndAnOrdinaryRunIsNot)
{
    const auto worth = policy.worthOf(straggler());
    ASSERT_TRUE(worth);
    EXPECT_NEAR(std::chrono::duration<double>(worth->m_remaining).count(), 5.4, 0.001);
    EXPECT_LT(worth->m_copyTakes, Milliseconds{1'100});
    EXPECT_TRUE(worth->m_makesObjective);
    EXPECT_FALSE(policy.worthOf(ordinary()));
}

// Guards against a copy of each run whose progress is shown as 0 or 1 percent because it has just begun.
TEST(StragglerPolicyTest, ARunIsNotJudgedBeforeItWasObserved)
{
    auto young = straggler();
    young.m_observed = Milliseconds{150};
    young.m_gainedPercent = young.m_percent = 0;
    EXPECT_FALSE(policy.worthOf(young));
    auto ofLongStep = straggler();
    ofLongStep.m_siblings = DurationForecast{Milliseconds{60'000}, Milliseconds{70'000}, 9};
    ofLongStep.m_gainedPercent = ofLongStep.m_percent = 1;
    EXPECT_FALSE(policy.worthOf(ofLongStep));
}

// Guards against work for a job that gains nothing by it: it meets its objective without a copy, or has lost its worth with one.
TEST(StragglerPolicyTest, ACopyIsMadeOnlyWhereTheJobGains)
{
    auto unhurried = straggler();
    unhurried.m_declaredObjective = Milliseconds{20'000};
    EXPECT_FALSE(policy.worthOf(unhurried));
    auto hopeless = straggler();
    hopeless.m_age = Milliseconds{30'000};
    EXPECT_FALSE(policy.worthOf(hopeless));
    // Late either way: a copy would change nothing for the caller.
    auto late = straggler();
    late.m_age = Milliseconds{2'000};
    late.m_gainedPercent = late.m_percent = 25;
    EXPECT_FALSE(policy.worthOf(late));
    // Steps that follow are part of what is left.
    auto early = straggler();
    early.m_declaredAfter = Milliseconds{850};
    early.m_declaredObjective = Milliseconds{2'850};
    EXPECT_TRUE(policy.worthOf(early));
}

// Guards against a job that ends without any worth because of a straggler that a copy would have overtaken.
TEST(StragglerPolicyTest, ACopySavesAJobFromItsExpiry)
{
    auto situation = straggler();
    situation.m_age = Milliseconds{2'500};
    const auto worth = policy.worthOf(situation);
    ASSERT_TRUE(worth);
    EXPECT_FALSE(worth->m_makesObjective);
}

// The declared durations of the job are half of the true ones, as are its declared objective. Guards against copies of all tasks of such a job.
TEST(StragglerPolicyTest, MeasuredDurationsCorrectTheObjective)
{
    auto situation = ordinary();
    situation.m_siblings = DurationForecast{Milliseconds{1'700}, Milliseconds{2'000}, 9};
    situation.m_age = situation.m_observed = Milliseconds{1'200};
    EXPECT_FALSE(policy.worthOf(situation)) << "nothing is wrong with the run";
    situation.m_gainedPercent = situation.m_percent = 10;
    const auto worth = policy.worthOf(situation);
    ASSERT_TRUE(worth) << "a straggler among slow siblings";
    EXPECT_TRUE(worth->m_makesObjective);
}

// Guards against decisions that trust a rough estimate as much as what was measured.
TEST(StragglerPolicyTest, TheLessIsKnownTheSlowerARunHasToBe)
{
    auto situation = straggler();
    situation.m_gainedPercent = situation.m_percent = 22;
    situation.m_age = situation.m_observed;
    ASSERT_TRUE(policy.worthOf(situation));
    situation.m_learned = situation.m_siblings;
    situation.m_siblings.reset();
    EXPECT_TRUE(policy.worthOf(situation));
    situation.m_learned.reset();
    EXPECT_FALSE(policy.worthOf(situation));
    situation.m_gainedPercent = situation.m_percent = 10;
    EXPECT_TRUE(policy.worthOf(situation));
}

// The work of the tasks of a step is uneven: one of ten has almost twice the work of the others. Guards against copies of such tasks, which are thrown away.
TEST(StragglerPolicyTest, ATaskWithinTheSpreadOfItsSiblingsIsNoStraggler)
{
    auto situation = straggler();
    situation.m_gainedPercent = situation.m_percent = 18;
    ASSERT_TRUE(policy.worthOf(situation));
    situation.m_siblings->m_high = Milliseconds{1'900};
    EXPECT_FALSE(policy.worthOf(situation));
    situation.m_gainedPercent = situation.m_percent = 10;
    EXPECT_TRUE(policy.worthOf(situation));
    // Another straggler among the siblings.
    situation.m_siblings->m_high = Milliseconds{6'000};
    EXPECT_TRUE(policy.worthOf(situation));
}

// Guards against copies that use up the attempts of a task that fails by itself (BUDGET), so that the job fails where it would have succeeded.
TEST(StragglerPolicyTest, ACopyNeverRisksTheLastAttempt)
{
    auto situation = straggler();
    situation.m_maxAttempts = 3;
    EXPECT_TRUE(policy.worthOf(situation));
    situation.m_failures = 1;
    EXPECT_FALSE(policy.worthOf(situation));
    situation.m_failures = 0;
    situation.m_maxAttempts = 2;
    EXPECT_FALSE(policy.worthOf(situation));
}

// Guards against a task that waits for the lease of a lost worker although a copy would end sooner.
TEST(StragglerPolicyTest, ARunOnASilentWorkerIsWorthACopy)
{
    auto situation = ordinary();
    situation.m_leaseLeft = Milliseconds{3'500};
    EXPECT_TRUE(policy.worthOf(situation));
    situation.m_leaseLeft = Milliseconds{100};
    EXPECT_FALSE(policy.worthOf(situation)) << "the task runs again as soon without a copy";
}

// A task that has more work than its siblings is slow on every worker. Guards against a copy of it that works to its end.
TEST(StragglerPolicyTest, ACopyThatIsNoFasterIsRecognised)
{
    auto original = straggler();
    original.m_observed = Milliseconds{1'200};
    original.m_gainedPercent = original.m_percent = 20;
    auto copy = straggler();
    EXPECT_TRUE(policy.isNoFaster(copy, original));
    EXPECT_FALSE(policy.isNoFaster(ordinary(), original));
    copy.m_observed = Milliseconds{100};
    EXPECT_FALSE(policy.isNoFaster(copy, original)) << "not observed yet";
    copy = straggler();
    original.m_leaseLeft = Milliseconds{3'000};
    EXPECT_FALSE(policy.isNoFaster(copy, original)) << "the original run may be lost";
}

// Guards against copies that take the start orders of ranked work, and against a fleet full of copies.
TEST(StragglerPolicyTest, CopiesAreBoundedByRunsAndByOrders)
{
    EXPECT_EQ(policy.allowance(0, 10'000, 512), 64U);
    EXPECT_EQ(policy.allowance(490, 10'000, 512), 10U);
    EXPECT_EQ(policy.allowance(500, 10'000, 512), 0U);
    EXPECT_EQ(policy.allowance(0, 10, 512), 2U) << "a small fleet is served as well";
    EXPECT_EQ(policy.allowance(0, 10'000, 0), 0U);
}

// Guards against a straggler that is compared with itself, and against a forecast from too few tasks.
TEST(StepDurationsTest, ATaskIsComparedWithItsSiblings)
{
    StepDurations durations;
    const TaskId slow{"job", 0, 1, 0};
    durations.record(slow, 10, Milliseconds{6'000});
    for (std::uint32_t index = 1; index <= 2; ++index) {
        durations.record({"job", 0, 1, index}, 10, Milliseconds{800});
    }
    EXPECT_FALSE(durations.forecastFor(slow));
    durations.record({"job", 0, 1, 3}, 10, Milliseconds{900});
    durations.record({"job", 0, 2, 4}, 10, Milliseconds{9'000});
    ASSERT_TRUE(durations.forecastFor(slow));
    EXPECT_EQ(durations.forecastFor(slow)->m_median, Milliseconds{800});
    EXPECT_EQ(durations.forecastFor(slow)->m_samples, 3U);
    EXPECT_FALSE(durations.forecastFor({"job", 1, 1, 0})) << "another occurrence";
}

// A job repeats for hours. Guards against durations of all its occurrences that stay in memory.
TEST(StepDurationsTest, EndedOccurrencesAreForgotten)
{
    StepDurations durations;
    for (std::uint32_t occurrence = 0; occurrence < 3; ++occurrence) {
        for (std::uint32_t index = 0; index < 4; ++index) {
            durations.record({"job", occurrence, 0, index}, 4, Milliseconds{500});
        }
    }
    durations.forgetBefore(2);
    EXPECT_FALSE(durations.forecastFor({"job", 1, 0, 0}));
    EXPECT_TRUE(durations.forecastFor({"job", 2, 0, 0}));
}

namespace
{
[[nodiscard]] auto taskWithCopy() -> TaskProgress
{
    TaskProgress task;
    task.m_phase = TaskPhase::Assigned;
    task.m_run = 3;
    task.m_worker = "first";
    task.m_incarnation = 10;
    task.assignCopy(task.nextRun(), "second", 20);
    return task;
}
}

// Guards against a task that waits, and is started a third time, while its copy runs (TWICE).
TEST(TaskCopyTest, TheCopyTakesThePlaceOfALostRun)
{
    auto task = taskWithCopy();
    EXPECT_EQ(task.roleOf(3), RunRole::Original);
    EXPECT_EQ(task.roleOf(4), RunRole::Copy);
    EXPECT_EQ(task.roleOf(2), RunRole::None);
    task.release(3);
    EXPECT_EQ(task.m_phase, TaskPhase::Assigned);
    EXPECT_EQ(task.m_run, 4U);
    EXPECT_EQ(task.m_worker, "second");
    EXPECT_EQ(task.m_incarnation, 20U);
    EXPECT_FALSE(task.hasCopy());
    EXPECT_EQ(task.roleOf(3), RunRole::None);
    task.release(4);
    EXPECT_EQ(task.m_phase, TaskPhase::Waiting);
    EXPECT_TRUE(task.m_worker.empty());
    EXPECT_EQ(task.nextRun(), 5U);
}

// Guards against a run number that is given twice: a worker refuses the second run, and a late end of the first counts for it.
TEST(TaskCopyTest, TheNumberOfAnEndedCopyIsNotGivenAgain)
{
    auto task = taskWithCopy();
    task.release(4);
    EXPECT_EQ(task.m_phase, TaskPhase::Assigned);
    EXPECT_EQ(task.m_run, 3U);
    EXPECT_EQ(task.m_worker, "first");
    EXPECT_EQ(task.nextRun(), 5U);
    task.release(4);
    EXPECT_EQ(task.m_worker, "first") << "an end that is reported again changes nothing";
}
