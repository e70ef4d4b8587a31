#include "burdockspur/port/httpworkerport.hpp"

#include "httpstub.hpp"

#include <gtest/gtest.h>

#include <array>

using namespace Burdockspur;

namespace
{
constexpr Milliseconds longTimeout{60'000};

class HttpWorkerPortTest : public testing::Test
{
protected:
    auto renew() -> Result<LeaseReport>
    {
        return HttpStub::await<Result<LeaseReport>>([this](auto callback) {
            m_port.renew(m_stub.endpoint(), {2, 9, "e1", Milliseconds(15'000), {{"j/1", 3}}, m_answeredReport}, longTimeout, std::move(callback));
        });
    }

    auto start() -> StartResult
    {
        const JobSpec spec{JobKind::Watcher, "caller", "feed", "team", {500, 64, 1}, 0, false, "p\"1"};
        return HttpStub::await<StartResult>([&](auto callback) {
            m_port.start(m_stub.endpoint(), {2, 9, {"j/1", 3}, spec, "c1"}, longTimeout, std::move(callback));
        });
    }

    auto stop() -> Result<AttemptReport>
    {
        return HttpStub::await<Result<AttemptReport>>([this](auto callback) {
            m_port.stop(m_stub.endpoint(), {2, 9, {"j/1", 3}}, longTimeout, std::move(callback));
        });
    }

    auto checkpoint() -> Result<AttemptReport>
    {
        return HttpStub::await<Result<AttemptReport>>([this](auto callback) {
            m_port.checkpoint(m_stub.endpoint(), {2, 9, {"j/1", 3}}, longTimeout, std::move(callback));
        });
    }

    auto lastRequest() -> std::string
    {
        const auto &request = m_stub.requests().back();
        return request.m_method + " " + request.m_target + " " + request.m_body;
    }

    std::optional<ReportId> m_answeredReport;
    HttpStub m_stub;
    HttpWorkerPort m_port{m_stub.client()};
};
}

// Guards against a lease message that a worker cannot decode.
TEST_F(HttpWorkerPortTest, RenewalSendsTheLeaseAndReadsTheReport)
{
    m_stub.respondWith(200,
                       R"({"epoch":9,"report":12,"granted":true,"tasks":[{"task":"j1","attempt":4,"state":"never_started"},)"
                       R"({"task":"j2","attempt":1,"state":"running","progress":40,"checkpoint":"c","result":"","cpu_millis":7,"memory_mb":8}],)"
                       R"("usage":{"cpu_millis":70,"memory_mb":80,"lag_ms":900},"leaving":true})");
    const auto report = renew();
    ASSERT_TRUE(report) << report.error().m_message;
    EXPECT_EQ(lastRequest(), R"(PUT /v1/leases/2 {"acknowledged":[{"attempt":3,"task":"j/1"}],"epoch":9,"owner":"e1","ttl_ms":15000})");
    EXPECT_EQ(report->m_epoch, 9U);
    EXPECT_EQ(report->m_report.m_number, 12U);
    EXPECT_TRUE(report->m_granted);
    EXPECT_TRUE(report->m_leaving);
    EXPECT_EQ(report->m_usage, (Resources{70, 80, 0}));
    EXPECT_EQ(report->m_usageLag, Milliseconds(900));
    ASSERT_EQ(report->m_attempts.size(), 2U);
    EXPECT_EQ(report->m_attempts[0].m_state, AttemptState::NeverStarted);
    EXPECT_EQ(report->m_attempts[1].m_progressPercent, 40);
    EXPECT_EQ(report->m_attempts[1].m_usage, (Resources{7, 8, 0}));
    m_answeredReport = {"i1", 12};
    ASSERT_TRUE(renew());
    EXPECT_NE(lastRequest().find(R"("answers":{"incarnation":"i1","report":12})"), std::string::npos);
    // Without the number of the report, the owner cannot determine how long the worker's lease lasts.
    m_stub.respondWith(200, R"({"epoch":9,"tasks":[],"usage":{"cpu_millis":0,"memory_mb":0,"lag_ms":0},"leaving":false})");
    EXPECT_EQ(renew().error().m_code, ErrorCode::AnswerCorrupt);
}

// Guards against an owner that continues after it was fenced.
TEST_F(HttpWorkerPortTest, StaleEpochHasItsOwnError)
{
    m_stub.respondWith(409, R"({"code":"stale_epoch"})");
    EXPECT_EQ(renew().error().m_code, ErrorCode::StaleEpoch);
    EXPECT_EQ(start().m_status, StartResult::Status::Fenced);
    EXPECT_EQ(stop().error().m_code, ErrorCode::StaleEpoch);
    EXPECT_EQ(checkpoint().error().m_code, ErrorCode::StaleEpoch);
}

// Guards against a start that counts as refused although it may have happened.
TEST_F(HttpWorkerPortTest, StartIsRefusedOnlyByACodeOfTheWorker)
{
    struct Case {
        int m_status;
        std::string_view m_body;
        StartResult::Status m_expected;
    };
    using Status = StartResult::Status;
    constexpr std::array<Case, 9> cases{{
        {201, "{}", Status::Started},
        {200, "{}", Status::Started},
        {507, R"({"code":"no_capacity"})", Status::Refused},
        {503, R"({"code":"leaving"})", Status::Refused},
        {409, R"({"code":"superseded"})", Status::Refused},
        {409, R"({"code":"tombstoned"})", Status::Refused},
        {409, R"({"code":"no_lease"})", Status::Refused},
        {500, "garbage", Status::Unknown},
        {409, R"({"code":"something_new"})", Status::Unknown},
    }};
    for (const auto &[status, body, expected] : cases) {
        m_stub.respondWith(status, body);
        EXPECT_EQ(start().m_status, expected) << status << " " << body;
    }
    EXPECT_EQ(lastRequest(),
              R"(PUT /v1/tasks/j%2F1/attempts/3 {"accelerators":1,"checkpoint":"c1","class":"feed","cpu_millis":500,"duration_ms":0,"epoch":9,)"
              R"("kind":"watcher","memory_mb":64,"payload":"p\"1","shard":2})");
    m_stub.respondWith([](const HttpRequest &) {
        return std::nullopt;
    });
    EXPECT_EQ(start().m_status, Status::Unknown);
}

// Guards against an attempt that counts as ended although the worker reports it as running.
TEST_F(HttpWorkerPortTest, StopReportsAnEndedAttempt)
{
    m_stub.respondWith(200, R"({"state":"stopped","checkpoint":"c7","result":""})");
    const auto report = stop();
    ASSERT_TRUE(report) << report.error().m_message;
    EXPECT_EQ(lastRequest(), "DELETE /v1/tasks/j%2F1/attempts/3?shard=2&epoch=9 ");
    EXPECT_EQ(report->m_attempt, (AttemptId{"j/1", 3}));
    EXPECT_EQ(report->m_state, AttemptState::Stopped);
    EXPECT_EQ(report->m_checkpoint, "c7");
    m_stub.respondWith(200, R"({"state":"running"})");
    EXPECT_EQ(stop().error().m_code, ErrorCode::AnswerCorrupt);
    m_stub.respondWith(200, "{");
    EXPECT_EQ(stop().error().m_code, ErrorCode::AnswerCorrupt);
}

// Guards against an eviction that continues without the name of the checkpoint.
TEST_F(HttpWorkerPortTest, CheckpointNeedsAName)
{
    m_stub.respondWith(200, R"({"checkpoint":"c7"})");
    EXPECT_EQ(checkpoint().value().m_checkpoint, "c7");
    EXPECT_EQ(lastRequest(), R"(POST /v1/tasks/j%2F1/attempts/3/checkpoint {"epoch":9,"shard":2})");
    m_stub.respondWith(200, "{}");
    EXPECT_EQ(checkpoint().error().m_code, ErrorCode::AnswerCorrupt);
}

// Guards against a throttle that sends no share.
TEST_F(HttpWorkerPortTest, ThrottleSendsTheShare)
{
    m_stub.respondWith(200, "{}");
    const auto done = HttpStub::await<Result<void>>([this](auto callback) {
        m_port.throttle(m_stub.endpoint(), {2, 9, {"j/1", 3}}, 25, longTimeout, std::move(callback));
    });
    EXPECT_TRUE(done);
    EXPECT_EQ(lastRequest(), R"(POST /v1/tasks/j%2F1/attempts/3/throttle {"epoch":9,"shard":2,"share_percent":25})");
}
