#include "platform/rowstore.hpp"
#include "platform/workercalls.hpp"

#include "httpstub.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace Burdockspur;

namespace
{
constexpr Milliseconds longTimeout{60'000};

class PlatformCallsTest : public testing::Test
{
protected:
    auto commit(const Transaction &transaction) -> CommitResult
    {
        return HttpStub::await<CommitResult>([&](auto callback) {
            m_store.commit(transaction, std::move(callback));
        });
    }

    auto follow() -> Result<RowPage>
    {
        return HttpStub::await<Result<RowPage>>([&](auto callback) {
            m_store.follow("jobs", 530, Milliseconds{800}, std::move(callback));
        });
    }

    template<typename Order>
    auto send(const Order &order) -> WorkerAnswer
    {
        return HttpStub::await<WorkerAnswer>([&](auto callback) {
            m_workers.send(order, std::move(callback));
        });
    }

    auto lastRequest() -> std::string
    {
        const auto &request = m_stub.requests().back();
        return request.m_method + " " + request.m_target + " " + request.m_body;
    }

    auto address() -> WorkerAddress
    {
        return {"i-1", m_stub.endpoint(), 42, 7};
    }

    /// @brief Answers as a worker: a report without a lease with its incarnation, every other order with the given response.
    auto respondAsWorker(std::uint64_t incarnation, int status, std::string_view body) -> void
    {
        m_stub.respondWith([incarnation, status, body = std::string(body)](const HttpRequest &request) {
            const bool isProbe = request.m_target == "/hold" && request.m_body == R"({"fencing_token":7})";
            const auto report = R"({"clock_ms":5,"born":)" + std::to_string(incarnation) + R"(,"running":[],"finished":[]})";
            return isProbe ? jsonResponse(200, report) : jsonResponse(status, body);
        });
    }

    /// @brief Number of requests for a path.
    auto requestCount(std::string_view path) -> std::ptrdiff_t
    {
        return std::ranges::count(m_stub.requests(), path, &HttpRequest::m_target);
    }

    HttpStub m_stub;
    Platform::RowStore m_store{m_stub.client(), m_stub.endpoint(), longTimeout, 65'536};
    Platform::WorkerCalls m_workers{m_stub.client()};
    TaskId m_task{"5c0e7a21d94b36f8", 0, 1, 17};
};
}

// Guards against a conditional write that loses its condition, which would let two owners write.
TEST_F(PlatformCallsTest, SendsAConditionalTransaction)
{
    m_stub.respondWith(200, R"({"ver":412,"now_ms":51230})");
    const auto result = commit({{{"my/p7/owner", 3}}, {{"my/p7/owner", "node-1"}}, {"my/p7/old"}});
    EXPECT_EQ(lastRequest(),
              R"(POST /rows-tx {"expected_rev":[{"table":"my","part":"p7","key":"owner","ver":3}],)"
              R"("writes":[{"table":"my","part":"p7","key":"owner","value":"bm9kZS0x"}],"remove":[{"table":"my","part":"p7","key":"old"}]})");
    EXPECT_EQ(result.m_status, CommitResult::Status::Committed);
    ASSERT_EQ(result.m_rows.size(), 1U);
    EXPECT_EQ(result.m_rows[0].m_version, 412U);
}

// Guards against an unknown outcome that is treated as a refusal: only 4xx and 503 prove that nothing was written.
TEST_F(PlatformCallsTest, DistinguishesRefusedFromUnknown)
{
    struct Case {
        int m_status;
        CommitResult::Status m_expected;
    };
    for (const auto &entry : {Case{412, CommitResult::Status::Conflict},
                              Case{429, CommitResult::Status::NotApplied},
                              Case{503, CommitResult::Status::NotApplied},
                              Case{500, CommitResult::Status::Unknown},
                              Case{502, CommitResult::Status::Unknown}}) {
        m_stub.respondWith(entry.m_status, R"({"rows":[]})");
        EXPECT_EQ(commit({}).m_status, entry.m_expected) << entry.m_status;
    }
    m_stub.respondWith(200, "{}");
    EXPECT_EQ(commit({}).m_status, CommitResult::Status::Unknown);
    m_stub.respondWith([](const HttpRequest &) {
        return std::nullopt;
    });
    EXPECT_EQ(commit({}).m_status, CommitResult::Status::Unknown) << "a lost answer";
    EXPECT_EQ(commit({}).m_status, CommitResult::Status::NotApplied) << "nothing was sent";
}

// Guards against a misread feed: a deleted row would come back, or changes that the store no longer keeps would go unnoticed.
TEST_F(PlatformCallsTest, ReadsTheFeed)
{
    m_stub.respondWith(
        200,
        R"({"rows":[{"table":"jobs","part":"5","key":"a","value":"bm9kZS0x","ver":531},{"table":"jobs","part":"5","key":"b","tombstone":true,"ver":532},)"
        R"({"table":"jobs","part":"5","key":"c","value":"***","ver":533},{"part":7}],"ver":533,"now_ms":1})");
    const auto page = follow();
    EXPECT_EQ(lastRequest(), "GET /rows-feed?table=jobs&after=530&wait_ms=800 ");
    ASSERT_TRUE(page);
    ASSERT_EQ(page->m_rows.size(), 3U);
    EXPECT_EQ(page->m_rows[0].m_row.m_key, "jobs/5/a");
    EXPECT_EQ(page->m_rows[0].m_row.m_value, "node-1");
    EXPECT_TRUE(page->m_rows[1].m_isDeleted);
    EXPECT_EQ(page->m_rows[2].m_row.m_value, "") << "invalid base64";
    EXPECT_EQ(page->m_version, 533U);
    m_stub.respondWith(410, "{}");
    EXPECT_TRUE(follow()->m_isHistoryCompacted);
    m_stub.respondWith(503, "{}");
    EXPECT_FALSE(follow());
    m_stub.respondWith(200, "not json");
    EXPECT_FALSE(follow());
}

// Guards against a cut feed that counts as whole: the platform ends an answer after 500 changes without saying so.
TEST_F(PlatformCallsTest, TakesAFullAnswerOfTheFeedAsCut)
{
    const auto respondWithRows = [this](int count) {
        std::string rows;
        for (int i = 0; i < count; ++i) {
            rows += std::string(i == 0 ? "" : ",") + R"({"table":"jobs","part":"","key":"k","value":"","ver":)" + std::to_string(531 + i) + "}";
        }
        m_stub.respondWith(200, R"({"rows":[)" + rows + R"(],"ver":1030,"now_ms":1})");
    };
    respondWithRows(499);
    EXPECT_FALSE(follow()->m_hasMore);
    respondWithRows(500);
    EXPECT_TRUE(follow()->m_hasMore);
}

// Guards against a page that contains the row after which it should begin.
TEST_F(PlatformCallsTest, ListsAfterARow)
{
    m_stub.respondWith(200, R"({"rows":[{"table":"t","part":"p","key":"a","ver":1},{"table":"t","part":"p","key":"b","ver":2}],"has_more":true,"ver":9})");
    const auto page = HttpStub::await<Result<RowPage>>([&](auto callback) {
        m_store.list("t", "p", "a", 0, std::move(callback));
    });
    EXPECT_EQ(lastRequest(), "GET /rows-get?table=t&part=p&from=a ");
    ASSERT_EQ(page->m_rows.size(), 1U);
    EXPECT_EQ(page->m_rows[0].m_row.m_key, "t/p/b");
    EXPECT_TRUE(page->m_hasMore);
    // The excluded row counts towards the platform's limit.
    const auto limited = HttpStub::await<Result<RowPage>>([&](auto callback) {
        m_store.list("t", "p", "a", 20, std::move(callback));
    });
    EXPECT_TRUE(limited);
    EXPECT_EQ(lastRequest(), "GET /rows-get?table=t&part=p&from=a&limit=21 ");
}

// Guards against orders that lose the fencing token, the worker's id or the lease.
TEST_F(PlatformCallsTest, SendsOrdersToWorkers)
{
    respondAsWorker(42, 200, R"({"clock_ms":482113})");
    const auto started = std::get<StartAnswer>(send(RunStartOrder{address(), m_task, 2, "text", "cp", Milliseconds{486'000}}));
    EXPECT_EQ(lastRequest(),
              R"(POST /run-start {"task":"5c0e7a21d94b36f8.0.1.17","run":2,"fencing_token":7,"spec":"text","deadline_ms":486000,"checkpoint":"cp"})");
    EXPECT_EQ(m_stub.requests().back().field("Target-Instance"), "i-1");
    EXPECT_EQ(started.m_outcome, OrderOutcome::Accepted);
    EXPECT_EQ(started.m_clock, Milliseconds{482'113});
    static_cast<void>(send(RunStopOrder{address(), m_task, 2}));
    EXPECT_EQ(lastRequest(), R"(POST /run-stop {"task":"5c0e7a21d94b36f8.0.1.17","run":2,"fencing_token":7})");
    static_cast<void>(send(RunPaceOrder{address(), m_task, 2, 40}));
    EXPECT_EQ(lastRequest(), R"(POST /pace {"task":"5c0e7a21d94b36f8.0.1.17","run":2,"fencing_token":7,"percent":40})");
}

// Guards against mistaking one refusal for another: the scheduler reacts differently to each reason.
TEST_F(PlatformCallsTest, ReadsEveryRefusal)
{
    struct Case {
        int m_status;
        std::string_view m_body;
        OrderOutcome m_expected;
    };
    for (const auto &entry : {Case{409, R"({"reason":"fence"})", OrderOutcome::Fenced},
                              Case{409, R"({"reason":"old"})", OrderOutcome::Superseded},
                              Case{409, R"({"reason":"late"})", OrderOutcome::Expired},
                              Case{409, R"({"reason":"room"})", OrderOutcome::InsufficientCapacity},
                              Case{409, R"({"reason":"ticket"})", OrderOutcome::NotAdvised},
                              Case{409, "{}", OrderOutcome::Malformed},
                              Case{400, "{}", OrderOutcome::Malformed},
                              Case{421, "{}", OrderOutcome::OtherIncarnation},
                              Case{429, "{}", OrderOutcome::Unhealthy},
                              Case{503, "", OrderOutcome::Unhealthy},
                              Case{500, "", OrderOutcome::NoAnswer}}) {
        respondAsWorker(42, entry.m_status, entry.m_body);
        EXPECT_EQ(std::get<StartAnswer>(send(RunStartOrder{address(), m_task, 2, "", "", Milliseconds{1}})).m_outcome, entry.m_expected)
            << entry.m_status << entry.m_body;
    }
}

// Guards against a report with a malformed row: a run that is missing from the list would be taken for ended.
TEST_F(PlatformCallsTest, ReadsAReportWholeOrNotAtAll)
{
    m_stub.respondWith(200,
                       R"({"clock_ms":482113,"born":42,"running":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41,12]],)"
                       R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",1,"lapsed","cq"]]})");
    const ReportOrder order{address(), 57, Milliseconds{486'000}, Milliseconds{1'000}};
    const auto answer = std::get<ReportAnswer>(send(order));
    EXPECT_EQ(lastRequest(), R"(POST /hold {"fencing_token":7,"ack_cursor":57,"deadline_ms":486000,"wait_ms":1000})");
    ASSERT_EQ(answer.m_outcome, OrderOutcome::Accepted);
    EXPECT_EQ(answer.m_report.m_incarnation, 42U);
    ASSERT_EQ(answer.m_report.m_running.size(), 1U);
    EXPECT_EQ(answer.m_report.m_running[0].m_load, 12);
    ASSERT_EQ(answer.m_report.m_ended.size(), 2U);
    EXPECT_EQ(answer.m_report.m_ended[0].m_cause, RunEnd::Done);
    EXPECT_EQ(answer.m_report.m_ended[1].m_checkpoint, "cq");
    m_stub.respondWith(200, R"({"clock_ms":482113,"born":42,"running":[["unreadable",2,"cp",41]],"finished":[]})");
    EXPECT_EQ(std::get<ReportAnswer>(send(order)).m_outcome, OrderOutcome::Malformed);
    m_stub.respondWith(200, R"({"clock_ms":482113,"running":[],"finished":[]})");
    EXPECT_EQ(std::get<ReportAnswer>(send(order)).m_outcome, OrderOutcome::Malformed);
}

// Guards against a task that runs twice (TWICE): a worker that restarts under its id carried out start orders that were meant for its former
// incarnation, and the owner started the same tasks elsewhere.
TEST_F(PlatformCallsTest, AStartReachesOnlyTheAddressedIncarnation)
{
    respondAsWorker(43, 200, R"({"clock_ms":482113})");
    const RunStartOrder order{address(), m_task, 2, "text", "", Milliseconds{486'000}};
    EXPECT_EQ(std::get<StartAnswer>(send(order)).m_outcome, OrderOutcome::OtherIncarnation);
    EXPECT_EQ(requestCount("/run-start"), 0);
    auto later = order;
    later.m_address.m_incarnation = 43;
    EXPECT_EQ(std::get<StartAnswer>(send(later)).m_outcome, OrderOutcome::Accepted);
    EXPECT_EQ(std::get<StartAnswer>(send(later)).m_outcome, OrderOutcome::Accepted);
    EXPECT_EQ(requestCount("/run-start"), 2);
    EXPECT_EQ(requestCount("/hold"), 1) << "a connection is asked once";
}

// Guards against ends that a restarted worker drops unseen, because a report order acknowledged ends of its former incarnation (TWICE), and
// against a lease by the former incarnation's clock, which is longer than the owner knows.
TEST_F(PlatformCallsTest, AcknowledgementsAndLeasesReachOnlyTheAddressedIncarnation)
{
    respondAsWorker(43, 200, R"({"clock_ms":5,"born":43,"running":[],"finished":[]})");
    for (const auto &order : {ReportOrder{address(), 57, std::nullopt, Milliseconds{0}}, ReportOrder{address(), 0, Milliseconds{486'000}, Milliseconds{0}}}) {
        EXPECT_EQ(std::get<ReportAnswer>(send(order)).m_outcome, OrderOutcome::OtherIncarnation);
    }
    EXPECT_TRUE(std::ranges::all_of(m_stub.requests(), [](const HttpRequest &request) {
        return request.m_body == R"({"fencing_token":7})";
    }));
}

// Guards against a first report order that only the expected incarnation may answer: its answer tells the owner of the restart.
TEST_F(PlatformCallsTest, AnyIncarnationMayReport)
{
    m_stub.respondWith(200, R"({"clock_ms":5,"born":43,"running":[],"finished":[]})");
    const auto answer = std::get<ReportAnswer>(send(ReportOrder{address(), 0, std::nullopt, Milliseconds{100}}));
    ASSERT_EQ(answer.m_outcome, OrderOutcome::Accepted);
    EXPECT_EQ(answer.m_report.m_incarnation, 43U);
    ASSERT_EQ(m_stub.requests().size(), 1U);
}

// Guards against a refusal of the worker that is taken for a lost answer when it comes before the order itself.
TEST_F(PlatformCallsTest, ARefusalBeforeTheOrderCounts)
{
    const RunStartOrder order{address(), m_task, 2, "text", "", Milliseconds{486'000}};
    m_stub.respondWith(409, R"({"clock_ms":5,"reason":"fence"})");
    EXPECT_EQ(std::get<StartAnswer>(send(order)).m_outcome, OrderOutcome::Fenced);
    m_stub.respondWith(421, "{}");
    EXPECT_EQ(std::get<StartAnswer>(send(order)).m_outcome, OrderOutcome::OtherIncarnation);
    m_stub.respondWith(200, "{}");
    EXPECT_EQ(std::get<StartAnswer>(send(order)).m_outcome, OrderOutcome::NoAnswer) << "the worker did not tell its incarnation";
    EXPECT_EQ(requestCount("/run-start"), 0);
}
