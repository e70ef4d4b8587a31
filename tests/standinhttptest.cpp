#include "standins/jsontext.hpp"
#include "standins/platformduty.hpp"
#include "standins/workersduty.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/link/httpclient.hpp"
#include "linktesting.hpp"
#include "standintesting.hpp"

#include <gtest/gtest.h>
#include <QJsonArray>

using namespace Burdockspur;
using namespace Burdockspur::Standins;
using namespace Burdockspur::Testing;
using namespace std::chrono_literals;

namespace
{
/// Timeout of calls that must not be answered; long enough for an answer that a broken fault would let through.
constexpr auto shortTimeout = 300ms;
constexpr auto longTimeout = 60s;

class StandinHttpTest : public testing::Test
{
protected:
    StandinHttpTest()
        : m_ready(8)
        , m_client(HttpClientLimits{})
    {
        requireApplication();
    }

    auto send(std::uint16_t port, HttpRequest request, Duration timeout, std::optional<HttpReply> &reply) -> void
    {
        m_client.call({"127.0.0.1", port}, std::move(request), timeout, [&reply](HttpReply &&received) {
            reply = std::move(received);
        });
    }

    auto call(std::uint16_t port, HttpRequest request, Duration timeout = longTimeout) -> HttpReply
    {
        std::optional<HttpReply> reply;
        send(port, std::move(request), timeout, reply);
        waitUntil([&reply] {
            return reply.has_value();
        });
        return std::move(*reply);
    }

    /// Repeats a call until it is answered, for a port that is about to open.
    auto callUntilAnswered(std::uint16_t port, const HttpRequest &request) -> HttpResponse
    {
        while (true) {
            if (auto reply = call(port, request)) {
                return std::move(*reply);
            }
        }
    }

    auto expectStatus(std::uint16_t port, HttpRequest request, int status, std::string_view code = {}) -> QJsonObject
    {
        const auto reply = call(port, std::move(request));
        EXPECT_TRUE(reply) << reply.error().m_error.m_message;
        const auto response = reply.value_or(HttpResponse{});
        EXPECT_EQ(response.m_status, status) << response.m_body;
        const auto object = parseObject(response.m_body).value_or(QJsonObject{});
        EXPECT_EQ(textMember(object, QLatin1String("code")), code);
        return object;
    }

    auto switchFault(std::uint16_t port, std::string_view fault) -> void
    {
        expectStatus(port, {"PUT", "/standin/faults", {}, std::string(fault)}, 200);
    }

    [[nodiscard]] auto count(std::uint16_t port, std::string_view name) -> qint64
    {
        return expectStatus(port, get("/standin/counts"), 200).value(jsonString(name)).toInteger(-1);
    }

    [[nodiscard]] static auto get(std::string_view target) -> HttpRequest
    {
        return {"GET", std::string(target), {}, {}};
    }

    ReadyRing m_ready;
    HttpClient m_client;
};

class StandinWorkerHttpTest : public StandinHttpTest
{
protected:
    StandinWorkerHttpTest()
        : m_duty(twoWorkers(), m_ready)
    {
        const auto ports = startAndReadPorts(m_duty, m_ready);
        m_worker = ports.at(0);
        m_control = ports.at(2);
    }

    [[nodiscard]] static auto twoWorkers() -> WorkersOptions
    {
        WorkersOptions options;
        options.m_workers = 2;
        options.m_spec.m_name = "w";
        return options;
    }

    /// Switches a fault of the first worker through the control port, which stays open under all faults.
    auto switchWorkerFault(std::string_view fault) -> void
    {
        expectStatus(m_control, {"PUT", "/standin/faults?worker=w0", {}, std::string(fault)}, 200);
    }

    [[nodiscard]] static auto request(std::string_view id, std::string_view serviceTimeUs = "0") -> HttpRequest
    {
        return {"POST",
                "/v1/services/routes/requests",
                {{"Burdockspur-Request-Id", std::string(id)}, {"Burdockspur-Service-Time-Us", std::string(serviceTimeUs)}},
                "stop 12"};
    }

