#include "burdockspur/host/entrydaemon.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/host/entrysettings.hpp"
#include "burdockspur/link/frameserver.hpp"
#include "burdockspur/link/httpclient.hpp"
#include "burdockspur/link/peermessage.hpp"

#include "linktesting.hpp"
#include "standins/platformduty.hpp"
#include "standins/readyring.hpp"
#include "standins/workersduty.hpp"

#include <gtest/gtest.h>

#include <QSocketNotifier>

#include <optional>

using namespace Burdockspur;
using namespace std::chrono_literals;

namespace
{
constexpr std::string_view local = "127.0.0.1";

[[nodiscard]] auto portIn(std::string_view line) -> std::uint16_t
{
    const auto at = line.find("port=");
    return at == std::string_view::npos ? 0 : static_cast<std::uint16_t>(std::stoi(std::string(line.substr(at + 5))));
}

[[nodiscard]] auto jobNamed(std::string_view id) -> Job
{
    Job job;
    job.m_id = id;
    return job;
}

/// @brief Waits for a number of ready lines of a stand-in and returns the ports in them; 0 for a failed start.
[[nodiscard]] auto portsFrom(Standins::ReadyRing &ring, std::size_t count) -> std::vector<std::uint16_t>
{
    std::vector<Result<std::string>> lines;
    while (lines.size() < count) {
        ring.takeUntil(Clock::now() + 1h, lines);
    }
    std::vector<std::uint16_t> ports;
    ports.reserve(lines.size());
    for (const auto &line : lines) {
        ports.push_back(line ? portIn(*line) : 0);
    }
    return ports;
}

/// @brief Runs an entry daemon, two stand-in workers and a stand-in platform in this process, on loopback ports.
class EntryDaemonTest : public testing::Test
{
protected:
    EntryDaemonTest()
        : m_workers(planOfWorkers(), m_workerReady)
        , m_platform(Standins::PlatformOptions{}, m_platformReady)
    {
        Testing::requireApplication();
        m_client = std::make_unique<HttpClient>(HttpClientLimits{});
        m_workers.start();
        m_platform.start();
        m_workerPorts = portsFrom(m_workerReady, workerCount + 1);
        m_platformPort = portsFrom(m_platformReady, 1).front();
        setHosts();
        startDaemon();
    }

    ~EntryDaemonTest() override
    {
        m_daemon.reset();
        m_client.reset();
        m_workers.stop();
        m_platform.stop();
    }

    static auto planOfWorkers() -> Standins::WorkersOptions
    {
        Standins::WorkersOptions plan;
        plan.m_workers = workerCount;
        return plan;
    }

    auto setHosts(std::string hosts = {}) -> void
    {
        for (std::size_t i = 0; i < workerCount; ++i) {
            hosts += std::string(hosts.empty() ? "" : ",") + R"({"name":"worker)" + std::to_string(i) + R"(","role":"worker","address":"127.0.0.1","port":)"
                + std::to_string(m_workerPorts[i])
                + R"(,"zone":"z1","rack":"r1","region":"g1","state":"live","cpu_millis":16000,"memory_mb":60000,"accelerators":0,"slots":8,"connections":64})";
        }
        const auto response = call(m_platformPort, {"PUT", "/standin/hosts", {}, R"({"hosts":[)" + hosts + "]}"});
        ASSERT_EQ(response.m_status, 200) << response.m_body;
    }

    auto startDaemon() -> void
    {
        EntrySettings settings;
        settings.m_hostName = "e1";
        settings.m_zone = "z1";
        settings.m_callersPort = 0;
        settings.m_adminPort = 0;
        settings.m_tableAddress = local;
        settings.m_tablePort = m_platformPort;
        settings.m_hostListAddress = local;
        settings.m_hostListPort = m_platformPort;
        settings.m_forwardTimeout = 300ms;
        m_daemon = std::make_unique<EntryDaemon>(settings);
        const auto ports = m_daemon->start();
        ASSERT_TRUE(ports);
        m_ports = *ports;
        // Waits for the first host list, which is read after the start.
        while (call(m_ports.m_callers, {"GET", "/v1/status", {}, {}}).m_body.find("worker1") == std::string::npos) {}
    }

    [[nodiscard]] auto callAll(std::uint16_t port, std::vector<HttpRequest> requests) -> std::vector<HttpResponse>
    {
        std::vector<std::optional<HttpResponse>> responses(requests.size());
        std::size_t open = requests.size();
        for (std::size_t i = 0; i < requests.size(); ++i) {
            m_client->call({std::string(local), port}, std::move(requests[i]), 30s, [&responses, &open, i](HttpReply &&reply) {
                responses[i] = reply ? std::move(*reply) : HttpResponse{0, {}, std::string(errorName(reply.error().m_error.m_code))};
                --open;
            });
        }
        Testing::waitUntil([&open] {
            return open == 0;
        });
        std::vector<HttpResponse> result;
        result.reserve(responses.size());
        for (auto &response : responses) {
            result.push_back(std::move(*response));
        }
        return result;
    }

