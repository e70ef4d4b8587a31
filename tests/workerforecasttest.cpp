#include "burdockspur/fleet/lookahead/workerforecast.hpp"
#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/fleetlimits.hpp"
#include "burdockspur/fleet/fleetworker.hpp"
#include "burdockspur/fleet/lookahead/rundurations.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
constexpr Milliseconds startDelay{100};

/// Durations that a test sets.
class FixedDurations : public RunDurations
{
public:
    [[nodiscard]] auto rangeOf(const TaskJob & /*job*/, std::uint32_t /*step*/) const -> DurationRange override
    {
        return m_range;
    }

    DurationRange m_range{Milliseconds{1'000}, Milliseconds{1'500}, true};
};

[[nodiscard]] auto recordOf(const Resources &capacity) -> WorkerRecord
{
    WorkerRecord record;
    record.m_id = "worker-1";
    record.m_capacity = capacity;
    return record;
}

[[nodiscard]] auto twoStepJob() -> TaskJob
{
    TaskJob job;
    job.m_id = "job-1";
    job.m_steps.resize(2);
    job.m_steps[0].m_count = 10;
    job.m_steps[1].m_isServing = true;
    return job;
}

class WorkerForecastTest : public ::testing::Test
{
protected:
    auto addRun(std::uint32_t index, std::int64_t cpuMillis, Milliseconds age) -> TaskRun &
    {
        TaskRun run;
        run.m_job = &m_job;
        run.m_task = TaskId{"job-1", 0, 0, index};
        run.m_stage = RunStage::Running;
        run.m_reserved = {cpuMillis, 1'000, 0};
        run.m_assignedAt = m_now - age;
        run.m_confirmedAt = m_now - age;
        return m_worker.addRun(std::move(run));
    }

    [[nodiscard]] auto forecast() const -> WorkerForecast
    {
        return {m_worker, m_worker.freeResources(), m_durations, startDelay, m_now};
    }

    FixedDurations m_durations;
    TimePoint m_now = TimePoint{} + std::chrono::hours(1);
    FleetJob m_job{twoStepJob(), m_now, {}};
    FleetLimits m_limits;
    FleetWorker m_worker{recordOf({16'000, 64'000, 0}), m_limits, m_now};
};
}

// Guards against a forecast that counts the median: half of the runs end later.
TEST_F(WorkerForecastTest, RoomIsExpectedWhenMostRunsHaveEnded)
{
    addRun(0, 8'000, Milliseconds{500});
    addRun(1, 6'000, Milliseconds{200});
    const auto room = forecast().timeOf({9'000, 1'000, 0});
    ASSERT_TRUE(room);
    EXPECT_EQ(room->m_at, m_now + Milliseconds{1'000});
    EXPECT_TRUE(room->m_isSure);
    const auto all = forecast().timeOf({16'000, 1'000, 0});
    ASSERT_TRUE(all);
    EXPECT_EQ(all->m_at, m_now + Milliseconds{1'300});
    EXPECT_EQ(forecast().freeAt(m_now + Milliseconds{1'000}).m_cpuMillis, 10'000);
}

TEST_F(WorkerForecastTest, FreeRoomIsThereNow)
{
    addRun(0, 8'000, Milliseconds{500});
    const auto room = forecast().timeOf({8'000, 1'000, 0});
    ASSERT_TRUE(room);
    EXPECT_EQ(room->m_at, m_now);
    EXPECT_TRUE(room->m_isSure);
}

// Guards against a run that is late and therefore counts as ending now, in every round anew.
TEST_F(WorkerForecastTest, ARunPastItsForecastIsNotExpectedToEndNow)
{
    addRun(0, 16'000, Milliseconds{4'000});
    const auto made = forecast();
    ASSERT_EQ(made.runs().size(), 1U);
    EXPECT_TRUE(made.runs()[0].m_isOverdue);
    EXPECT_FALSE(made.runs()[0].m_isSure);
    EXPECT_GE(made.runs()[0].m_expected, m_now + Milliseconds{2'000});
    const auto room = made.timeOf({1'000, 1'000, 0});
    ASSERT_TRUE(room);
    EXPECT_FALSE(room->m_isSure);
    EXPECT_EQ(room->m_at, m_now + Milliseconds{4'000});
}

// Guards against room that is promised where tasks stay.
TEST_F(WorkerForecastTest, LastingTasksDoNotEnd)
{
    TaskRun run;
    run.m_job = &m_job;
    run.m_task = TaskId{"job-1", 0, 1, 0};
    run.m_isServing = true;
    run.m_reserved = {10'000, 1'000, 0};
    m_worker.addRun(std::move(run));
    addRun(0, 6'000, Milliseconds{500});
    EXPECT_TRUE(forecast().timeOf({6'000, 1'000, 0}));
    EXPECT_FALSE(forecast().timeOf({7'000, 1'000, 0}));
}

// A run of a former owner has begun before this owner knew of it. Guards against a successor that expects every run to begin with it.
TEST_F(WorkerForecastTest, TheProgressOfARunTellsWhenItHasBegun)
{
    auto &run = addRun(0, 16'000, Milliseconds{0});
    run.m_firstListedAt = m_now;
    run.m_firstPercent = run.m_percent = 80;
    const auto room = forecast().timeOf({1'000, 1'000, 0});
    ASSERT_TRUE(room);
    EXPECT_EQ(room->m_at, m_now + Milliseconds{700});
}

// Guards against learned durations that outweigh what the run itself shows.
TEST_F(WorkerForecastTest, TheSpeedOfARunOutweighsLearnedDurations)
{
    auto &run = addRun(0, 16'000, Milliseconds{1'000});
    run.m_firstListedAt = m_now - Milliseconds{800};
    run.m_firstPercent = 5;
    run.m_percent = 25;
    m_worker.m_lastReportAt = m_now;
    const auto made = forecast();
    // A fifth took 800 ms, so that three quarters take 3 s.
    EXPECT_EQ(made.runs()[0].m_expected, m_now + Milliseconds{3'000});
    EXPECT_GT(made.runs()[0].m_latest, made.runs()[0].m_expected);
    EXPECT_TRUE(made.runs()[0].m_isSure);
}

// Guards against an assignment that is not stored yet and counts as running.
TEST_F(WorkerForecastTest, AnAssignedRunBeginsAfterItsCommit)
{
    addRun(0, 16'000, Milliseconds{0}).m_stage = RunStage::Unsent;
    const auto room = forecast().timeOf({1'000, 1'000, 0});
    ASSERT_TRUE(room);
    EXPECT_EQ(room->m_at, m_now + startDelay + Milliseconds{1'500});
}