    [[nodiscard]] static auto settle(std::string_view id) -> HttpRequest
    {
        return {"POST", "/v1/requests/" + percentEncoded(id) + "/settle", {}, {}};
    }

    [[nodiscard]] static auto lease(std::string_view acknowledged = "", std::string_view answers = "") -> HttpRequest
    {
        return {"PUT",
                "/v1/leases/0",
                {},
                R"({"epoch":4,"owner":"e1","ttl_ms":600000,"acknowledged":[)" + std::string(acknowledged) + "]" + std::string(answers) + "}"};
    }

    /// @brief Obtains a lease by answering a report of the worker.
    auto obtainLease() -> void
    {
        const auto first = callUntilAnswered(m_worker, lease());
        const auto report = parseObject(first.m_body).value_or(QJsonObject{}).value(QLatin1String("report")).toInteger();
        const std::string incarnation(first.field("Burdockspur-Incarnation"));
        const auto answer = R"(,"answers":{"incarnation":")" + incarnation + R"(","report":)" + std::to_string(report) + "}";
        const auto second = expectStatus(m_worker, lease("", answer), 200);
        EXPECT_TRUE(second.value(QLatin1String("granted")).toBool());
        EXPECT_EQ(second.value(QLatin1String("report")).toInteger(), report + 1);
    }

    [[nodiscard]] static auto start(std::string_view task, std::string_view kind) -> HttpRequest
    {
        return {
            "PUT",
            "/v1/tasks/" + std::string(task) + "/attempts/1",
            {},
            R"({"shard":0,"epoch":4,"class":"render","cpu_millis":9000,"memory_mb":1,"accelerators":0,"duration_ms":1,"checkpoint":"","payload":"sky","kind":")"
                + std::string(kind) + "\"}"};
    }

    [[nodiscard]] auto reportedState(std::string_view task) -> std::string
    {
        for (const auto &value : expectStatus(m_worker, lease(), 200).value(QLatin1String("tasks")).toArray()) {
            if (textMember(value.toObject(), QLatin1String("task")) == task) {
                return textMember(value.toObject(), QLatin1String("state"));
            }
        }
        return {};
    }

    auto expectSettled(std::string_view id, std::string_view state) -> void
    {
        EXPECT_EQ(textMember(expectStatus(m_worker, settle(id), 200), QLatin1String("state")), state);
    }

    WorkersDuty m_duty;
    std::uint16_t m_worker = 0;
    std::uint16_t m_control = 0;
};

class StandinPlatformHttpTest : public StandinHttpTest
{
protected:
    StandinPlatformHttpTest()
        : m_duty({}, m_ready)
    {
        m_port = startAndReadPorts(m_duty, m_ready).at(0);
    }

    [[nodiscard]] static auto write(std::string_view key, int version) -> HttpRequest
    {
        const std::string name(key);
        return {"POST",
                "/v1/transactions",
                {},
                R"({"conditions":[{"key":")" + name + R"(","version":)" + std::to_string(version) + R"(}],"puts":[{"key":")" + name
                    + R"(","value":"v"}],"deletes":[]})"};
    }

    PlatformDuty m_duty;
    std::uint16_t m_port = 0;
};
}

// Guards against answers without a checksum or without the request id of the caller.
TEST_F(StandinWorkerHttpTest, RequestsAreAnsweredWithIdAndChecksum)
{
    for (const std::string_view time : {"0", "3000"}) {
        const auto reply = call(m_worker, request(time, time));
        ASSERT_TRUE(reply) << reply.error().m_error.m_message;
        EXPECT_EQ(reply->m_body, "routes:" + hexOf(hashOf("stop 12")) + ":stop 12");
        EXPECT_EQ(reply->field("Burdockspur-Request-Id"), time);
        EXPECT_EQ(reply->field("Burdockspur-Checksum"), hexOf(hashOf(reply->m_body)));
        expectSettled(time, "answered");
    }
    expectSettled("never/sent", "never_started");
    expectStatus(m_worker, request("never/sent"), 503, "tombstoned");
    expectStatus(m_worker, {"POST", "/v1/services/routes/requests", {}, {}}, 400, "bad_request");
    expectStatus(m_worker, get("/v1/unknown"), 404, "unknown_route");
}

