#include "burdockspur/fleet/reportpacing.hpp"
#include "burdockspur/fleet/fleetlimits.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
const FleetLimits limits;
const TimePoint start = TimePoint{} + std::chrono::hours(1);

[[nodiscard]] auto noted(Milliseconds late) -> ReportPacing
{
    ReportPacing pacing;
    pacing.noteReport(start - late, start);
    return pacing;
}
}

// Guards against tails that are read less often by an owner that keeps up.
TEST(ReportPacingTest, AnOwnerThatKeepsUpAsksAsOftenAsUsual)
{
    EXPECT_EQ(ReportPacing{}.wait(limits, false, start), limits.m_reportWait);
    EXPECT_EQ(noted(Milliseconds{15}).wait(limits, false, start), limits.m_reportWait);
}

// Guards against a small owner that spends its processor on reports which tell nothing, while inputs pile up.
TEST(ReportPacingTest, ALateOwnerAsksLessOftenWithinTheBound)
{
    const auto wait = noted(Milliseconds{70}).wait(limits, false, start);
    EXPECT_GT(wait, limits.m_reportWait);
    EXPECT_LT(wait, limits.m_lateReportWait);
    EXPECT_EQ(noted(Milliseconds{900}).wait(limits, false, start), limits.m_lateReportWait);
}

// Guards against an owner that asks seldom for good after one slow round.
TEST(ReportPacingTest, TheUsualWaitComesBack)
{
    auto pacing = noted(Milliseconds{200});
    pacing.noteReport(start + Milliseconds{3'000}, start + Milliseconds{3'001});
    EXPECT_EQ(pacing.wait(limits, false, start + Milliseconds{3'001}), limits.m_reportWait);
}

// Guards against a wait after which an idle worker does not count as open, so that it gets no task.
TEST(ReportPacingTest, AnIdleWorkerIsHeardWhileItsReportIsFresh)
{
    const auto wait = noted(Milliseconds{200}).wait(limits, true, start);
    EXPECT_GT(wait, limits.m_lateReportWait);
    EXPECT_LT(wait + Milliseconds{500}, limits.m_reportMaxAge);
}
