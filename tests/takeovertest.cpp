#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/fleet/fleetscheduler.hpp"
#include "burdockspur/fleet/takeover/queueworkmeans.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace Burdockspur;

namespace
{
using namespace std::chrono_literals;

constexpr Epoch epoch = 2;
constexpr std::uint64_t incarnation = 5;

[[nodiscard]] auto workerRecord() -> WorkerRecord
{
    WorkerRecord record;
    record.m_id = "worker";
    record.m_endpoint = {"127.0.0.1", 1};
    record.m_incarnation = incarnation;
    record.m_capacity = {4'000, 64'000, 0};
    return record;
}

[[nodiscard]] auto makeJob(std::uint64_t number, std::string_view queue, std::uint32_t tasks, Milliseconds estimate) -> TaskJob
{
    TaskJob job;
    job.m_id = hexOf(number);
    job.m_policy.m_name = queue;
    job.m_policy.m_maxAttempts = 3;
    job.m_policy.m_stretch = 100;
    TaskStep step;
    step.m_count = tasks;
    step.m_demand = {4'000, 500, 0};
    step.m_estimate = estimate;
    job.m_steps = {step};
    return job;
}

/// @brief An owner with one worker, whose messages the test carries.
struct Owner {
    FleetScheduler m_scheduler{FleetLimits{}};
    TimePoint m_now{std::chrono::hours(1)};
    std::vector<CommitOrder> m_commits;
    std::vector<RunStartOrder> m_starts;

    auto prepare() -> void
    {
        m_scheduler.prepare(epoch, m_now, FormerOwner{m_now, {}});
        const auto record = workerRecord();
        m_scheduler.updateWorkers(std::span(&record, 1), {}, m_now);
    }

    auto report() -> void
    {
        const auto record = workerRecord();
        ReportAnswer answer{{record.m_id, record.m_endpoint, incarnation, epoch}, OrderOutcome::Accepted, {}, m_now, m_now};
        answer.m_report.m_incarnation = incarnation;
        m_scheduler.handleAnswer(answer, m_now);
    }

    auto advance() -> void
    {
        m_scheduler.advance(m_now, FleetScheduler::WallTime{});
        for (auto &command : m_scheduler.takeCommands()) {
            if (auto *const commit = std::get_if<CommitOrder>(&command)) {
                m_commits.push_back(std::move(*commit));
            } else if (auto *const start = std::get_if<RunStartOrder>(&command)) {
                m_starts.push_back(std::move(*start));
            }
        }
    }

    auto storeCommits() -> void
    {
        for (const auto &commit : std::exchange(m_commits, {})) {
            m_scheduler.handleAnswer(CommitAnswer{commit.m_number, epoch, m_now, true, m_now}, m_now);
        }
        advance();
    }

    /// @brief The jobs whose tasks are started after the first commit.
    [[nodiscard]] auto firstStarts() -> std::vector<std::string>
    {
        advance();
        storeCommits();
        std::vector<std::string> jobs;
        jobs.reserve(m_starts.size());
        for (const auto &start : m_starts) {
            jobs.push_back(start.m_task.m_job);
        }
        return jobs;
    }
};

/// @brief Jobs of two queues of which one has large jobs; the waiting ones are a small job of that queue, and a larger one of the other queue.
[[nodiscard]] auto storedJobs() -> std::vector<StoredJob>
{
    std::vector<StoredJob> jobs;
    for (std::uint64_t i = 0; i < 8; ++i) {
        auto large = makeJob(0x100 + i, "large", 100, 1'000ms);
        auto small = makeJob(0x200 + i, "small", 1, 500ms);
        for (auto *const job : {&large, &small}) {
            JobProgress progress;
            progress.m_phase = JobPhase::Completed;
            jobs.push_back({std::move(*job), progress, false});
        }
    }
    jobs.push_back({makeJob(1, "large", 1, 12'000ms), std::nullopt, false});
    jobs.push_back({makeJob(2, "small", 1, 14'000ms), std::nullopt, false});
    return jobs;
}

/// @brief What an owner starts first that has seen all jobs arrive.
[[nodiscard]] auto choiceOfFormerOwner() -> std::vector<std::string>
{
    Owner owner;
    owner.prepare();
    owner.m_scheduler.begin(epoch, {}, owner.m_now, FleetScheduler::WallTime{});
    owner.report();
    for (auto &stored : storedJobs()) {
        const bool isOver = stored.m_progress.has_value();
        const auto id = stored.m_job.m_id;
        owner.m_scheduler.addJob(std::move(stored.m_job), owner.m_now, FleetScheduler::WallTime{});
        if (isOver) {
            owner.m_scheduler.cancelJob(id);
        }
    }
    return owner.firstStarts();
}
}

// Guards against a successor that orders its backlog differently from the former owner: it did not know how much work a usual job of a
// queue is, so it did not weigh large jobs of a queue of small ones.
TEST(TakeoverTest, ASuccessorStartsWhatTheFormerOwnerWouldHaveStarted)
{
    Owner successor;
    successor.prepare();
    successor.report();
    successor.m_scheduler.begin(epoch, storedJobs(), successor.m_now, FleetScheduler::WallTime{});
    successor.report();
    const auto expected = choiceOfFormerOwner();
    ASSERT_EQ(expected, std::vector<std::string>{hexOf(2)});
    EXPECT_EQ(successor.firstStarts(), expected);
}

// Guards against a weight that follows the first job of a queue for minutes, and against one that never follows a change.
TEST(TakeoverTest, TheMeanWorkOfAQueueCountsTheFirstJobsAlike)
{
    QueueWorkMeans means;
    EXPECT_FALSE(means.mean("queue"));
    for (const double work : {100.0, 10.0, 10.0, 10.0}) {
        means.add("queue", work);
    }
    EXPECT_DOUBLE_EQ(*means.mean("queue"), 32.5);
    for (int i = 0; i < 200; ++i) {
        means.add("queue", 1.0);
    }
    EXPECT_NEAR(*means.mean("queue"), 1.0, 0.1);
}