    [[nodiscard]] auto call(std::uint16_t port, HttpRequest &&request) -> HttpResponse
    {
        std::vector<HttpRequest> requests;
        requests.push_back(std::move(request));
        return callAll(port, std::move(requests)).front();
    }

    [[nodiscard]] static auto serviceRequest(std::string_view body, std::vector<HttpField> fields = {}) -> HttpRequest
    {
        fields.push_back({"Burdockspur-Caller", "test"});
        return {"POST", "/v1/services/seats/requests", std::move(fields), std::string(body)};
    }

    [[nodiscard]] static auto answerTo(std::string_view body) -> std::string
    {
        return "seats:" + hexOf(hashOf(body)) + ":" + std::string(body);
    }

    auto setFault(std::string_view name, std::string_view value, std::string_view rest = {}) -> void
    {
        std::string body = R"({"name":")";
        body.append(name).append(R"(","value":)").append(value).append(rest).append("}");
        const auto response = call(m_workerPorts.back(), {"PUT", "/standin/faults", {}, std::move(body)});
        ASSERT_EQ(response.m_status, 200) << response.m_body;
    }

    static constexpr std::size_t workerCount = 2;

    Standins::ReadyRing m_workerReady{8};
    Standins::ReadyRing m_platformReady{8};
    Standins::WorkersDuty m_workers;
    Standins::PlatformDuty m_platform;
    std::unique_ptr<HttpClient> m_client;
    std::vector<std::uint16_t> m_workerPorts;
    std::uint16_t m_platformPort = 0;
    std::unique_ptr<EntryDaemon> m_daemon;
    EntryDaemon::Ports m_ports;
};
}

// Guards against answers that reach the wrong caller on their way through the duties.
TEST_F(EntryDaemonTest, ConcurrentRequestsGetTheirOwnAnswers)
{
    std::vector<HttpRequest> requests;
    requests.reserve(100);
    for (int i = 0; i < 100; ++i) {
        requests.push_back(serviceRequest("body " + std::to_string(i)));
    }
    const auto responses = callAll(m_ports.m_callers, std::move(requests));
    for (std::size_t i = 0; i < responses.size(); ++i) {
        EXPECT_EQ(responses[i].m_status, 200) << responses[i].m_body;
        EXPECT_EQ(responses[i].m_body, answerTo("body " + std::to_string(i)));
        EXPECT_FALSE(responses[i].field("Burdockspur-Request-Id").empty());
    }
}

// Guards against the outcome unknown, or a second execution, after a lost answer that the worker still has.
TEST_F(EntryDaemonTest, LostAnswerIsFetchedByASettle)
{
    setFault("lose_answers", "1", R"(,"count":1,"match":"/services/")");
    const auto response = call(m_ports.m_callers, serviceRequest("seat 4"));
    EXPECT_EQ(response.m_status, 200) << response.m_body;
    EXPECT_EQ(response.m_body, answerTo("seat 4"));
    const auto metrics = call(m_ports.m_admin, {"GET", "/metrics", {}, {}}).m_body;
    EXPECT_NE(metrics.find("burdockspur_settles_total 1"), std::string::npos) << metrics;
}

// Guards against "refused" or a second execution for a request whose worker crashed during the run and lost its records.
TEST_F(EntryDaemonTest, RequestOfARestartedWorkerEndsUnknown)
{
    const auto runs = [this] {
        const auto counts = call(m_workerPorts.back(), {"GET", "/standin/counts", {}, {}}).m_body;
        return counts.find(R"("requests":1)") != std::string::npos;
    };
    setFault("slow", "200");
    std::optional<HttpResponse> response;
    m_client->call({std::string(local), m_ports.m_callers}, serviceRequest("seat 4"), 30s, [&response](HttpReply &&reply) {
        response = reply ? std::move(*reply) : HttpResponse{};
    });
    while (!runs()) {}
    setFault("slow", "0");
    setFault("crash", "20");
    Testing::waitUntil([&response] {
        return response.has_value();
    });
    EXPECT_NE(response->m_body.find(R"("outcome":"unknown")"), std::string::npos) << response->m_body;
    EXPECT_TRUE(runs());
}

