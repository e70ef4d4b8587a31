#include "linkstore.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/fleet/jobload.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>

using namespace Burdockspur;
using namespace Burdockspur::Testing;

namespace
{
/// @brief A job load and its result.
struct Outcome {
    Outcome(LinkStore &store, JobLoad::Scope scope)
        : m_load(store,
                 scope,
                 {.m_loaded =
                      [this, &store](JobLoad::Jobs &&jobs) {
                          m_loaded = std::move(jobs);
                          m_endedAt = store.now();
                      },
                  .m_failed =
                      [this](const Error &error) {
                          m_error = error;
                      },
                  .m_runLater =
                      [&store](Milliseconds pause, std::function<void()> call) {
                          store.later(pause, std::move(call));
                      },
                  .m_now =
                      [&store] {
                          return TimePoint{} + store.now();
                      }})
    {
    }

    std::optional<JobLoad::Jobs> m_loaded;
    Error m_error{};
    Milliseconds m_endedAt{0};
    JobLoad m_load;
};

/// @brief Stores jobs of a realistic size, each with one task that has started.
auto fill(LinkStore &store, std::uint64_t jobs) -> void
{
    constexpr std::uint32_t tasks = 20;
    constexpr std::size_t payloadBytes = 900;
    for (std::uint64_t i = 0; i < jobs; ++i) {
        TaskJob job;
        // Multiplied by an odd number, so that the ids are spread over the partitions.
        job.m_id = hexOf(i * 0x9E3779B97F4A7C15U);
        job.m_policy.m_name = "queue";
        job.m_policy.m_pool = "pool";
        job.m_payload.assign(payloadBytes, 'x');
        job.m_steps.resize(2);
        JobProgress progress{JobPhase::Running, 1, {}};
        auto &occurrence = progress.m_open.emplace_back();
        for (auto &step : job.m_steps) {
            step.m_count = tasks;
            step.m_image = "image";
            occurrence.m_steps.emplace_back().m_tasks.resize(tasks);
        }
        occurrence.m_steps[0].m_tasks[0] = {TaskPhase::Assigned, 1, 0, "i-0123456789", 1'900'000'000'000U, ""};
        store.put(jobKey(job.m_id), encodeRow(job));
        store.put(progressKey(job.m_id), encodeRow(progress));
    }
}
}

// Guards against a takeover that no small host completes: one time-out covered all rows of a list, so with a large backlog every host
// with 10 Mbit/s failed, and the backlog grew for 13 s without a start (SHORT, incident of 2026-12-05).
TEST(JobLoadTest, ALargeBacklogIsReadOverANarrowLink)
{
    constexpr std::uint64_t jobs = 1'500;
    LinkStore store({});
    fill(store, jobs);
    Outcome outcome(store, JobLoad::Scope::Everything);
    store.run(std::chrono::seconds(30));
    ASSERT_TRUE(outcome.m_loaded) << outcome.m_error.m_message;
    EXPECT_EQ(outcome.m_loaded->m_jobs.size(), jobs);
}

// Guards against a load that fails or starts from the beginning after a lost answer, instead of requesting just that page again.
TEST(JobLoadTest, PagesWithoutAnswerAreReadAgain)
{
    constexpr std::uint64_t jobs = 300;
    LinkStore store({});
    fill(store, jobs);
    store.m_failEvery = 4;
    Outcome outcome(store, JobLoad::Scope::Everything);
    store.run(std::chrono::seconds(30));
    ASSERT_TRUE(outcome.m_loaded) << outcome.m_error.m_message;
    EXPECT_EQ(outcome.m_loaded->m_jobs.size(), jobs);
    const auto &first = outcome.m_loaded->m_jobs.front();
    ASSERT_TRUE(first.m_progress);
    EXPECT_EQ(first.m_progress->m_open.front().m_steps[0].m_tasks[0].m_worker, "i-0123456789");
}

// Guards against a host that keeps the ownership while the store answers only other hosts.
TEST(JobLoadTest, FailsWhenTheStoreDoesNotAnswer)
{
    LinkStore store({});
    fill(store, 10);
    store.m_isSilent = true;
    Outcome outcome(store, JobLoad::Scope::Everything);
    store.run(std::chrono::seconds(30));
    EXPECT_FALSE(outcome.m_loaded);
    EXPECT_EQ(outcome.m_error.m_code, ErrorCode::Timeout);
}