// Guards against status codes and JSON members of task calls that differ from the protocol.
TEST_F(StandinWorkerHttpTest, TasksFollowTheProtocol)
{
    const std::string shardAndEpoch = R"({"shard":0,"epoch":4,"share_percent":50})";
    const std::string attempt = "/v1/tasks/t1/attempts/1";
    expectStatus(m_worker, start("t1", "watcher"), 409, "no_lease");
    EXPECT_EQ(expectStatus(m_worker, lease(), 200).value(QLatin1String("epoch")).toInteger(), 4);
    expectStatus(m_worker, start("t1", "watcher"), 409, "no_lease");
    expectStatus(m_worker, lease("", R"(,"answers":{"report":-1})"), 400, "bad_request");
    obtainLease();
    expectStatus(m_worker, start("t1", "watcher"), 201);
    expectStatus(m_worker, start("t1", "watcher"), 200);
    expectStatus(m_worker, start("t2", "watcher"), 507, "no_capacity");
    expectStatus(m_worker, start("t2", "service"), 400, "bad_request");
    EXPECT_EQ(textMember(expectStatus(m_worker, {"POST", attempt + "/checkpoint", {}, shardAndEpoch}, 200), QLatin1String("checkpoint")), "t1-1-0");
    expectStatus(m_worker, {"POST", attempt + "/throttle", {}, shardAndEpoch}, 200);
    expectStatus(m_worker, {"DELETE", attempt + "?shard=0&epoch=3", {}, {}}, 409, "stale_epoch");
    EXPECT_EQ(textMember(expectStatus(m_worker, {"DELETE", attempt + "?shard=0&epoch=4", {}, {}}, 200), QLatin1String("state")), "stopped");
    EXPECT_EQ(reportedState("t1"), "stopped");
    EXPECT_TRUE(expectStatus(m_worker, lease(R"({"task":"t1","attempt":1})"), 200).value(QLatin1String("tasks")).toArray().isEmpty());
    EXPECT_EQ(count(m_worker, "stops"), 1);
    const auto journal = expectStatus(m_worker, get("/standin/journal?after=1"), 200).value(QLatin1String("entries")).toArray();
    ASSERT_EQ(journal.size(), 1);
    EXPECT_EQ(textMember(journal[0].toObject(), QLatin1String("event")), "task_ended");
}

// Guards against a paused worker that answers or executes calls, and against calls that are lost during a pause.
TEST_F(StandinWorkerHttpTest, PauseHoldsCallsUntilItEnds)
{
    switchWorkerFault(R"({"name":"pause","value":true})");
    const auto late = call(m_worker, request("r1"), shortTimeout);
    ASSERT_FALSE(late);
    EXPECT_TRUE(late.error().m_sent);
    std::optional<HttpReply> held;
    send(m_worker, request("r2"), longTimeout, held);
    EXPECT_EQ(count(m_worker, "requests"), 0);
    switchWorkerFault(R"({"name":"pause","value":false})");
    waitUntil([&held] {
        return held.has_value();
    });
    EXPECT_TRUE(*held);
    expectSettled("r1", "answered");
}

// Guards against silenced connections that are answered again, and new connections that are not answered.
TEST_F(StandinWorkerHttpTest, OnlyExistingConnectionsAreSilenced)
{
    expectStatus(m_worker, lease(), 200);
    switchWorkerFault(R"({"name":"silence_connections","value":true})");
    EXPECT_FALSE(call(m_worker, lease(), shortTimeout));
    expectStatus(m_worker, lease(), 200);
}

// Guards against a crash that keeps the state or the incarnation, or reopens another port.
TEST_F(StandinWorkerHttpTest, CrashDropsStateAndKeepsThePort)
{
    const auto first = callUntilAnswered(m_worker, request("r1"));
    switchWorkerFault(R"({"name":"crash","value":20})");
    const auto second = callUntilAnswered(m_worker, settle("r1"));
    EXPECT_NE(second.m_body.find("never_started"), std::string::npos);
    EXPECT_FALSE(first.field("Burdockspur-Incarnation").empty());
    EXPECT_FALSE(second.field("Burdockspur-Incarnation").empty());
    EXPECT_NE(first.field("Burdockspur-Incarnation"), second.field("Burdockspur-Incarnation"));
    EXPECT_EQ(count(m_worker, "crashes"), 1);
    EXPECT_EQ(count(m_worker, "requests"), 1);
}

