#include "burdockspur/fleet/reportpacing.hpp"
#include "burdockspur/fleet/fleetlimits.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
const FleetLimits limits;
const TimePoint start = TimePoint{} + std::chrono::hours(1);

/// @brief Report pacing after one report that was this late at `start`.
[[nodiscard]] auto pacingAfterLateReport(Milliseconds late) -> ReportPacing
{
    ReportPacing pacing;
    pacing.recordReport(start - late, start);
    return pacing;
}
}

// Guards against reports that become less frequent although the owner processes them in time.
TEST(ReportPacingTest, AnOwnerThatKeepsUpUsesTheUsualWait)
{
    EXPECT_EQ(ReportPacing{}.wait(limits, false, start), limits.m_reportWait);
    EXPECT_EQ(pacingAfterLateReport(Milliseconds{15}).wait(limits, false, start), limits.m_reportWait);
}

// Guards against a small owner that spends its processor on unchanged reports while its other inputs queue up.
TEST(ReportPacingTest, ALateOwnerUsesALongerWaitWithinTheBound)
{
    const auto wait = pacingAfterLateReport(Milliseconds{70}).wait(limits, false, start);
    EXPECT_GT(wait, limits.m_reportWait);
    EXPECT_LT(wait, limits.m_lateReportWait);
    EXPECT_EQ(pacingAfterLateReport(Milliseconds{900}).wait(limits, false, start), limits.m_lateReportWait);
}

// Guards against an owner that requests reports less often long after a single slow round.
TEST(ReportPacingTest, ReturnsToTheUsualWait)
{
    auto pacing = pacingAfterLateReport(Milliseconds{200});
    pacing.recordReport(start + Milliseconds{3'000}, start + Milliseconds{3'001});
    EXPECT_EQ(pacing.wait(limits, false, start + Milliseconds{3'001}), limits.m_reportWait);
}

// Guards against a wait so long that an idle worker's report gets too old for the worker to receive tasks.
TEST(ReportPacingTest, AnIdleWorkerReportsBeforeItsLastReportIsTooOld)
{
    const auto wait = pacingAfterLateReport(Milliseconds{200}).wait(limits, true, start);
    EXPECT_GT(wait, limits.m_lateReportWait);
    EXPECT_LT(wait + Milliseconds{500}, limits.m_reportMaxAge);
}
