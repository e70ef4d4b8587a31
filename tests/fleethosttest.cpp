#include "burdockspur/fleet/fleethost.hpp"
#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/link/httpclient.hpp"
#include "burdockspur/port/changestore.hpp"
#include "platform/platform.hpp"

#include "linktesting.hpp"
#include "standins/fleetstandin.hpp"

#include <gtest/gtest.h>

#include <QTcpServer>

using namespace Burdockspur;

namespace
{
constexpr std::string_view configuration =
    R"({"version":3,"routes":[{"name":"queue","host":"jobs.example","prefix":"/jobs/","service":"pool","priority":0,"max_attempts":2,)"
    R"("stretch":2.0,"target_duration_ms":300}],"services":[{"name":"pool","enforces_capacity":false}],"limits":{"max_body_bytes":262144}})";
constexpr std::string_view twoSteps = R"({"spec":"text","steps":[{"count":3,"cpu":500,"mem_mb":64,"estimate_ms":100},{"count":2,"cpu":500,"after":[0]}]})";

[[nodiscard]] auto freePort() -> std::uint16_t
{
    Testing::requireApplication();
    QTcpServer server;
    server.listen(QHostAddress::LocalHost, 0);
    return server.serverPort();
}

/// @brief A running entry host and a client of its ports.
class Host
{
public:
    Host(std::string_view name, std::uint16_t storePort, const HostCapacity &capacity = {}, Milliseconds evacuate = Milliseconds{0})
        : m_platform(65'536)
    {
        m_settings.m_evacuate = evacuate;
        m_settings.m_cpuShare = capacity.m_processors;
        m_settings.m_linkMbps = capacity.m_linkMbps;
        const auto endpoint = [](std::uint16_t port) {
            return "127.0.0.1:" + std::to_string(port);
        };
        m_settings.m_hostName = name;
        m_settings.m_zone = "zone-a";
        m_callers = {"127.0.0.1", freePort()};
        m_ready = {"127.0.0.1", freePort()};
        m_settings.m_callersEndpoint = endpoint(m_callers.m_port);
        m_settings.m_readyEndpoint = endpoint(m_ready.m_port);
        m_settings.m_metricsEndpoint = endpoint(freePort());
        m_settings.m_storeEndpoint = endpoint(storePort);
        m_host = std::make_unique<FleetHost>(m_settings, m_platform);
        EXPECT_TRUE(m_host->start());
    }

    [[nodiscard]] auto call(std::string_view method, std::string_view target, std::string_view body = {}) -> HttpReply
    {
        return callEndpoint(m_callers, method, target, body);
    }

    [[nodiscard]] auto isReady() -> bool
    {
        const auto reply = callEndpoint(m_ready, "GET", "/ready", {});
        return reply && reply->m_status == 200;
    }

    auto awaitReady(bool expected) -> void
    {
        while (isReady() != expected) {
            QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
        }
    }

    auto stop() -> void
    {
        m_host.reset();
    }

private:
    auto callEndpoint(const HttpEndpoint &endpoint, std::string_view method, std::string_view target, std::string_view body) -> HttpReply
    {
        HttpRequest request;
        request.m_method = method;
        request.m_target = target;
        request.m_fields.push_back({"Host", "ignored"});
        request.m_body = body;
        std::optional<HttpReply> reply;
        m_client.call(endpoint, std::move(request), std::chrono::seconds(30), [&reply](HttpReply &&received) {
            reply.emplace(std::move(received));
        });
        Testing::waitUntil([&reply] {
            return reply.has_value();
        });
        return std::move(*reply);
    }

    FleetSettings m_settings;
    Platform::TablePlatform m_platform;
    HttpEndpoint m_callers;
    HttpEndpoint m_ready;
    HttpClient m_client{HttpClientLimits{}};
    std::unique_ptr<FleetHost> m_host;
};

class FleetHostTest : public testing::Test
{
protected:
    FleetHostTest()
    {
        // The HTTP client sends the address as the Host field, so the queue uses it too.
        std::string text(configuration);
        const std::string_view advised = R"({"name":"advised","host":"127.0.0.1","prefix":"/advised/","service":"pool","advice":{"decide_ms":5}},)";
        text.insert(text.find('[') + 1, advised);
        text.replace(text.find("jobs.example"), std::string_view("jobs.example").size(), "127.0.0.1");
        m_platform.put("op", "", "config", text);
    }