// Guards against endless retries, or an unclear error code, while every worker rejects requests.
TEST_F(EntryDaemonTest, LeavingWorkersGiveARefusalWithACode)
{
    setFault("leaving", "1");
    const auto response = call(m_ports.m_callers, serviceRequest("seat 4"));
    EXPECT_EQ(response.m_status, 503);
    EXPECT_NE(response.m_body.find(R"("code":"no_target")"), std::string::npos) << response.m_body;
    EXPECT_NE(response.m_body.find(R"("outcome":"refused")"), std::string::npos) << response.m_body;
}

// Guards against invalid requests that are forwarded, or rejected without a machine-readable code.
TEST_F(EntryDaemonTest, InvalidRequestsAreRefusedWithStableCodes)
{
    struct Case {
        HttpRequest m_request;
        int m_status;
        std::string_view m_code;
    };
    const std::vector<Case> cases{
        {{"GET", "/v1/nothing", {}, {}}, 404, "unknown_route"},
        {{"PUT", "/v1/jobs", {}, {}}, 405, "method_not_allowed"},
        {{"POST", "/v1/services/seats/requests", {}, "x"}, 400, "bad_header"},
        {serviceRequest("x", {{"Burdockspur-Deadline-Ms", "-1"}}), 400, "bad_header"},
        {serviceRequest("x", {{"Burdockspur-Deadline-Ms", "1e3"}}), 400, "bad_header"},
        {serviceRequest("x", {{"Burdockspur-Idempotent", "yes"}}), 400, "bad_header"},
        {serviceRequest("x", {{"Burdockspur-Deadline-Ms", "0"}}), 504, "deadline_exceeded"},
        {{"POST", "/v1/jobs", {{"Burdockspur-Caller", "test"}}, "{}"}, 400, "missing_idempotency_key"},
        {{"POST", "/v1/jobs", {{"Burdockspur-Caller", "test"}, {"Idempotency-Key", "k"}}, "{"}, 400, "bad_request"},
        {{"GET", "/v1/jobs?state=lost", {}, {}}, 400, "bad_request"},
        {{"GET", "/v1/jobs?limit=0", {}, {}}, 400, "bad_request"},
        {{"PUT", "/v1/config/preset", {}, R"({"preset":"peak"})"}, 400, "bad_request"},
        {{"PUT", "/v1/config", {}, R"({"expected_version":-1,"document":{}})"}, 400, "bad_request"},
        {{"GET", "/v1/config", {}, {}}, 503, "unavailable"},
    };
    for (const auto &entry : cases) {
        const auto response = call(m_ports.m_callers, HttpRequest(entry.m_request));
        EXPECT_EQ(response.m_status, entry.m_status) << entry.m_request.m_target << response.m_body;
        EXPECT_NE(response.m_body.find(R"("code":")" + std::string(entry.m_code) + '"'), std::string::npos) << entry.m_request.m_target << response.m_body;
    }
}

// Guards against a configuration change that is accepted but not in force, or overwrites a change of another operator.
TEST_F(EntryDaemonTest, ConfigurationChangesByCompareAndSet)
{
    constexpr std::string_view document =
        R"({"shards":4,"preset_in_force":"ordinary","presets":[{"name":"ordinary","tail_weight":1,"batch_weight":1,"eviction_weight":1,"accept_batch":true},{"name":"peak","tail_weight":3,"batch_weight":1,"eviction_weight":1,"accept_batch":true}],"services":[{"name":"seats","cpu_millis":0,"memory_mb":0,"accelerators":0,"latency_target_ms":50}],"teams":[]})";
    const auto replace = R"({"expected_version":0,"document":)" + std::string(document) + "}";
    const auto stored = call(m_ports.m_callers, {"PUT", "/v1/config", {}, replace});
    EXPECT_EQ(stored.m_status, 200) << stored.m_body;
    EXPECT_EQ(call(m_ports.m_callers, {"PUT", "/v1/config/preset", {}, R"({"preset":"peak","expected_version":1})"}).m_status, 200);
    const auto conflict = call(m_ports.m_callers, {"PUT", "/v1/config/preset", {}, R"({"preset":"ordinary","expected_version":1})"});
    EXPECT_EQ(conflict.m_status, 409) << conflict.m_body;
    const auto shown = call(m_ports.m_callers, {"GET", "/v1/config", {}, {}}).m_body;
    EXPECT_NE(shown.find(R"("preset_in_force":"peak")"), std::string::npos) << shown;
    EXPECT_NE(shown.find(R"("version":2)"), std::string::npos) << shown;
    const auto unknown = call(m_ports.m_callers, {"POST", "/v1/services/vans/requests", {{"Burdockspur-Caller", "test"}}, "x"});
    EXPECT_EQ(unknown.m_status, 404) << unknown.m_body;
    EXPECT_EQ(call(m_ports.m_callers, serviceRequest("x")).m_status, 200);
}

// Guards against a graceful shutdown that interrupts a request in progress or never completes.
TEST_F(EntryDaemonTest, DrainFinishesRequestsInProgress)
{
    setFault("slow", "200");
    std::optional<HttpResponse> response;
    m_client->call({std::string(local), m_ports.m_callers}, serviceRequest("seat 4"), 30s, [&response](HttpReply &&reply) {
        response = reply ? std::move(*reply) : HttpResponse{};
    });
    while (call(m_ports.m_admin, {"GET", "/metrics", {}, {}}).m_body.find("burdockspur_forwards_total 1") == std::string::npos) {}
    EXPECT_EQ(call(m_ports.m_admin, {"POST", "/v1/drain", {}, {}}).m_status, 202);
    Testing::waitUntil([&response] {
        return response.has_value();
    });
    EXPECT_EQ(response->m_status, 200) << response->m_body;
    EXPECT_EQ(response->m_body, answerTo("seat 4"));
    QSocketNotifier drained(m_daemon->drainedDescriptor(), QSocketNotifier::Read);
    bool isDrained = false;
    QObject::connect(&drained, &QSocketNotifier::activated, &drained, [&] {
        drained.setEnabled(false);
        isDrained = true;
    });
    Testing::waitUntil([&isDrained] {
        return isDrained;
    });
}

// Guards against a submission that is answered without the owner of its shard, or is lost because the first owner
// has handed the shard over.
TEST_F(EntryDaemonTest, JobCommandsGoToTheOwnerOfTheShard)
{
    int submissions = 0;
    FrameServer *server = nullptr;
    const auto answer = [&](LinkId link, PeerMessage &&message) {
        PeerMessage reply;
        reply.m_correlation = message.m_correlation;
        if (std::holds_alternative<Hello>(message.m_body)) {
            reply.m_body = OwnershipReport{{{0, 1, "e1", 1}, {1, 1, "e1", 1}, {2, 1, "e1", 1}, {3, 1, "e1", 1}}, false};
        } else if (const auto *const submit = std::get_if<SubmitJob>(&message.m_body)) {
            ++submissions;
            reply.m_body = ErrorReply{{ErrorCode::NotOwner, "the shard has moved"}};
            if (submissions > 1) {
                reply.m_body = JobReply{jobNamed(submit->m_job)};
            }
        } else if (const auto *const query = std::get_if<QueryJob>(&message.m_body)) {
            reply.m_body = ErrorReply{{ErrorCode::UnknownJob, "there is no job " + query->m_job}};
        } else if (std::holds_alternative<ListJobs>(message.m_body)) {
            reply.m_body = JobListReply{{{jobNamed("j1"), jobNamed("j2")}}};
        } else {
            return;
        }
        server->send(link, reply);
    };
    FrameServer scheduler(FrameLimits{}, answer, [](LinkId, bool) {});
    server = &scheduler;
    const auto port = scheduler.listen(local, 0);
    ASSERT_TRUE(port);
    setHosts(R"({"name":"e1","role":"entry","address":"127.0.0.1","port":1,"frame_port":)" + std::to_string(*port)
             + R"(,"zone":"z1","rack":"r1","region":"g1","state":"live"})");
    constexpr std::string_view document =
        R"({"expected_version":0,"document":{"shards":4,"preset_in_force":"ordinary","presets":[{"name":"ordinary","tail_weight":1,"batch_weight":1,"eviction_weight":1,"accept_batch":true}],"services":[],"teams":[]}})";
    ASSERT_EQ(call(m_ports.m_callers, {"PUT", "/v1/config", {}, std::string(document)}).m_status, 200);
    const std::vector<HttpField> fields{{"Burdockspur-Caller", "test"}, {"Idempotency-Key", "night-1"}};
    constexpr std::string_view job = R"({"kind":"batch","class":"render","team":"shows","cpu_millis":1000,"memory_mb":512})";
    const auto submitted = call(m_ports.m_callers, {"POST", "/v1/jobs", fields, std::string(job)});
    EXPECT_EQ(submitted.m_status, 202) << submitted.m_body;
    EXPECT_NE(submitted.m_body.find(jobIdOf("test", "night-1")), std::string::npos) << submitted.m_body;
    EXPECT_EQ(submissions, 2);
    EXPECT_EQ(call(m_ports.m_callers, {"GET", "/v1/jobs/j9", {}, {}}).m_status, 404);
    const auto list = call(m_ports.m_callers, {"GET", "/v1/jobs?limit=5", {}, {}}).m_body;
    EXPECT_LT(list.find("\"j1\""), list.find("\"j2\"")) << list;
}
