#include "burdockspur/fleet/pacecontroller.hpp"
#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/fleetlimits.hpp"
#include "burdockspur/fleet/fleetworker.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
constexpr std::int64_t capacity = 16'000;

class PaceControllerTest : public testing::Test
{
protected:
    PaceControllerTest()
    {
        WorkerRecord record;
        record.m_id = "worker";
        record.m_capacity = {capacity, 64'000, 0};
        m_worker = std::make_unique<FleetWorker>(record, FleetLimits{}, m_now);
        m_job = std::make_unique<FleetJob>(TaskJob{}, m_now, TaskJob::WallTime{});
    }

    auto add(std::uint32_t index, std::string_view image, bool isServing) -> TaskRun &
    {
        TaskStep step;
        step.m_image = image;
        step.m_demand.m_cpuMillis = capacity / 10;
        step.m_isServing = isServing;
        step.m_isFilling = !isServing;
        step.m_tailTarget = Milliseconds(isServing ? 50 : 0);
        TaskRun run;
        run.m_job = m_job.get();
        run.m_task = {"job", 0, 0, index};
        run.m_stage = RunStage::Running;
        run.initFromStep(step, m_paces.model());
        return m_worker->addRun(std::move(run));
    }

    auto fitOf(const TaskStep &step) -> FillFit
    {
        return m_paces.fitOf(*m_worker, m_paces.model().imageId(step.m_image), step.m_demand.m_cpuMillis, m_now);
    }

    auto setWeight(std::string_view fill, std::string_view serving, double weight) -> void
    {
        const std::vector<InterferencePair> pairs{{std::string(fill), std::string(serving), weight, 1e-3}};
        m_paces.model().restore(pairs);
    }

    /// @brief Adds the samples of four reports, 0.7 s apart.
    auto sampleFourReports() -> void
    {
        for (int i = 0; i < 4; ++i) {
            m_paces.addSamples(*m_worker, m_now);
            m_now += Milliseconds{700};
        }
    }

    auto paceOf(const TaskRun &run) -> int
    {
        for (const auto &plan : m_paces.plan(*m_worker, m_now)) {
            if (plan.m_run == &run) {
                return plan.m_percent;
            }
        }
        return -1;
    }

    TimePoint m_now = TimePoint{} + std::chrono::hours(1);
    PaceController m_paces;
    std::unique_ptr<FleetWorker> m_worker;
    std::unique_ptr<FleetJob> m_job;
};
}

// Guards against slowing all filling tasks for the interference of one, and against a tail latency that stays over its target (HARM).
TEST_F(PaceControllerTest, SlowsOnlyTheInterferingImage)
{
    setWeight("heavy", "serving", 8.0);
    setWeight("light", "serving", 0.2);
    auto &serving = add(0, "serving", true);
    auto &heavy = add(1, "heavy", false);
    auto &light = add(2, "light", false);
    serving.m_load = 60;
    heavy.m_load = light.m_load = capacity / 10.0;
    m_paces.addSamples(*m_worker, m_now);
    EXPECT_LT(paceOf(heavy), 80);
    EXPECT_EQ(paceOf(light), 100);
}

// Guards against filling tasks that stay slow after the tail latency has recovered.
TEST_F(PaceControllerTest, RestoresThePaceAfterRecovery)
{
    setWeight("heavy", "serving", 8.0);
    auto &serving = add(0, "serving", true);
    auto &heavy = add(1, "heavy", false);
    serving.m_load = 15;
    heavy.m_load = 0;
    heavy.m_pace = 0;
    m_paces.addSamples(*m_worker, m_now);
    EXPECT_EQ(paceOf(heavy), 100);
}

// Guards against relying on a wrong weight: while the target is missed by far, every filling task stops, whatever its weight.
TEST_F(PaceControllerTest, StopsAllFillingTasksWhileTheTargetIsFarMissed)
{
    setWeight("light", "serving", 0.1);
    auto &serving = add(0, "serving", true);
    auto &light = add(1, "light", false);
    serving.m_load = 200;
    light.m_load = capacity / 10.0;
    m_paces.addSamples(*m_worker, m_now);
    EXPECT_EQ(paceOf(light), 0);
}

