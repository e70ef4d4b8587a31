#include "burdockspur/fleet/failureattribution.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
class FailureAttributionTest : public testing::Test
{
protected:
    using Kind = FailureAttribution::Kind;

    FailureAttribution m_faults;
    TimePoint m_now = TimePoint{} + std::chrono::hours(1);
};
}

// Guards against a job that can never be done and accuses every worker in turn (review/8).
TEST_F(FailureAttributionTest, AJobThatFailsOnSeveralWorkersAccusesNone)
{
    EXPECT_TRUE(m_faults.recordFault("a", Kind::Finite, m_now));
    EXPECT_TRUE(m_faults.recordFault("b", Kind::Finite, m_now));
    for (const auto *const worker : {"c", "d", "a", "b"}) {
        EXPECT_FALSE(m_faults.recordFault(worker, Kind::Finite, m_now)) << worker;
        EXPECT_FALSE(m_faults.recordFault(worker, Kind::Serving, m_now)) << worker;
    }
}

// Guards against a serving task that is restarted for ever on the only worker and counts against it each time (review/8).
TEST_F(FailureAttributionTest, AServingTaskAccusesAWorkerOnce)
{
    EXPECT_TRUE(m_faults.recordFault("a", Kind::Serving, m_now));
    for (int i = 0; i < 100; ++i) {
        m_now += Milliseconds{1'000};
        EXPECT_FALSE(m_faults.recordFault("a", Kind::Serving, m_now));
    }
    m_now += Milliseconds{30'001};
    EXPECT_TRUE(m_faults.recordFault("a", Kind::Serving, m_now)) << "after a time without failures";
}

// Guards against a sound job that hides several faulty workers: its successes show that the failures are not its own.
TEST_F(FailureAttributionTest, AJobThatSucceedsElsewhereAccusesWorkersAgain)
{
    for (const auto *const worker : {"a", "b", "c"}) {
        static_cast<void>(m_faults.recordFault(worker, Kind::Finite, m_now));
    }
    m_faults.recordSuccess();
    EXPECT_TRUE(m_faults.recordFault("c", Kind::Finite, m_now));
}

// Guards against a finite job whose tasks fail on one faulty worker, and that is taken to be the cause.
TEST_F(FailureAttributionTest, AFiniteJobAccusesOneWorkerAgain)
{
    for (int i = 0; i < 5; ++i) {
        EXPECT_TRUE(m_faults.recordFault("a", Kind::Finite, m_now));
    }
}
