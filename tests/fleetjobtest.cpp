#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/fleetlimits.hpp"
#include "burdockspur/fleet/fleetrows.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
const TaskJob::WallTime noon{Milliseconds{1'800'000'000'000}};
const TimePoint now = TimePoint{} + std::chrono::hours(1);

[[nodiscard]] auto repeatedJob(std::uint32_t tasks) -> TaskJob
{
    TaskJob job;
    job.m_id = "5c0e7a21d94b36f8";
    job.m_steps.resize(1);
    job.m_steps[0].m_count = tasks;
    job.m_repeats = 3;
    job.m_firstDue = noon;
    job.m_interval = Milliseconds{1'000};
    return job;
}
}

// Guards against an occurrence that is opened before its due time, or only after the previous one has ended.
TEST(FleetJobTest, OccurrencesOpenWhenTheyAreDue)
{
    FleetJob job(repeatedJob(2), now, noon);
    EXPECT_FALSE(job.openDueOccurrences(noon - Milliseconds{1}));
    EXPECT_TRUE(job.openDueOccurrences(noon));
    EXPECT_EQ(job.progress().m_open.size(), 1U);
    EXPECT_TRUE(job.openDueOccurrences(noon + Milliseconds{2'500}));
    EXPECT_EQ(job.progress().m_open.size(), 3U);
    EXPECT_FALSE(job.nextDueTime());
}

// Guards against a progress that no transaction of the store takes (LOST, review/6): the commits of all jobs were refused with it. Ids of workers have
// at most 200 bytes.
TEST(FleetJobTest, TheLargestJobFitsIntoOneCommit)
{
    constexpr std::size_t rowBytes = 65'536;
    const std::string longestId(200, 'i');
    for (const std::uint32_t occurrences : {1U, maxOpenTasks}) {
        auto largest = repeatedJob(maxOpenTasks / occurrences);
        largest.m_repeats = maxOpenTasks + 1;
        largest.m_interval = Milliseconds{0};
        FleetJob job(std::move(largest), now, noon);
        EXPECT_TRUE(job.openDueOccurrences(noon));
        ASSERT_EQ(job.progress().m_open.size(), occurrences) << "further occurrences wait";
        for (std::uint32_t i = 0; i < maxOpenTasks; ++i) {
            *job.findTask({"5c0e7a21d94b36f8", i % occurrences, 0, i / occurrences}) = {
                TaskPhase::Assigned, 1'000'000, 1'000'000, longestId, 1'771'900'000'000, "00000bb87a21d94b", 999'999};
        }
        std::size_t bytes = 0;
        for (const auto &row : encodeProgressRows(job.progress(), rowBytes)) {
            EXPECT_LE(row.size(), rowBytes);
            bytes += row.size();
        }
        EXPECT_LE(bytes, FleetLimits{}.m_bytesPerCommit);
    }
}

// Guards against a job that is reported as completed while an occurrence or a task is unfinished.
TEST(FleetJobTest, CompletesWithItsLastTask)
{
    FleetJob job(repeatedJob(1), now, noon);
    for (std::uint32_t occurrence = 0; occurrence < 3; ++occurrence) {
        EXPECT_FALSE(job.closeFinishedOccurrences());
        static_cast<void>(job.openDueOccurrences(noon + Milliseconds{1'000} * occurrence));
        EXPECT_FALSE(job.closeFinishedOccurrences());
        job.findTask({"5c0e7a21d94b36f8", occurrence, 0, 0})->m_phase = TaskPhase::Done;
    }
    EXPECT_TRUE(job.closeFinishedOccurrences());
    EXPECT_EQ(job.progress().m_phase, JobPhase::Completed);
}

// Guards against stored progress with other steps or task counts than the job, which would be read out of bounds.
TEST(FleetJobTest, RejectsProgressOfAnotherShape)
{
    FleetJob job(repeatedJob(2), now, noon);
    JobProgress progress{JobPhase::Running, 1, {}};
    progress.m_open.push_back({0, {StepProgress{{TaskProgress{}}}}});
    EXPECT_FALSE(job.restore(std::move(progress)));
}