// Guards against placing an image beside the serving tasks that it slows most.
TEST_F(PaceControllerTest, PredictsTheInterferenceOfAFurtherTask)
{
    setWeight("heavy", "serving", 8.0);
    setWeight("light", "serving", 0.2);
    auto &serving = add(0, "serving", true);
    serving.m_load = 30;
    m_paces.addSamples(*m_worker, m_now);
    TaskStep step;
    step.m_demand.m_cpuMillis = capacity / 5;
    step.m_image = "heavy";
    EXPECT_LT(fitOf(step).m_slack, 0);
    step.m_image = "light";
    EXPECT_GT(fitOf(step).m_slack, 0);
}

// A burst places many filling tasks in one decision. Guards against a cached headroom that misses the tasks placed just before, so
// that a worker gets many times the filling work that its serving tasks tolerate.
TEST_F(PaceControllerTest, SlackShrinksWithEachTaskOfTheSameDecision)
{
    setWeight("fill", "serving", 2.0);
    auto &serving = add(0, "serving", true);
    serving.m_load = 25;
    m_paces.addSamples(*m_worker, m_now);
    TaskStep step;
    step.m_demand.m_cpuMillis = capacity / 10;
    step.m_image = "fill";
    const double before = fitOf(step).m_slack;
    static_cast<void>(add(1, "fill", false));
    EXPECT_NEAR(fitOf(step).m_slack, before - 2.0 * 0.1, 1e-9);
    m_worker->removeRun("job.0.0.1");
    EXPECT_NEAR(fitOf(step).m_slack, before, 1e-9);
}