// Guards against an incarnation that changes without a restart, or is missing in refusals or other answers.
TEST_F(StandinWorkerHttpTest, EveryResponseHasTheSameIncarnation)
{
    const auto incarnation = std::string(callUntilAnswered(m_worker, lease()).field("Burdockspur-Incarnation"));
    EXPECT_FALSE(incarnation.empty());
    switchWorkerFault(R"({"name":"leaving","value":true})");
    const auto refused = callUntilAnswered(m_worker, request("r1"));
    EXPECT_EQ(refused.m_status, 503);
    EXPECT_EQ(refused.field("Burdockspur-Incarnation"), incarnation);
    switchWorkerFault(R"({"name":"refuse_connections","value":true})");
    switchWorkerFault(R"({"name":"refuse_connections","value":false})");
    EXPECT_EQ(callUntilAnswered(m_worker, settle("r1")).field("Burdockspur-Incarnation"), incarnation);
}

// Guards against a port that still answers when it should be closed, and against loss of state.
TEST_F(StandinWorkerHttpTest, RefusedConnectionsKeepState)
{
    ASSERT_TRUE(call(m_worker, request("r1")));
    switchWorkerFault(R"({"name":"refuse_connections","value":true})");
    EXPECT_FALSE(call(m_worker, settle("r1")));
    EXPECT_FALSE(call(m_worker, settle("r1")));
    switchWorkerFault(R"({"name":"refuse_connections","value":false})");
    EXPECT_NE(callUntilAnswered(m_worker, settle("r1")).m_body.find("answered"), std::string::npos);
}

// Guards against calls that have no effect when their answer is dropped, connections that stay open, and more
// drops than configured.
TEST_F(StandinWorkerHttpTest, LostAnswersTakeEffect)
{
    switchWorkerFault(R"({"name":"lose_answers","value":1,"count":1,"match":"/v1/services/"})");
    expectStatus(m_worker, lease(), 200);
    const auto lost = call(m_worker, request("r1"));
    ASSERT_FALSE(lost);
    EXPECT_TRUE(lost.error().m_sent);
    EXPECT_EQ(lost.error().m_error.m_code, ErrorCode::ConnectionClosed);
    expectSettled("r1", "answered");
    ASSERT_TRUE(call(m_worker, request("r1")));
    EXPECT_EQ(count(m_worker, "answers_lost"), 1);
    EXPECT_EQ(count(m_worker, "requests"), 1);
}

// Guards against faults of the worker model that the server does not pass on to it.
TEST_F(StandinWorkerHttpTest, ModelFaultsAreSwitched)
{
    switchWorkerFault(R"({"name":"fail_requests","value":1,"count":1})");
    expectStatus(m_worker, request("r1"), 500, "execution_failed");
    switchWorkerFault(R"({"name":"usage_lag_ms","value":250})");
    EXPECT_EQ(expectStatus(m_worker, lease(), 200).value(QLatin1String("usage")).toObject().value(QLatin1String("lag_ms")).toInteger(), 250);
    obtainLease();
    switchWorkerFault(R"({"name":"fail_all_tasks","value":true})");
    expectStatus(m_worker, start("t1", "watcher"), 201);
    EXPECT_EQ(reportedState("t1"), "failed");
    switchWorkerFault(R"({"name":"fail_all_tasks","value":false})");
    switchWorkerFault(R"({"name":"duration_factor","value":1000000})");
    expectStatus(m_worker, start("t2", "batch"), 201);
    EXPECT_EQ(reportedState("t2"), "running");
    switchWorkerFault(R"({"name":"leaving","value":true})");
    expectStatus(m_worker, start("t3", "batch"), 503, "leaving");
    expectStatus(m_worker, request("r2"), 503, "leaving");
    EXPECT_TRUE(expectStatus(m_worker, lease(), 200).value(QLatin1String("leaving")).toBool());
}

