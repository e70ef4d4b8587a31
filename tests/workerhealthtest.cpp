#include "burdockspur/fleet/workerhealth.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
class WorkerHealthTest : public testing::Test
{
protected:
    WorkerHealth m_health;
    TimePoint m_now = TimePoint{} + std::chrono::hours(1);
};
}

// Guards against a faulty worker that fails every task and uses up the attempts of every job (srv_grey errors).
TEST_F(WorkerHealthTest, AvoidsAWorkerThatFailsSeveralJobs)
{
    m_health.recordFailure("a", m_now);
    m_health.recordFailure("b", m_now);
    EXPECT_TRUE(m_health.isTrusted(m_now));
    m_health.recordFailure("c", m_now);
    EXPECT_FALSE(m_health.isTrusted(m_now));
}

// Guards against avoiding a worker because of a job that fails on every worker (poison).
TEST_F(WorkerHealthTest, FailuresOfOneJobDoNotCountAgainstTheWorker)
{
    for (int i = 0; i < 10; ++i) {
        m_health.recordFailure("a", m_now);
    }
    EXPECT_TRUE(m_health.isTrusted(m_now));
}

// Guards against failures that accumulate over a day: a worker with serving tasks was avoided for ever (LOST, 2026-12-04).
TEST_F(WorkerHealthTest, OldFailuresAreForgotten)
{
    for (const auto *const job : {"a", "b", "c", "d"}) {
        m_health.recordFailure(job, m_now);
        m_now += Milliseconds{4'001};
        EXPECT_TRUE(m_health.isTrusted(m_now));
    }
}

// Guards against a probation that only a success ends: serving tasks never succeed (LOST, 2026-12-04).
TEST_F(WorkerHealthTest, ProbationEndsByItself)
{
    for (const auto *const job : {"a", "b", "c"}) {
        m_health.recordFailure(job, m_now);
    }
    m_now += Milliseconds{2'000};
    EXPECT_TRUE(m_health.isTrusted(m_now));
    m_health.recordAssignment(m_now);
    EXPECT_FALSE(m_health.isTrusted(m_now)) << "one task at a time on probation";
    m_now += Milliseconds{5'000};
    m_health.recordAssignment(m_now);
    EXPECT_TRUE(m_health.isTrusted(m_now));
}

// Guards against trying a worker too often while it keeps failing.
TEST_F(WorkerHealthTest, PausesGrow)
{
    for (const auto *const job : {"a", "b", "c"}) {
        m_health.recordFailure(job, m_now);
    }
    m_now += Milliseconds{2'000};
    m_health.recordFailure("d", m_now);
    EXPECT_FALSE(m_health.isTrusted(m_now + Milliseconds{3'999}));
    EXPECT_TRUE(m_health.isTrusted(m_now + Milliseconds{4'000}));
    m_health.recordSuccess();
    EXPECT_TRUE(m_health.isTrusted(m_now + Milliseconds{4'000}));
}