// Guards against learning from a comparison with an old sample, because loads change within seconds.
TEST_F(PaceControllerTest, LearnsOnlyFromSamplesOfTheSameTime)
{
    auto &serving = add(0, "serving", true);
    auto &fill = add(1, "fill", false);
    const auto &model = m_paces.model();
    const double before = model.weight(fill.m_image, serving.m_image);
    m_job->m_headrooms = {{"other", 3.0, {}, m_now - Milliseconds{5'000}}};
    serving.m_load = 50;
    fill.m_load = capacity / 10.0;
    m_paces.addSamples(*m_worker, m_now);
    EXPECT_DOUBLE_EQ(model.weight(fill.m_image, serving.m_image), before);
    m_job->m_headrooms = {{"other", 3.0, {}, m_now}};
    m_paces.addSamples(*m_worker, m_now);
    EXPECT_GT(model.weight(fill.m_image, serving.m_image), before);
}

// There is so much filling work that every serving task has some on its worker. Guards against a model that learns only from comparisons
// with an undisturbed task, and thus learns nothing on the days with the most filling work.
TEST_F(PaceControllerTest, LearnsFromTwoWorkersThatBothHaveFillingTasks)
{
    auto &serving = add(0, "serving", true);
    auto &fill = add(1, "heavy", false);
    const auto light = m_paces.model().imageId("light");
    serving.m_load = 50;
    fill.m_load = capacity / 10.0;
    for (int i = 0; i < 60; ++i) {
        m_job->m_headrooms = {{"other", 1.75, {{light, 0.1}}, m_now}};
        m_paces.addSamples(*m_worker, m_now);
        m_now += Milliseconds{400};
    }
    const auto &model = m_paces.model();
    EXPECT_GT(model.weight(fill.m_image, serving.m_image), model.weight(light, serving.m_image) + 5.0);
}

// Guards against placing a filling task on the worker with the most headroom although its image interferes strongly there: that
// headroom is then lost to images that interfere little.
TEST_F(PaceControllerTest, PrefersAWorkerWhereTheImageInterferesLittle)
{
    setWeight("fill", "sensitive", 8.0);
    setWeight("fill", "serving", 0.2);
    TaskStep step;
    step.m_demand.m_cpuMillis = capacity / 10;
    step.m_image = "fill";
    auto &serving = add(0, "serving", true);
    serving.m_load = 30;
    m_paces.addSamples(*m_worker, m_now);
    const auto light = fitOf(step);
    m_worker->removeRun(serving.m_task.text());
    m_job = std::make_unique<FleetJob>(TaskJob{}, m_now, TaskJob::WallTime{});
    auto &sensitive = add(0, "sensitive", true);
    sensitive.m_load = 15;
    m_paces.addSamples(*m_worker, m_now);
    const auto heavy = fitOf(step);
    EXPECT_GT(heavy.m_slack, light.m_slack);
    EXPECT_GT(light.rank(), heavy.rank());
}

// The load of a serving job rises within seconds on all its workers. Guards against paces that change only after the target was
// missed.
TEST_F(PaceControllerTest, LowersThePaceBeforeARisingLoadReachesTheTarget)
{
    setWeight("heavy", "serving", 8.0);
    auto &serving = add(0, "serving", true);
    auto &heavy = add(1, "heavy", false);
    heavy.m_load = capacity / 10.0;
    for (int i = 0; i < 12; ++i) {
        m_paces.recordBacklog(1.0, m_now);
        // The headroom falls from 2.13 to 1.03 in 4.4 s, so no sample is over the target.
        serving.m_load = 50.0 / (2.13 - 0.1 * i);
        m_paces.addSamples(*m_worker, m_now);
        m_now += Milliseconds{400};
    }
    m_now -= Milliseconds{400};
    EXPECT_LT(paceOf(heavy), 100);
}

// Guards against a mean over all workers that hides a task on a slow worker.
TEST_F(PaceControllerTest, PlacesNoFillingTaskOnAWorkerThatIsWorseThanItsJob)
{
    setWeight("fill", "serving", 1.0);
    auto &serving = add(0, "serving", true);
    serving.m_load = 40;
    TaskStep step;
    step.m_demand.m_cpuMillis = capacity / 5;
    step.m_image = "fill";
    for (int i = 0; i < 20; ++i) {
        for (int other = 0; other < 5; ++other) {
            m_job->m_trend.add(3.0, m_now);
        }
        m_paces.addSamples(*m_worker, m_now);
        m_now += Milliseconds{400};
    }
    EXPECT_LT(fitOf(step).m_slack, 0);
}

// Guards against a tail latency that stays just over its target for seconds, hidden by the noise of its samples (HARM, 2026-12-04). It
// comes about with a steady headroom of about 1.0 beside filling tasks with a small learned weight.
TEST_F(PaceControllerTest, StopsFillingTasksBesideATaskThatStaysAtItsTarget)
{
    setWeight("light", "serving", 0.1);
    auto &serving = add(0, "serving", true);
    auto &light = add(1, "light", false);
    serving.m_load = 48;
    light.m_load = capacity / 10.0;
    sampleFourReports();
    EXPECT_EQ(paceOf(light), 0);
}

// Guards against a task that stays over its target for more than 4 s because single samples, wrong by up to 20%, are far above it (HARM, found by
// the seeds 72, 94 and 98 of the property of fleetschedulerwaittest).
TEST_F(PaceControllerTest, SingleGoodSamplesDoNotHideATaskAtItsTarget)
{
    setWeight("light", "serving", 0.1);
    auto &serving = add(0, "serving", true);
    auto &light = add(1, "light", false);
    light.m_load = capacity / 10.0;
    for (const double tail : {51.0, 51.0, 41.0, 51.0, 51.0, 41.0, 51.0, 51.0, 41.0}) {
        serving.m_load = tail;
        m_paces.addSamples(*m_worker, m_now);
        m_paces.recordBacklog(1.0, m_now);
        m_now += Milliseconds{400};
    }
    EXPECT_EQ(paceOf(light), 0);
}

// Guards against a mean that hides a task which is worse than the others of its job (HARM, 2026-12-04).
TEST_F(PaceControllerTest, TheMeanOfAJobDoesNotHideOneTask)
{
    setWeight("light", "serving", 0.1);
    auto &worst = add(0, "serving", true);
    worst.m_load = 52;
    for (std::uint32_t i = 1; i < 5; ++i) {
        add(i, "serving", true).m_load = 30;
    }
    auto &light = add(9, "light", false);
    light.m_load = capacity / 10.0;
    sampleFourReports();
    EXPECT_EQ(paceOf(light), 0);
}

// Guards against tail latencies held at their targets by filling work that is not urgent, and against idle processors while filling
// work waits.
TEST_F(PaceControllerTest, TheBacklogDeterminesTheRequiredHeadroom)
{
    setWeight("light", "serving", 0.5);
    auto &serving = add(0, "serving", true);
    serving.m_load = 42;
    m_paces.addSamples(*m_worker, m_now);
    TaskStep step;
    step.m_demand.m_cpuMillis = capacity / 10;
    step.m_image = "light";
    m_paces.recordBacklog(0.0, m_now);
    EXPECT_LT(fitOf(step).m_slack, 0);
    for (int i = 0; i < 20; ++i) {
        m_now += Milliseconds{500};
        m_paces.recordBacklog(0.1, m_now);
    }
    EXPECT_GT(fitOf(step).m_slack, 0);
    for (int i = 0; i < 20; ++i) {
        m_now += Milliseconds{500};
        m_paces.recordBacklog(0.0, m_now);
    }
    EXPECT_LT(fitOf(step).m_slack, 0);
}