// Guards against `slow` and `noise` without effect. Checks only lower bounds, because a busy machine adds time.
TEST_F(StandinWorkerHttpTest, SlowAndNoisyWorkersTakeLonger)
{
    obtainLease();
    expectStatus(m_worker, start("t1", "batch"), 201);
    switchWorkerFault(R"({"name":"slow","value":50})");
    auto begin = Clock::now();
    expectStatus(m_worker, lease(), 200);
    EXPECT_GE(Clock::now() - begin, 50ms);
    begin = Clock::now();
    ASSERT_TRUE(call(m_worker, request("r1")));
    EXPECT_GE(Clock::now() - begin, 50ms);
    switchWorkerFault(R"({"name":"slow","value":0})");
    switchWorkerFault(R"({"name":"duration_factor","value":1000000})");
    expectStatus(m_worker, lease(R"({"task":"t1","attempt":1})"), 200);
    expectStatus(m_worker, start("t2", "batch"), 201);
    switchWorkerFault(R"({"name":"noise","value":10,"match":"render"})");
    begin = Clock::now();
    ASSERT_TRUE(call(m_worker, request("r2", "5000")));
    EXPECT_GE(Clock::now() - begin, 50ms);
}

// Guards against control calls that reach the wrong worker, or none without reporting an error.
TEST_F(StandinWorkerHttpTest, ControlPortReachesOneOrAllWorkers)
{
    switchFault(m_control, R"({"name":"leaving","value":true})");
    switchWorkerFault(R"({"name":"leaving","value":false})");
    const auto faults = expectStatus(m_control, get("/standin/faults"), 200);
    const auto valueOf = [&faults](QLatin1String worker) {
        return faults.value(worker).toObject().value(QLatin1String("leaving")).toObject().value(QLatin1String("value")).toDouble(-1);
    };
    EXPECT_EQ(valueOf(QLatin1String("w0")), 0);
    EXPECT_EQ(valueOf(QLatin1String("w1")), 1);
    expectStatus(m_control, get("/standin/counts?worker=w2"), 404, "unknown_worker");
    expectStatus(m_control, {"PUT", "/standin/faults", {}, R"({"name":"rain","value":1})"}, 400, "bad_request");
    expectStatus(m_control, {"PUT", "/standin/faults", {}, R"({"name":"pause"})"}, 400, "bad_request");
}

// Guards against status codes and JSON members of platform calls that differ from the protocol.
TEST_F(StandinPlatformHttpTest, ServicesFollowTheProtocol)
{
    const auto versions = expectStatus(m_port, write("a/1", 0), 200).value(QLatin1String("versions")).toArray();
    EXPECT_EQ(versions.at(0).toObject().value(QLatin1String("version")).toInteger(), 1);
    const auto conflict = expectStatus(m_port, write("a/1", 0), 409, "conflict").value(QLatin1String("conflicts")).toArray();
    EXPECT_EQ(textMember(conflict.at(0).toObject(), QLatin1String("value")), "v");
    EXPECT_EQ(textMember(expectStatus(m_port, get("/v1/rows/a%2F1"), 200), QLatin1String("value")), "v");
    EXPECT_EQ(expectStatus(m_port, get("/v1/rows?prefix=a%2F&after=&limit=1"), 200).value(QLatin1String("rows")).toArray().size(), 1);
    expectStatus(m_port, get("/v1/rows/b"), 404, "unknown_row");
    const std::string bytes("\0\xFF bytes", 8);
    expectStatus(m_port, {"PUT", "/v1/objects/shard-0-1", {}, bytes}, 200);
    EXPECT_EQ(call(m_port, get("/v1/objects/shard-0-1"))->m_body, bytes);
    expectStatus(m_port, {"DELETE", "/v1/objects/shard-0-1", {}, {}}, 200);
    expectStatus(m_port, get("/v1/objects/shard-0-1"), 404, "unknown_object");
    EXPECT_EQ(count(m_port, "conflicts"), 1);
}