// Guards against pages that delay the owner's heartbeats: another read at the same time must be answered within a second.
TEST(JobLoadTest, PagesDoNotBlockTheLinkForOtherCalls)
{
    LinkStore store({});
    fill(store, 1'500);
    Outcome outcome(store, JobLoad::Scope::Everything);
    constexpr Milliseconds interval{400};
    Milliseconds slowest{0};
    int answered = 0;
    std::function<void()> probe = [&] {
        store.list("owner", ownerPartition, {}, 1, [&, sentAt = store.now()](Result<RowPage> &&page) {
            answered += page ? 1 : 0;
            slowest = std::max(slowest, store.now() - sentAt);
        });
        if (!outcome.m_loaded) {
            store.later(interval, probe);
        }
    };
    probe();
    store.run(std::chrono::seconds(30));
    ASSERT_TRUE(outcome.m_loaded);
    EXPECT_GT(answered, 5);
    EXPECT_LT(slowest, Milliseconds{1'000});
}

// Guards against a takeover that keeps reading small pages on a fast link: pages must grow while answers arrive quickly.
TEST(JobLoadTest, PagesGrowOnAFastLink)
{
    LinkStore store({.m_bytesPerSecond = 25e6});
    fill(store, 1'500);
    Outcome outcome(store, JobLoad::Scope::Everything);
    store.run(std::chrono::seconds(30));
    ASSERT_TRUE(outcome.m_loaded);
    EXPECT_LT(outcome.m_endedAt, Milliseconds{500});
}

// Guards against a takeover that reads all jobs of the last 150 s (incident of 2026-12-05): 5,000 ended jobs whose rows were moved must
// not be read.
TEST(JobLoadTest, ReadsOnlyActiveJobs)
{
    constexpr std::uint64_t active = 200;
    constexpr std::uint64_t ended = 5'000;
    LinkStore alone({});
    fill(alone, active);
    Outcome expected(alone, JobLoad::Scope::Everything);
    alone.run(std::chrono::seconds(30));

    LinkStore store({});
    fill(store, active);
    for (std::uint64_t i = active; i < active + ended; ++i) {
        store.put(finalKey(hexOf(i * 0x9E3779B97F4A7C15U)), encodeRow(FinalRow{JobPhase::Completed, {}}));
    }
    Outcome outcome(store, JobLoad::Scope::Everything);
    store.run(std::chrono::seconds(30));
    ASSERT_TRUE(outcome.m_loaded) << outcome.m_error.m_message;
    EXPECT_EQ(outcome.m_loaded->m_jobs.size(), active);
    EXPECT_TRUE(outcome.m_loaded->m_archived.empty());
    EXPECT_EQ(store.m_bytes, alone.m_bytes);
}

// Guards against progress rows that are never deleted because the owner that moved their jobs was lost. Also guards against deleting
// progress while the submission exists, even if that row cannot be decoded: the job would run again.
TEST(JobLoadTest, ReportsMovedJobsWhoseProgressRemains)
{
    LinkStore store({});
    const auto ended = encodeRow(JobProgress{JobPhase::Completed, 1, {}});
    store.put(progressKey("10"), ended);
    store.put(progressKey("20"), ended);
    store.put(jobKey("20"), "no row");
    store.put(progressKey("30"), encodeRow(JobProgress{JobPhase::Running, 1, {}}));
    Outcome outcome(store, JobLoad::Scope::Everything);
    store.run(std::chrono::seconds(30));
    ASSERT_TRUE(outcome.m_loaded);
    EXPECT_EQ(outcome.m_loaded->m_archived, std::vector<std::string>{"10"});
}

// Guards against a job whose progress has several rows and that a successor reads in part, or whose rows stay after its move (review/6).
TEST(JobLoadTest, JoinsTheRowsOfALargeProgress)
{
    constexpr std::size_t rowBytes = 1'000;
    constexpr std::uint32_t tasks = 100;
    TaskJob job;
    job.m_id = hexOf(1);
    job.m_steps.resize(1);
    job.m_steps.front().m_count = tasks;
    JobProgress progress{JobPhase::Running, 1, {}};
    progress.m_open.emplace_back().m_steps.emplace_back().m_tasks.assign(tasks, {TaskPhase::Assigned, 1, 0, "i-0123456789", 1'900'000'000'000U, ""});
    LinkStore store({});
    store.put(jobKey(job.m_id), encodeRow(job));
    const auto rows = encodeProgressRows(progress, rowBytes);
    ASSERT_GT(rows.size(), 3U);
    for (std::uint32_t number = 0; number < rows.size(); ++number) {
        store.put(progressKey(job.m_id, number), rows[number]);
    }
    // An earlier commit needed one row more, which is stored until the move.
    store.put(progressKey(job.m_id, static_cast<std::uint32_t>(rows.size())), "earlier");
    auto incomplete = job;
    incomplete.m_id = hexOf(2);
    store.put(jobKey(incomplete.m_id), encodeRow(incomplete));
    store.put(progressKey(incomplete.m_id), rows[0]);
    store.put(progressKey(incomplete.m_id, 1), rows[1]);
    // The former owner has deleted the first row of a moved job, and not the others.
    store.put(progressKey(hexOf(3), 1), "earlier");
    Outcome outcome(store, JobLoad::Scope::Everything);
    store.run(std::chrono::seconds(30));
    ASSERT_TRUE(outcome.m_loaded);
    ASSERT_EQ(outcome.m_loaded->m_jobs.size(), 1U) << "a job with unknown runs must not be started";
    EXPECT_EQ(outcome.m_loaded->m_jobs.front().m_progress, progress);
    EXPECT_EQ(outcome.m_loaded->m_jobs.front().m_continuationRows, rows.size());
    EXPECT_EQ(outcome.m_loaded->m_archived, std::vector<std::string>{progressRowName(hexOf(3), 1)});
}
