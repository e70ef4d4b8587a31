#include "burdockspur/core/identifiers.hpp"
#include "fleetsimulation.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace Burdockspur;
using namespace Burdockspur::Testing;

namespace
{
constexpr std::uint64_t seed = 11;
constexpr std::size_t workers = 20;
/// An owner that processes 500 inputs a second carries about 200 starts a second: each has an answer, and its end is in a report.
constexpr Milliseconds inputCost{2};
constexpr std::uint32_t tasksPerJob = 40;
/// Ten times the starts that the owner carries.
constexpr std::uint64_t jobsPerSecond = 50;
constexpr int loadSeconds = 10;

[[nodiscard]] auto shortJob(std::uint64_t number, std::uint32_t tasks) -> TaskJob
{
    TaskJob job;
    job.m_id = hexOf(number);
    TaskStep step;
    step.m_count = tasks;
    step.m_demand = {200, 100, 0};
    step.m_estimate = Milliseconds{100};
    job.m_steps = {step};
    return job;
}

class FleetSchedulerOverload : public ::testing::Test
{
protected:
    FleetSchedulerOverload()
    {
        m_simulation.requireReportedEnds();
        m_simulation.run(Milliseconds{1'000});
    }

    /// @brief Submits ten times the work that the owner carries, in bursts, while every commit is slow.
    auto overload() -> void
    {
        m_simulation.setInputCost(inputCost);
        m_simulation.setCommitDelay(Milliseconds{300});
        for (int second = 0; second < loadSeconds; ++second) {
            for (std::uint64_t i = 0; i < jobsPerSecond; ++i) {
                m_simulation.submit(shortJob(++m_lastJob, tasksPerJob));
            }
            m_simulation.run(Milliseconds{1'000});
        }
        m_simulation.setCommitDelay(Milliseconds{0});
    }

    FleetSimulation m_simulation{seed, workers, {}};
    std::uint64_t m_lastJob = 0;
};
}

// Ten times the load that an owner carries. Guards against an owner that is wrong because it is late: runs that it repeats although their
// success was reported, ends that it loses, and leases that it takes for expired or lets expire.
TEST_F(FleetSchedulerOverload, NothingIsRepeatedLostOrGivenUp)
{
    overload();
    EXPECT_EQ(m_simulation.lapsedRuns(), 0U);
    m_simulation.setInputCost(Duration::zero());
    m_simulation.run(Milliseconds{60'000});
    EXPECT_TRUE(m_simulation.m_violations.empty()) << m_simulation.m_violations.front();
    for (const auto &id : m_simulation.m_jobs) {
        // One task in thirty fails, and a job fails with the third failure of one task.
        EXPECT_TRUE(isFinal(m_simulation.phaseOf(id))) << id;
    }
}

// The owner processes nothing for longer than a lease, and then a part of its inputs in each round. Guards against an owner that gives up
// runs while the answers that list their ends still wait, and starts their tasks again.
TEST_F(FleetSchedulerOverload, AStalledOwnerReadsWhatWaitsBeforeItStartsATaskAgain)
{
    m_simulation.setInputCost(inputCost);
    for (int i = 0; i < 20; ++i) {
        m_simulation.submit(shortJob(++m_lastJob, tasksPerJob));
    }
    m_simulation.run(Milliseconds{600});
    m_simulation.stallOwner(Milliseconds{7'000});
    m_simulation.run(Milliseconds{60'000});
    EXPECT_TRUE(m_simulation.m_violations.empty()) << m_simulation.m_violations.front();
    for (const auto &id : m_simulation.m_jobs) {
        EXPECT_TRUE(isFinal(m_simulation.phaseOf(id))) << id;
    }
}

// Guards against queues inside the owner that grow with the load: each worker has one report under way, and each assigned run one order.
TEST_F(FleetSchedulerOverload, WaitingInputsAreBounded)
{
    overload();
    // Submissions of a burst, one report of each worker, and the answers for the runs that fill the workers.
    constexpr std::size_t runsPerWorker = 80;
    EXPECT_LE(m_simulation.mostWaiting(), jobsPerSecond + workers * (1 + 2 * runsPerWorker));
}

// Guards against a backlog that new work has to wait for: jobs that can still meet their objective go before those that cannot.
TEST_F(FleetSchedulerOverload, ServiceIsBackTwoSecondsAfterTheLoad)
{
    overload();
    const TimePoint endedAt = m_simulation.now();
    const auto id = hexOf(++m_lastJob);
    m_simulation.submit(shortJob(m_lastJob, 1));
    m_simulation.run(Milliseconds{2'000});
    const auto final = m_simulation.finalSince(id);
    ASSERT_TRUE(final) << "the job has not ended, owner busy";
    EXPECT_LE(*final - endedAt, Milliseconds{2'000});
}