// Guards against table faults without effect, and a table outage that affects other services.
TEST_F(StandinPlatformHttpTest, TableFaults)
{
    switchFault(m_port, R"({"name":"table_outage","value":true})");
    expectStatus(m_port, write("a", 0), 503, "unavailable");
    expectStatus(m_port, {"PUT", "/v1/objects/o", {}, "x"}, 200);
    switchFault(m_port, R"({"name":"table_outage","value":false})");
    switchFault(m_port, R"({"name":"table_silent","value":true})");
    EXPECT_FALSE(call(m_port, write("a", 0), shortTimeout));
    switchFault(m_port, R"({"name":"table_silent","value":false})");
    expectStatus(m_port, get("/v1/rows/a"), 404, "unknown_row");
    switchFault(m_port, R"({"name":"lose_write_answers","value":1,"match":"a"})");
    expectStatus(m_port, write("b", 0), 200);
    const auto lost = call(m_port, write("a", 0));
    ASSERT_FALSE(lost);
    EXPECT_TRUE(lost.error().m_sent);
    expectStatus(m_port, get("/v1/rows/a"), 200);
    EXPECT_EQ(count(m_port, "answers_lost"), 1);
    switchFault(m_port, R"({"name":"table_slow_ms","value":50})");
    const auto begin = Clock::now();
    expectStatus(m_port, get("/v1/rows/a"), 200);
    EXPECT_GE(Clock::now() - begin, 50ms);
}

// Guards against rate limits without effect, and limits that the table and the object store do not share.
TEST_F(StandinPlatformHttpTest, RatesAreLimited)
{
    switchFault(m_port, R"({"name":"writes_per_s","value":0.0001})");
    expectStatus(m_port, write("a", 0), 200);
    expectStatus(m_port, write("b", 0), 429, "rate_limited");
    expectStatus(m_port, {"PUT", "/v1/objects/o", {}, "x"}, 429, "rate_limited");
    switchFault(m_port, R"({"name":"reads_per_s","value":0.0001})");
    expectStatus(m_port, get("/v1/rows/a"), 200);
    expectStatus(m_port, get("/v1/rows?prefix="), 429, "rate_limited");
    EXPECT_EQ(count(m_port, "rate_limited"), 3);
}

// Guards against faults of the object store and the host list without effect, and host lists that encoding alters.
TEST_F(StandinPlatformHttpTest, ObjectAndHostFaults)
{
    switchFault(m_port, R"({"name":"object_outage","value":true})");
    expectStatus(m_port, get("/v1/objects/o"), 503, "unavailable");
    switchFault(m_port, R"({"name":"object_outage","value":false})");
    switchFault(m_port, R"({"name":"object_slow_ms","value":50})");
    const auto begin = Clock::now();
    expectStatus(m_port, get("/v1/objects/o"), 404, "unknown_object");
    EXPECT_GE(Clock::now() - begin, 50ms);
    const std::string hosts =
        R"({"generation":1,"hosts":[{"accelerators":1,"address":"127.0.0.1","connections":64,"cpu_millis":2,"memory_mb":3,"name":"e","frame_port":9,"port":8,)"
        R"("rack":"k","region":"r","role":"entry","slots":4,"state":"live","zone":"z"}]})";
    expectStatus(m_port, {"PUT", "/standin/hosts", {}, hosts}, 200);
    EXPECT_EQ(expectStatus(m_port, get("/v1/hosts"), 200), parseObject(hosts).value_or(QJsonObject{}));
    switchFault(m_port, R"({"name":"host_list_lag_ms","value":10000000})");
    expectStatus(m_port, {"PUT", "/standin/hosts/e", {}, R"({"state":"leaving"})"}, 200);
    expectStatus(m_port, {"PUT", "/standin/hosts/x", {}, R"({"state":"leaving"})"}, 404, "unknown_host");
    EXPECT_EQ(expectStatus(m_port, get("/v1/hosts"), 200), parseObject(hosts).value_or(QJsonObject{}));
    switchFault(m_port, R"({"name":"host_list_outage","value":true})");
    expectStatus(m_port, get("/v1/hosts"), 503, "unavailable");
}