    static auto awaitState(Host &host, std::string_view target, std::string_view state) -> void
    {
        const auto expected = R"({"state":")" + std::string(state) + R"("})";
        while (true) {
            const auto reply = host.call("GET", target);
            if (reply && reply->m_body == expected) {
                return;
            }
            QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
        }
    }

    /// @brief Reads the owner's row from the store.
    auto readOwner() -> FleetOwnerRow
    {
        std::optional<Result<std::vector<TableRow>>> answer;
        m_store->read(fleetOwnerKey, [&answer](Result<std::vector<TableRow>> &&rows) {
            answer.emplace(std::move(rows));
        });
        Testing::waitUntil([&answer] {
            return answer.has_value();
        });
        return *answer && !(*answer)->empty() ? decodeFleetOwnerRow((*answer)->front().m_value).value_or(FleetOwnerRow{}) : FleetOwnerRow{};
    }

    /// @brief Waits until the final row is the only row of a job.
    auto awaitMove(std::string_view id) -> void
    {
        const auto part = id.substr(0, 1);
        const TimePoint until = Clock::now() + std::chrono::seconds(30);
        while (m_platform.hasRow("jobs", part, id) || m_platform.hasRow("progress", "fleet", id) || !m_platform.hasRow("final", part, id)) {
            ASSERT_LT(Clock::now(), until) << "rows of the ended job " << id << " were not moved";
            QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
        }
    }

