#include "burdockspur/fleet/stragglers/durationmodel.hpp"

#include "burdockspur/contract/taskjob.hpp"
#include "burdockspur/fleet/stragglers/undisturbedduration.hpp"
#include "burdockspur/fleet/taskrun.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
[[nodiscard]] auto keyOf(std::uint32_t step) -> DurationKey
{
    return {"queue", "image", step, 14, 10};
}

auto record(DurationModel &model, const DurationKey &key, Duration took, std::size_t times) -> void
{
    for (std::size_t i = 0; i < times; ++i) {
        model.recordEnd(key, took);
    }
}

const TimePoint now = TimePoint{} + std::chrono::hours(1);

/// @brief A run that was started 800 ms ago and confirmed.
[[nodiscard]] auto makeRun() -> TaskRun
{
    TaskRun run;
    run.m_stage = RunStage::Running;
    run.m_startSentAt = now - Milliseconds{800};
    return run;
}
}

// Three of 100 runs take seven times as long as the others. Guards against a forecast that follows the tail, with which a straggler would look
// ordinary.
TEST(DurationModelTest, TheTailDoesNotMoveTheForecast)
{
    DurationModel model;
    for (int i = 0; i < 100; ++i) {
        model.recordEnd(keyOf(0), i % 33 == 32 ? Milliseconds{5'950} : Milliseconds{850 + i % 10});
    }
    const auto forecast = model.forecast(keyOf(0));
    ASSERT_TRUE(forecast);
    EXPECT_GE(forecast->m_median, Milliseconds{850});
    EXPECT_LE(forecast->m_median, Milliseconds{860});
    EXPECT_LE(forecast->m_high, Milliseconds{860});
    EXPECT_EQ(forecast->m_samples, DurationSamples::capacity);
}

// Guards against decisions that rest on single runs, and against kinds that share what is learned.
TEST(DurationModelTest, AKindIsForecastOnlyFromEnoughRunsOfItsOwn)
{
    DurationModel model;
    record(model, keyOf(0), Milliseconds{500}, DurationModel::minSamples - 1);
    EXPECT_FALSE(model.forecast(keyOf(0)));
    model.recordEnd(keyOf(0), Milliseconds{500});
    ASSERT_TRUE(model.forecast(keyOf(0)));
    EXPECT_EQ(model.forecast(keyOf(0))->m_median, Milliseconds{500});
    EXPECT_FALSE(model.forecast(keyOf(1)));
}

// The work of a queue becomes four times as long. Guards against durations that are remembered for ever.
TEST(DurationModelTest, AChangeOfTheWorkReplacesWhatWasLearned)
{
    DurationModel model;
    record(model, keyOf(0), Milliseconds{500}, 1'000);
    record(model, keyOf(0), Milliseconds{2'000}, DurationSamples::capacity);
    EXPECT_EQ(model.forecast(keyOf(0))->m_median, Milliseconds{2'000});
}

// A caller names a new image with each job. Guards against memory that grows with the kinds, and against forgetting the kinds that are in use.
TEST(DurationModelTest, MemoryIsBoundedAndKindsInUseAreKept)
{
    DurationModel model;
    record(model, keyOf(0), Milliseconds{700}, DurationModel::minSamples);
    for (std::size_t i = 0; i < 2 * DurationModel::maxKinds; ++i) {
        model.recordEnd({"queue", "image-" + std::to_string(i), 0, 14, 10}, Milliseconds{100});
        if (i % 100 == 0) {
            model.recordEnd(keyOf(0), Milliseconds{700});
        }
    }
    EXPECT_EQ(model.size(), DurationModel::maxKinds);
    EXPECT_TRUE(model.forecast(keyOf(0)));
}

// Guards against an end without a duration, as of a clock that is read twice at the same time.
TEST(DurationModelTest, EndsWithoutADurationTeachNothing)
{
    DurationModel model;
    record(model, keyOf(0), Duration::zero(), DurationModel::minSamples);
    record(model, keyOf(0), Milliseconds{-5}, DurationModel::minSamples);
    EXPECT_EQ(model.size(), 0U);
}

// Guards against a kind for each job: the demands of the jobs of a queue differ a little.
TEST(DurationModelTest, JobsThatDifferLittleAreOfOneKind)
{
    TaskJob job;
    job.m_policy.m_name = "queue";
    job.m_steps.resize(2);
    job.m_steps[0].m_demand.m_cpuMillis = 10'500;
    job.m_steps[0].m_estimate = Milliseconds{850};
    auto similar = job;
    similar.m_steps[0].m_demand.m_cpuMillis = 11'000;
    similar.m_steps[0].m_estimate = Milliseconds{900};
    EXPECT_EQ(DurationKey::of(job, 0), DurationKey::of(similar, 0));
    EXPECT_NE(DurationKey::of(job, 0), DurationKey::of(job, 1));
    similar.m_steps[0].m_estimate = Milliseconds{3'000};
    EXPECT_NE(DurationKey::of(job, 0), DurationKey::of(similar, 0));
    similar.m_steps[0].m_estimate = Milliseconds{-1};
    EXPECT_EQ(DurationKey::of(similar, 0).m_estimateClass, 0U);
}

// Guards against lessons from runs that were slowed, inherited, ordered twice or on a bad worker: stragglers would look ordinary after them.
TEST(DurationModelTest, DisturbedRunsTeachNothing)
{
    EXPECT_EQ(undisturbedDuration(makeRun(), true, now), Milliseconds{800});
    EXPECT_FALSE(undisturbedDuration(makeRun(), false, now));
    auto slowed = makeRun();
    slowed.m_isUndisturbed = false;
    EXPECT_FALSE(undisturbedDuration(slowed, true, now));
    auto repeated = makeRun();
    repeated.m_unansweredStarts = 1;
    EXPECT_FALSE(undisturbedDuration(repeated, true, now));
    auto inherited = makeRun();
    inherited.m_startSentAt = {};
    EXPECT_FALSE(undisturbedDuration(inherited, true, now));
    auto serving = makeRun();
    serving.m_isServing = true;
    EXPECT_FALSE(undisturbedDuration(serving, true, now));
}
