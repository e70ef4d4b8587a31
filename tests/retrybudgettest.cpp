#include "burdockspur/host/retrybudget.hpp"
#include "burdockspur/host/routerlimits.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;
using namespace std::chrono_literals;

namespace
{
[[nodiscard]] auto takeAll(RetryBudget &budget, std::string_view caller, TimePoint now) -> int
{
    int taken = 0;
    while (budget.tryTake(caller, now)) {
        ++taken;
    }
    return taken;
}
}

// Guards against a retry storm, and against a caller with few requests that cannot retry at all.
TEST(RetryBudgetTest, AllowsAShareOfRecentRequestsAndAtLeastAMinimum)
{
    const RouterLimits limits;
    RetryBudget budget(limits);
    const TimePoint start(1h);
    budget.recordRequest("quiet", start);
    for (int i = 0; i < 1000; ++i) {
        budget.recordRequest("busy", start);
    }
    EXPECT_EQ(takeAll(budget, "quiet", start), 10);
    EXPECT_EQ(takeAll(budget, "busy", start), 200);
    EXPECT_EQ(takeAll(budget, "busy", start + limits.m_retryWindow), 0);
    EXPECT_EQ(takeAll(budget, "busy", start + 2 * limits.m_retryWindow), 10);
}

// Guards against memory that grows with the number of distinct caller names.
TEST(RetryBudgetTest, TracksABoundedNumberOfCallers)
{
    RouterLimits limits;
    limits.m_retryCallers = 8;
    RetryBudget budget(limits);
    for (int i = 0; i < 100; ++i) {
        budget.recordRequest("caller-" + std::to_string(i), TimePoint(1h));
    }
    EXPECT_EQ(budget.callers(), 8U);
    EXPECT_FALSE(takeAll(budget, "caller-99", TimePoint(1h)) > 20);
}