    // Must precede the stand-in, whose timers need the application.
    const bool m_hasApplication = (Testing::requireApplication(), true);
    FleetStandin m_platform{2};
    HttpClient m_client{HttpClientLimits{}};
    std::unique_ptr<ChangeStore> m_store =
        Platform::TablePlatform(65'536).makeStore(m_client, HttpEndpoint{"127.0.0.1", m_platform.storePort()}, std::chrono::seconds(5));
};
}

// Guards against failures on the whole path of a job: it must run once, its steps in order, and be reported as completed by every host.
TEST_F(FleetHostTest, RunsAJobOnceThroughAnyHost)
{
    Host first("host-1", m_platform.storePort());
    first.awaitReady(true);
    Host second("host-2", m_platform.storePort());
    second.awaitReady(true);
    const auto submitted = second.call("POST", "/jobs/5c0e7a21d94b36f8", twoSteps);
    ASSERT_TRUE(submitted);
    EXPECT_EQ(submitted->m_status, 200);
    // A repeated submission of the id through another host must not create a second job.
    EXPECT_EQ(first.call("POST", "/jobs/5c0e7a21d94b36f8", twoSteps)->m_status, 200);
    awaitState(first, "/jobs/5c0e7a21d94b36f8", "completed");
    awaitState(second, "/jobs/5c0e7a21d94b36f8", "completed");
    EXPECT_EQ(m_platform.starts().size(), 5U);
    for (const auto &[task, count] : m_platform.starts()) {
        EXPECT_EQ(count, 1) << task;
    }
}

// Guards against a fleet that is no longer scheduled after its owner has stopped.
TEST_F(FleetHostTest, AnotherHostTakesOver)
{
    Host first("host-1", m_platform.storePort());
    first.awaitReady(true);
    Host second("host-2", m_platform.storePort());
    second.awaitReady(true);
    first.stop();
    EXPECT_EQ(second.call("POST", "/jobs/5c0e7a21d94b36f9", twoSteps)->m_status, 200);
    awaitState(second, "/jobs/5c0e7a21d94b36f9", "completed");
}

// Guards against a fleet that keeps a weak owner while a strong host is alive, and against tasks that a hand-over loses or starts twice.
TEST_F(FleetHostTest, AWeakOwnerHandsOverToAStrongHost)
{
    Host small("small", m_platform.storePort(), {0.12, 10});
    small.awaitReady(true);
    while (readOwner().m_host != "small") {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
    }
    Host large("large", m_platform.storePort(), {0.5, 200});
    large.awaitReady(true);
    std::vector<std::string> jobs;
    const TimePoint until = Clock::now() + std::chrono::seconds(20);
    // Jobs arrive before, during and for a second after the hand-over.
    std::optional<TimePoint> handedOverAt;
    while (Clock::now() < until && (!handedOverAt || Clock::now() - *handedOverAt < std::chrono::seconds(1))) {
        const std::string target = "/jobs/5c0e7a21d94b" + std::to_string(1'000 + jobs.size());
        ASSERT_EQ(small.call("POST", target, twoSteps)->m_status, 200);
        jobs.push_back(target);
        const auto owner = readOwner();
        handedOverAt = owner.m_host == "large" && !handedOverAt ? std::optional(Clock::now()) : handedOverAt;
        const TimePoint next = Clock::now() + Milliseconds{100};
        while (Clock::now() < next) {
            QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
        }
    }
    ASSERT_TRUE(handedOverAt) << "the weak host is still the owner";
    for (const auto &job : jobs) {
        awaitState(small, job, "completed");
    }
    EXPECT_EQ(readOwner().m_host, "large");
    EXPECT_EQ(readOwner().m_epoch, 2U) << "one hand-over";
    EXPECT_EQ(m_platform.starts().size(), 5 * jobs.size());
    for (const auto &[task, count] : m_platform.starts()) {
        EXPECT_EQ(count, 1) << task;
    }
}

// Guards against a host that keeps the ownership after a failed takeover, or reclaims it before others can (incident of 2026-12-05).
TEST_F(FleetHostTest, AFailedTakeoverReleasesTheOwnership)
{
    // Longer than the time-out of a call, so no page of the jobs is answered.
    m_platform.delayReads("jobs", Milliseconds{3'000});
    Host host("host-1", m_platform.storePort());
    const auto awaitOwner = [this](auto holds) {
        const TimePoint until = Clock::now() + std::chrono::seconds(20);
        auto owner = readOwner();
        while (!holds(owner) && Clock::now() < until) {
            QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
            owner = readOwner();
        }
        return owner;
    };
    const auto released = awaitOwner([](const FleetOwnerRow &owner) {
        return owner.m_hasFailed;
    });
    const TimePoint releasedAt = Clock::now();
    EXPECT_EQ(released.m_epoch, 1U);
    EXPECT_EQ(released.m_host, "");
    m_platform.delayReads("jobs", Milliseconds{0});
    const auto again = awaitOwner([](const FleetOwnerRow &owner) {
        return owner.m_commit > 0;
    });
    EXPECT_GE(Clock::now() - releasedAt, Milliseconds{2'900}) << "other hosts must be able to claim first";
    EXPECT_EQ(again.m_host, "host-1") << "there is no other host";
    EXPECT_EQ(again.m_epoch, 2U);
    EXPECT_FALSE(again.m_hasFailed);
}

// Guards against a takeover that reports the counts of a dead owner as fresh (MIXED, incident of 2026-12-05).
TEST_F(FleetHostTest, DoesNotAnswerWithTheWaitingJobsOfADeadOwner)
{
    constexpr std::uint32_t waiting = 20;
    const FleetOwnerRow dead{.m_host = "gone", .m_incarnation = "1", .m_epoch = 4, .m_commit = 9, .m_waiting = {{"queue", 1}}, .m_waitingAge = Milliseconds{0}};
    m_platform.put("owner", "fleet", "owner", encodeRow(dead));
    for (std::uint32_t i = 0; i < waiting; ++i) {
        TaskJob job;
        job.m_id = "5c0e7a21d94b36" + std::to_string(10 + i);
        job.m_policy.m_name = "queue";
        // More than any worker has, so that the jobs keep waiting.
        job.m_steps.push_back({.m_count = 1, .m_demand = {.m_cpuMillis = 1'000'000, .m_memoryMb = 64}});
        m_platform.put("jobs", "5", job.m_id, encodeRow(job));
    }
    // The successor is the owner for half a second before it has read the jobs.
    m_platform.delayReads("jobs", Milliseconds{300});
    Host host("host-1", m_platform.storePort());
    host.awaitReady(true);
    std::optional<std::string> answer;
    const TimePoint until = Clock::now() + std::chrono::seconds(20);
    while (answer != R"({"pending":20})" && Clock::now() < until) {
        const auto reply = host.call("GET", "/jobs/");
        ASSERT_TRUE(reply);
        if (reply->m_status == 200) {
            answer = reply->m_body;
            ASSERT_EQ(*answer, R"({"pending":20})");
        }
        QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
    }
    EXPECT_TRUE(answer) << "the counts of the new owner were never reported";
}

// Guards against invalid requests, and requests for unknown queues or jobs, that are answered with a wrong status or stored.
TEST_F(FleetHostTest, RefusesWhatItCannotServe)
{
    Host host("host-1", m_platform.storePort());
    host.awaitReady(true);
    EXPECT_EQ(host.call("GET", "/elsewhere/5c0e7a21d94b36f8")->m_status, 404);
    EXPECT_EQ(host.call("POST", "/advised/5c0e7a21d94b36f8", twoSteps)->m_status, 503) << "must be refused at once, not at its deadline";
    EXPECT_EQ(host.call("GET", "/jobs/5c0e7a21d94b36f8")->m_status, 410);
    EXPECT_EQ(host.call("DELETE", "/jobs/5c0e7a21d94b36f8")->m_status, 410);
    // The counts come with the first commit of the owner.
    while (host.call("GET", "/jobs/")->m_status == 503) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
    }
    EXPECT_EQ(host.call("GET", "/jobs/")->m_body, R"({"pending":0})");
    EXPECT_EQ(host.call("PUT", "/jobs/5c0e7a21d94b36f8")->m_status, 405);
    for (const std::string_view body :
         {"", "[]", "{}", R"({"steps":[]})", R"({"steps":[{"count":"two"}]})", R"({"steps":[{"after":[0]}]})", R"({"steps":7})"}) {
        const auto reply = host.call("POST", "/jobs/5c0e7a21d94b36f8", body);
        EXPECT_EQ(reply->m_status, 400) << body;
        EXPECT_FALSE(reply->m_body.empty());
    }
    EXPECT_EQ(host.call("GET", "/jobs/5c0e7a21d94b36f8")->m_status, 410);
}

// Guards against a host that answers with an outdated configuration, or accepts submissions that it cannot store.
TEST_F(FleetHostTest, IsNotReadyWhileTheStoreIsDown)
{
    Host host("host-1", m_platform.storePort());
    host.awaitReady(true);
    m_platform.setStoreDown(true);
    host.awaitReady(false);
    const auto refused = host.call("POST", "/jobs/5c0e7a21d94b36f8", twoSteps);
    EXPECT_EQ(refused->m_status, 503);
    EXPECT_FALSE(refused->field("Retry-After").empty());
    m_platform.setStoreDown(false);
    host.awaitReady(true);
    EXPECT_EQ(host.call("GET", "/jobs/5c0e7a21d94b36f8")->m_status, 410) << "a refused job was never stored";
}

// Guards against a job that keeps running after its cancellation.
TEST_F(FleetHostTest, CancelsAJob)
{
    Host host("host-1", m_platform.storePort());
    host.awaitReady(true);
    EXPECT_EQ(host.call("POST", "/jobs/5c0e7a21d94b36f8", R"({"steps":[{"count":2,"cpu":500,"long_running":true,"target_ms":50}]})")->m_status, 200);
    awaitState(host, "/jobs/5c0e7a21d94b36f8", "running");
    EXPECT_EQ(host.call("DELETE", "/jobs/5c0e7a21d94b36f8")->m_status, 200);
    awaitState(host, "/jobs/5c0e7a21d94b36f8", "cancelled");
}

// Guards against a job that becomes unknown or runs again (TWICE) after its rows were moved, through any host and after a takeover.
TEST_F(FleetHostTest, AMovedJobStaysKnownAndIsNotRunAgain)
{
    const std::string id = "5c0e7a21d94b36f8";
    const auto target = "/jobs/" + id;
    Host first("host-1", m_platform.storePort());
    first.awaitReady(true);
    Host second("host-2", m_platform.storePort());
    second.awaitReady(true);
    EXPECT_EQ(first.call("POST", target, twoSteps)->m_status, 200);
    awaitState(second, target, "completed");
    awaitMove(id);
    for (auto *const host : {&first, &second}) {
        EXPECT_EQ(host->call("GET", target)->m_body, R"({"state":"completed"})");
        EXPECT_EQ(host->call("POST", target, twoSteps)->m_status, 200);
        EXPECT_EQ(host->call("DELETE", target)->m_status, 200);
    }
    first.stop();
    EXPECT_EQ(second.call("POST", target, twoSteps)->m_status, 200);
    // Once a later job has completed, the new owner has read every row of the first one.
    EXPECT_EQ(second.call("POST", "/jobs/5c0e7a21d94b36f9", twoSteps)->m_status, 200);
    awaitState(second, "/jobs/5c0e7a21d94b36f9", "completed");
    EXPECT_EQ(second.call("GET", target)->m_body, R"({"state":"completed"})");
    EXPECT_EQ(m_platform.starts().size(), 10U);
    for (const auto &[task, count] : m_platform.starts()) {
        EXPECT_EQ(count, 1) << task;
    }
    EXPECT_FALSE(m_platform.hasRow("jobs", "5", id));
}

// Guards against rows of ended jobs that stay in the store when the owner is lost between the end of a job and its move, or between the
// move and the deletion of its progress.
TEST_F(FleetHostTest, ASuccessorCompletesTheMoves)
{
    TaskJob job;
    job.m_id = "5c0e7a21d94b36f8";
    job.m_policy.m_name = "queue";
    job.m_steps.push_back({.m_count = 1, .m_demand = {.m_cpuMillis = 500, .m_memoryMb = 64}});
    const auto ended = encodeRow(JobProgress{JobPhase::Completed, 1, {}});
    m_platform.put("jobs", "5", job.m_id, encodeRow(job));
    m_platform.put("progress", "fleet", job.m_id, ended);
    const std::string moved = "6c0e7a21d94b36f8";
    m_platform.put("final", "6", moved, encodeRow(FinalRow{JobPhase::Completed, {}}));
    m_platform.put("progress", "fleet", moved, ended);
    Host host("host-1", m_platform.storePort());
    host.awaitReady(true);
    awaitMove(job.m_id);
    awaitMove(moved);
    EXPECT_EQ(host.call("GET", "/jobs/" + job.m_id)->m_body, R"({"state":"completed"})");
    EXPECT_EQ(host.call("GET", "/jobs/" + moved)->m_body, R"({"state":"completed"})");
    EXPECT_TRUE(m_platform.starts().empty());
}

// Guards against an odd entry among those of the workers that ends the hosts which read the list, or makes them stop following it, in the
// first listing and in the feed (report of other operators).
TEST_F(FleetHostTest, OddEntriesAmongTheWorkersStopNobody)
{
    const std::string nested = std::string(10'000, '[') + std::string(10'000, ']');
    const std::vector<std::string> values{
        "",
        nested,
        std::string(1'000'000, '['),
        R"({"service":"pool","address":"127.0.0.1:65536","zone":"z","state":"ready","capacity":{"cpu":1},"born":1})",
        R"({"service":"pool","address":"127.0.0.1:1","zone":"z","state":"ready","capacity":{"cpu":1e400},"born":18446744073709551616})",
        R"({"service":{},"address":[],"zone":7,"state":null,"capacity":)" + nested + R"(,"born":-0.5})",
        "\xff\xfe",
    };
    const auto putAll = [&](std::string_view prefix) {
        for (std::size_t i = 0; i < values.size(); ++i) {
            m_platform.put("servers", "", std::string(prefix) + std::to_string(i), values[i]);
        }
    };
    putAll("before-");
    Host host("host-1", m_platform.storePort());
    host.awaitReady(true);
    EXPECT_EQ(host.call("POST", "/jobs/5c0e7a21d94b36f8", twoSteps)->m_status, 200);
    awaitState(host, "/jobs/5c0e7a21d94b36f8", "completed");
    putAll("later-");
    // A worker that registers after the odd entries is still seen.
    m_platform.put("op", "", "unrelated", "{}");
    EXPECT_EQ(host.call("POST", "/jobs/6c0e7a21d94b36f8", twoSteps)->m_status, 200);
    awaitState(host, "/jobs/6c0e7a21d94b36f8", "completed");
    EXPECT_TRUE(host.isReady());
    EXPECT_EQ(m_platform.starts().size(), 10U);
}

// Guards against rows of another writer in the product's own tables that end the process or stop the jobs of others.
TEST_F(FleetHostTest, OddRowsInTheOwnTablesStopNobody)
{
    const std::string nested = std::string(10'000, '[') + std::string(10'000, ']');
    for (const std::string_view value : {std::string_view(""), std::string_view(nested), std::string_view("\xff"), std::string_view(R"({"epoch":-1})")}) {
        m_platform.put("owner", "fleet", "owner", value);
        m_platform.put("owner", "fleet", "candidate", value);
        m_platform.put("model", "fleet", "pressures", value);
        m_platform.put("jobs", "5", "5c0e7a21d94b36f1", value);
        m_platform.put("progress", "fleet", "5c0e7a21d94b36f1", value);
        m_platform.put("final", "7", "7c0e7a21d94b36f1", value);
    }
    Host host("host-1", m_platform.storePort());
    host.awaitReady(true);
    EXPECT_EQ(host.call("POST", "/jobs/5c0e7a21d94b36f8", twoSteps)->m_status, 200);
    awaitState(host, "/jobs/5c0e7a21d94b36f8", "completed");
    m_platform.put("jobs", "6", "6c0e7a21d94b36f1", nested);
    m_platform.put("op", "", "config", nested);
    EXPECT_EQ(host.call("POST", "/jobs/6c0e7a21d94b36f8", twoSteps)->m_status, 200);
    awaitState(host, "/jobs/6c0e7a21d94b36f8", "completed");
    EXPECT_TRUE(host.isReady());
}

// Guards against an owner that starts tasks in a closed zone because its feed of the requests hangs while its commits are stored (EVAC): it has to read the
// requests beside the feed, long before the feed's second time-out, after which the table is listed.
TEST_F(FleetHostTest, AnOwnerWhoseFeedHangsReadsTheClosedZonesItself)
{
    Host host("host-1", m_platform.storePort(), {}, Milliseconds{5'000});
    host.awaitReady(true);
    while (readOwner().m_commit == 0) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
    }
    const auto wait = [](Milliseconds length) {
        const TimePoint until = Clock::now() + length;
        while (Clock::now() < until) {
            QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
        }
    };
    m_platform.silenceFeed("op");
    m_platform.put("op", "", "evacuate/zone-a", "{}");
    wait(Milliseconds{2'300});
    TaskJob job;
    job.m_id = "5c0e7a21d94b36f8";
    job.m_policy.m_name = "queue";
    job.m_policy.m_pool = "pool";
    job.m_steps.push_back({.m_count = 1, .m_demand = {.m_cpuMillis = 500, .m_memoryMb = 64}});
    m_platform.put("jobs", "5", job.m_id, encodeRow(job));
    wait(Milliseconds{1'000});
    EXPECT_TRUE(m_platform.starts().empty());
    EXPECT_EQ(readOwner().m_host, "host-1");
    m_platform.remove("op", "", "evacuate/zone-a");
    const TimePoint until = Clock::now() + std::chrono::seconds(20);
    while (m_platform.starts().empty() && Clock::now() < until) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
    }
    EXPECT_EQ(m_platform.starts().size(), 1U);
}

// Guards against a request to close a zone that does not reach the scheduler, or outlives its row. The zone is also that of the host, which stays the
// owner and ready: the request concerns workers.
TEST_F(FleetHostTest, NothingStartsInAClosedZoneUntilItsRowIsRemoved)
{
    m_platform.put("op", "", "evacuate/zone-a", "{}");
    Host host("host-1", m_platform.storePort());
    host.awaitReady(true);
    EXPECT_EQ(host.call("POST", "/jobs/5c0e7a21d94b36f8", twoSteps)->m_status, 200);
    const TimePoint until = Clock::now() + Milliseconds{2'500};
    while (Clock::now() < until) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
    }
    EXPECT_EQ(readOwner().m_host, "host-1");
    EXPECT_TRUE(host.isReady());
    EXPECT_TRUE(m_platform.starts().empty());
    m_platform.remove("op", "", "evacuate/zone-a");
    awaitState(host, "/jobs/5c0e7a21d94b36f8", "completed");
}
