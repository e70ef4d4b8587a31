#include "burdockspur/operations/burnmeter.hpp"
#include "burdockspur/impl/burncodec.hpp"
#include "burdockspur/impl/jsonreader.hpp"
#include "burdockspur/operations/burnpage.hpp"

#include <QJsonArray>

#include <gtest/gtest.h>

#include <algorithm>

using namespace Burdockspur;
using namespace std::chrono_literals;

namespace
{
class BurnMeterTest : public testing::Test
{
protected:
    BurnMeterTest()
    {
        Configuration configuration;
        configuration.m_presetInForce = "peak";
        ServiceDefinition service;
        service.m_name = "check";
        service.m_latencyTargetMs = 50;
        service.m_objectivePercent = 99.0;
        configuration.m_services.push_back(service);
        m_meter.setConfiguration(configuration);
    }

    auto record(Outcome outcome, Duration elapsed, ErrorCode code = ErrorCode::Internal, std::string_view worker = "w1") -> void
    {
        RequestAnswer answer;
        answer.m_outcome = outcome;
        answer.m_code = code;
        answer.m_worker = worker;
        m_meter.record("check", answer, elapsed, m_now);
    }

    [[nodiscard]] auto report() const -> BurnReport
    {
        return m_meter.report(m_now, [](std::string_view worker) {
            return worker == "w1" ? std::string("zone-a") : std::string();
        });
    }

    BurnMeter m_meter;
    TimePoint m_now{24h};
};
}

// Guards against a burn rate that counts requests answered in time, or that misses slow or failed ones.
TEST_F(BurnMeterTest, SlowAndFailedRequestsUseUpTheBudget)
{
    for (int i = 0; i < 96; ++i) {
        record(Outcome::Answered, 50ms);
    }
    record(Outcome::Answered, 51ms);
    record(Outcome::Unknown, 10ms, ErrorCode::OutcomeUnknown);
    record(Outcome::Refused, 1ms, ErrorCode::Overloaded, "");
    record(Outcome::Failed, 1ms, ErrorCode::ExecutionFailed, "w2");
    const auto service = report().m_services.front();
    EXPECT_EQ(service.m_long, (BurnCount{.m_requests = 100, .m_slow = 1, .m_failed = 3}));
    EXPECT_NEAR(service.burnRate(service.m_short), 4.0, 1e-9);
    EXPECT_NEAR(service.budgetLeftPercent(), -300.0, 1e-6);
}

// Guards against a burn rate that counts requests that failed by a mistake of the caller.
TEST_F(BurnMeterTest, MistakesOfCallersAreNotCounted)
{
    record(Outcome::Refused, 1ms, ErrorCode::IdempotencyConflict);
    record(Outcome::Refused, 1ms, ErrorCode::UnknownService);
    m_meter.record("unlisted", RequestAnswer(), 1ms, m_now);
    EXPECT_EQ(report().m_services.front().m_long, BurnCount());
    EXPECT_EQ(report().m_services.size(), 1U);
}

// Guards against counts that stay in a window too long, or leave it too early.
TEST_F(BurnMeterTest, WindowsDropOlderCounts)
{
    record(Outcome::Failed, 1ms);
    m_now += 4min;
    EXPECT_EQ(report().m_services.front().m_short.m_failed, 1U);
    m_now += 2min;
    EXPECT_EQ(report().m_services.front().m_short.m_failed, 0U);
    EXPECT_EQ(report().m_services.front().m_long.m_failed, 1U);
    EXPECT_EQ(report().m_services.front().m_periods[53].m_failed, 1U);
    m_now += 55min;
    EXPECT_EQ(report().m_services.front().m_long, BurnCount());
    EXPECT_TRUE(report().m_services.front().m_causes.empty());
}

// Guards against a report that does not name the worker, zone, preset or error code of bad requests.
TEST_F(BurnMeterTest, CausesAreReportedLargestFirst)
{
    record(Outcome::Answered, 60ms);
    record(Outcome::Failed, 1ms, ErrorCode::ExecutionFailed, "w2");
    const auto causes = report().m_services.front().m_causes;
    ASSERT_EQ(causes.size(), 6U);
    EXPECT_EQ(causes.front().m_kind, "preset");
    EXPECT_EQ(causes.front().m_name, "peak");
    EXPECT_EQ(causes.front().m_count.bad(), 2U);
    const auto has = [&causes](std::string_view kind, std::string_view name) {
        return std::ranges::any_of(causes, [&](const BurnCause &cause) {
            return cause.m_kind == kind && cause.m_name == name && cause.m_count.bad() == 1;
        });
    };
    EXPECT_TRUE(has("worker", "w1") && has("worker", "w2") && has("zone", "zone-a") && has("code", "slow") && has("code", "execution_failed"));
}

// Guards against counts that are lost when a report is encoded, or when the reports of two hosts are merged.
TEST_F(BurnMeterTest, ReportsAreDecodedAndMergedWithoutLoss)
{
    record(Outcome::Answered, 60ms);
    record(Outcome::Answered, 1ms);
    auto first = burnFromJson(burnToJson(report()));
    ASSERT_TRUE(first) << first.error().m_message;
    first->merge(report());
    const auto &service = first->m_services.front();
    EXPECT_EQ(service.m_long, (BurnCount{.m_requests = 4, .m_slow = 2, .m_failed = 0}));
    EXPECT_EQ(service.m_causes.front().m_count.bad(), 2U);
    EXPECT_EQ(service.m_periods.size(), 60U);
    EXPECT_NEAR(service.burnRate(service.m_long), 50.0, 1e-9);
}

// Guards against HTML injection by names, and against malformed reports that are shown as zeros.
TEST_F(BurnMeterTest, PageEscapesNamesAndMalformedReportsAreRefused)
{
    BurnReport hostile = report();
    hostile.m_services.front().m_service = "<script>";
    hostile.m_services.front().m_causes.push_back({"worker", "a&b", {.m_requests = 1, .m_slow = 0, .m_failed = 1}});
    const auto page = renderBurnPage(hostile, "<host>");
    EXPECT_EQ(page.find("<script>"), std::string::npos);
    EXPECT_NE(page.find("&lt;script&gt;"), std::string::npos);
    EXPECT_NE(page.find("a&amp;b"), std::string::npos);
    const auto wrong = burnFromJson({{"short_window_ms", "soon"}, {"long_window_ms", 60'000}, {"services", QJsonArray{}}});
    ASSERT_FALSE(wrong);
    EXPECT_NE(wrong.error().m_message.find("short_window_ms"), std::string::npos);
}
