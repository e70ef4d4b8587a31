#include "burdockspur/shard/schedulerdaemon.hpp"
#include "burdockspur/core/boundedring.hpp"
#include "burdockspur/link/frameclient.hpp"
#include "burdockspur/link/httpclient.hpp"
#include "burdockspur/link/peermessage.hpp"
#include "burdockspur/operations/configurationdocument.hpp"
#include "burdockspur/port/httptablestore.hpp"
#include "burdockspur/shard/schedulerplatformduty.hpp"

#include "standins/platformduty.hpp"
#include "standins/workersduty.hpp"

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>

#include <map>
#include <memory>
#include <string>

using namespace Burdockspur;

namespace
{
/// @brief Runs stand-ins for platform and workers, and schedulers, in one process; a frame client acts as entry daemon.
class SchedulerDaemonTest : public ::testing::Test
{
protected:
    SchedulerDaemonTest()
        : m_application(m_argc, m_argv.data())
    {
        m_platform = std::make_unique<Standins::PlatformDuty>(Standins::PlatformOptions(), m_platformReady);
        m_platform->start();
        m_platformPort = portOf(nextLine(m_platformReady));
        Standins::WorkersOptions plan;
        plan.m_workers = workerCount;
        m_workers = std::make_unique<Standins::WorkersDuty>(plan, m_workersReady);
        m_workers->start();
        for (std::size_t i = 0; i < workerCount; ++i) {
            const std::string line = nextLine(m_workersReady);
            m_workerPorts[line.substr(7, line.find(' ') - 7)] = portOf(line);
        }
        m_controlPort = portOf(nextLine(m_workersReady));
        m_client = std::make_unique<HttpClient>(HttpClientLimits());
        storeConfiguration();
        listHosts();
    }

    ~SchedulerDaemonTest() override
    {
        m_link.reset();
        m_daemons.clear();
        m_client.reset();
        m_workers->stop();
        m_platform->stop();
    }

    static auto nextLine(Standins::ReadyRing &ring) -> std::string
    {
        static std::map<Standins::ReadyRing *, std::vector<Result<std::string>>> waiting;
        auto &lines = waiting[&ring];
        if (lines.empty()) {
            ring.takeUntil(Clock::now() + std::chrono::minutes(1), lines);
        }
        std::string line = lines.empty() || !lines.front() ? std::string() : *lines.front();
        if (!lines.empty()) {
            lines.erase(lines.begin());
        }
        return line;
    }

    static auto portOf(std::string_view line) -> std::uint16_t
    {
        return static_cast<std::uint16_t>(std::stoi(std::string(line.substr(line.rfind("port=") + 5))));
    }

    /// @brief Runs the event loop until a condition holds, for at most two minutes.
    auto waitFor(const std::function<bool()> &condition) -> bool
    {
        const TimePoint end = Clock::now() + std::chrono::minutes(2);
        while (!condition() && Clock::now() < end) {
            QEventLoop loop;
            QTimer::singleShot(20, &loop, &QEventLoop::quit);
            loop.exec();
        }
        return condition();
    }

    auto call(std::uint16_t port, std::string_view method, std::string target, std::string body) -> HttpResponse
    {
        HttpRequest request;
        request.m_method = method;
        request.m_target = std::move(target);
        request.m_body = std::move(body);
        std::optional<HttpReply> reply;
        m_client->call({"127.0.0.1", port}, std::move(request), std::chrono::seconds(10), [&](HttpReply &&received) {
            reply = std::move(received);
        });
        EXPECT_TRUE(waitFor([&] {
            return reply.has_value();
        }));
        return reply && *reply ? **reply : HttpResponse{.m_status = 0, .m_fields = {}, .m_body = {}};
    }

    auto storeConfiguration() -> void
    {
        ConfigurationDocument document;
        document.m_configuration.m_shards = 2;
        document.m_configuration.m_presetInForce = "ordinary";
        document.m_configuration.m_presets.push_back({.m_name = "ordinary"});
        HttpTableStore table(*m_client, {"127.0.0.1", m_platformPort}, std::chrono::seconds(10));
        Transaction transaction;
        transaction.m_puts.push_back({.m_key = "config", .m_value = document.rowBytes()});
        std::optional<CommitResult> result;
        table.commit(transaction, [&](CommitResult &&received) {
            result = std::move(received);
        });
        ASSERT_TRUE(waitFor([&] {
            return result.has_value();
        }));
        ASSERT_EQ(result->m_status, CommitResult::Status::Committed);
    }

    auto listHosts(int entryHosts = 1) -> void
    {
        std::string body = R"({"generation":)" + std::to_string(entryHosts) + R"(,"hosts":[)";
        for (const auto &[name, port] : m_workerPorts) {
            body += R"({"name":")" + name + R"(","role":"worker","address":"127.0.0.1","port":)" + std::to_string(port)
                + R"(,"zone":"a","rack":"r1","region":"r","state":"live","cpu_millis":16000,"memory_mb":60000,"accelerators":0,"slots":8,"connections":64},)";
        }
        for (int i = 1; i <= entryHosts; ++i) {
            body += R"({"name":"h)" + std::to_string(i)
                + R"(","role":"entry","address":"127.0.0.1","port":1,"frame_port":1,"zone":"a","rack":"r1","region":"r","state":"live"},)";
        }
        body.back() = ']';
        body += '}';
        ASSERT_EQ(call(m_platformPort, "PUT", "/standin/hosts", body).m_status, 200) << body;
    }

    auto setPlatformFault(std::string_view name, std::string_view value) -> void
    {
        const std::string body = R"({"name":")" + std::string(name) + R"(","value":)" + std::string(value) + "}";
        ASSERT_EQ(call(m_platformPort, "PUT", "/standin/faults", body).m_status, 200) << body;
    }

    auto setWorkerFault(std::string_view worker, std::string_view name, std::string_view value) -> void
    {
        const std::string body = R"({"name":")" + std::string(name) + R"(","value":)" + std::string(value) + "}";
        ASSERT_EQ(call(m_controlPort, "PUT", "/standin/faults?worker=" + std::string(worker), body).m_status, 200) << body;
    }

    /// @brief Sums a counter in the stand-ins' JSON over all workers.
    static auto countIn(std::string_view json, std::string_view name) -> std::int64_t
    {
        const std::string key = "\"" + std::string(name) + "\":";
        std::int64_t sum = 0;
        for (auto at = json.find(key); at != std::string_view::npos; at = json.find(key, at + 1)) {
            sum += std::stoll(std::string(json.substr(at + key.size())));
        }
        return sum;
    }

    [[nodiscard]] auto settingsOf(std::string host) const -> SchedulerSettings
    {
        SchedulerSettings settings;
        settings.m_host = std::move(host);
        settings.m_tableAddress = settings.m_objectsAddress = settings.m_hostsAddress = "127.0.0.1";
        settings.m_tablePort = settings.m_objectsPort = settings.m_hostsPort = m_platformPort;
        settings.m_takeover = Milliseconds(600);
        settings.m_heartbeat = Milliseconds(200);
        settings.m_renewal = Milliseconds(200);
        settings.m_hostsPoll = Milliseconds(200);
        settings.m_rebalance = Milliseconds(1'000);
        return settings;
    }

    auto startScheduler(std::string host) -> SchedulerPorts
    {
        m_daemons.push_back(std::make_unique<SchedulerDaemon>(settingsOf(std::move(host))));
        const auto ports = m_daemons.back()->start();
        EXPECT_TRUE(ports);
        return ports.value_or(SchedulerPorts());
    }

    auto connectTo(std::uint16_t port) -> void
    {
        m_owned.clear();
        m_link = std::make_unique<FrameClient>(
            FrameLimits(),
            "127.0.0.1",
            port,
            [this](PeerMessage &&message) {
                receive(std::move(message));
            },
            [this](bool open) {
                if (open) {
                    m_link->send({.m_configVersion = 0, .m_correlation = 0, .m_body = Hello{.m_host = "h1", .m_program = "entry"}});
                }
            });
    }

    auto receive(PeerMessage &&message) -> void
    {
        if (const auto *const report = std::get_if<OwnershipReport>(&message.m_body)) {
            m_owned = report->m_shards;
            m_draining = report->m_draining;
        } else if (auto *const reply = std::get_if<JobReply>(&message.m_body)) {
            m_jobs[reply->m_job.m_id] = reply->m_job;
        } else if (auto *const error = std::get_if<ErrorReply>(&message.m_body)) {
            m_errors[message.m_correlation] = error->m_error.m_code;
        }
    }

    auto submit(const std::string &id, std::int64_t durationMs = 100, JobKind kind = JobKind::Batch) -> void
    {
        JobSpec spec;
        spec.m_caller = "trentside";
        spec.m_class = "stock";
        spec.m_demand = {.m_cpuMillis = 500, .m_memoryMb = 100, .m_accelerators = 0};
        spec.m_kind = kind;
        spec.m_durationMs = durationMs;
        m_link->send({.m_configVersion = 0, .m_correlation = 7, .m_body = SubmitJob{.m_job = id, .m_spec = spec}});
    }

    /// @brief Queries a job repeatedly until it has a state.
    auto waitForState(const std::string &id, JobState state) -> bool
    {
        return waitFor([&] {
            m_link->send({.m_configVersion = 0, .m_correlation = 8, .m_body = QueryJob{.m_job = id}});
            return m_jobs[id].m_state == state;
        });
    }

    static constexpr std::size_t workerCount = 4;
    int m_argc = 1;
    std::array<char, 5> m_name{"test"};
    std::array<char *, 2> m_argv{m_name.data(), nullptr};
    QCoreApplication m_application;
    Standins::ReadyRing m_platformReady{2};
    Standins::ReadyRing m_workersReady{workerCount + 2};
    std::unique_ptr<Standins::PlatformDuty> m_platform;
    std::unique_ptr<Standins::WorkersDuty> m_workers;
    std::unique_ptr<HttpClient> m_client;
    std::vector<std::unique_ptr<SchedulerDaemon>> m_daemons;
    std::unique_ptr<FrameClient> m_link;
    std::map<std::string, std::uint16_t> m_workerPorts;
    std::map<std::string, Job> m_jobs;
    std::map<std::uint64_t, ErrorCode> m_errors;
    std::vector<ShardOwnership> m_owned;
    std::uint16_t m_platformPort = 0;
    std::uint16_t m_controlPort = 0;
    bool m_draining = false;
};
}

// Guards against a daemon that accepts jobs but does not run them, or reports errors for shards that it owns.
TEST_F(SchedulerDaemonTest, BatchJobRunsEndToEnd)
{
    const auto ports = startScheduler("h1");
    connectTo(ports.m_frames);
    ASSERT_TRUE(waitFor([&] {
        return m_owned.size() == 2;
    }));
    for (int i = 0; i < 20; ++i) {
        submit("job" + std::to_string(i));
    }
    for (int i = 0; i < 20; ++i) {
        ASSERT_TRUE(waitForState("job" + std::to_string(i), JobState::Completed)) << i;
    }
    EXPECT_EQ(m_jobs["job0"].m_attempt, 1U);
    EXPECT_TRUE(m_errors.empty());
    EXPECT_NE(call(ports.m_admin, "GET", "/metrics", "").m_body.find("burdockspur_jobs_completed_total"), std::string::npos);
}

// Guards against a drain that does not release the shards, or loses jobs when another scheduler takes them over.
TEST_F(SchedulerDaemonTest, DrainHandsTheShardsToAnotherScheduler)
{
    const auto first = startScheduler("h1");
    connectTo(first.m_frames);
    ASSERT_TRUE(waitFor([&] {
        return m_owned.size() == 2;
    }));
    submit("before");
    ASSERT_TRUE(waitForState("before", JobState::Completed));
    const auto second = startScheduler("h2");
    ASSERT_EQ(call(first.m_admin, "POST", "/v1/drain", "").m_status / 100, 2);
    connectTo(second.m_frames);
    ASSERT_TRUE(waitFor([&] {
        return m_owned.size() == 2;
    }));
    m_jobs.clear();
    EXPECT_TRUE(waitForState("before", JobState::Completed));
    submit("after");
    EXPECT_TRUE(waitForState("after", JobState::Completed));
}

// Guards against an answer to a submission that is not durable, and against jobs that are lost in an outage.
TEST_F(SchedulerDaemonTest, OutageDelaysAnswersAndLosesNoJobs)
{
    const auto ports = startScheduler("h1");
    connectTo(ports.m_frames);
    ASSERT_TRUE(waitFor([&] {
        return m_owned.size() == 2;
    }));
    setPlatformFault("table_outage", "true");
    submit("a");
    submit("b");
    const auto refused = [&] {
        const std::string text = call(ports.m_admin, "GET", "/metrics", "").m_body;
        return text.find("result=\"not_applied\"} 0") == std::string::npos;
    };
    ASSERT_TRUE(waitFor(refused));
    EXPECT_TRUE(m_jobs.empty());
    setPlatformFault("table_outage", "false");
    EXPECT_TRUE(waitForState("a", JobState::Completed));
    EXPECT_TRUE(waitForState("b", JobState::Completed));
}

// Guards against jobs that are lost or run twice when journal writes take effect but their answers are lost.
TEST_F(SchedulerDaemonTest, LostAnswersOfTheTableAreReadBack)
{
    const auto ports = startScheduler("h1");
    connectTo(ports.m_frames);
    ASSERT_TRUE(waitFor([&] {
        return m_owned.size() == 2;
    }));
    setPlatformFault("lose_write_answers", "0.5");
    ASSERT_TRUE(waitFor([&] {
        return call(ports.m_admin, "GET", "/metrics", "").m_body.find("result=\"unknown\"} 0") == std::string::npos;
    }));
    for (int i = 0; i < 5; ++i) {
        submit("job" + std::to_string(i));
    }
    for (int i = 0; i < 5; ++i) {
        ASSERT_TRUE(waitForState("job" + std::to_string(i), JobState::Completed)) << i;
        EXPECT_EQ(m_jobs["job" + std::to_string(i)].m_attempt, 1U);
    }
    const std::string counts = call(m_controlPort, "GET", "/standin/counts", "").m_body;
    EXPECT_EQ(counts.find("\"attempts_repeated\":1"), std::string::npos) << counts;
}

// Guards against a configuration or host listing that is dropped when the ring is full and missing until the next change.
TEST_F(SchedulerDaemonTest, ListingAndConfigurationArePushedAgainAfterAFullRing)
{
    const SchedulerSettings settings = settingsOf("h1");
    SchedulerRings rings;
    for (std::size_t i = 0; i < SchedulerRings::capacity; ++i) {
        ASSERT_TRUE(rings.m_shards.tryPush(SchedulerDrainRequested()));
    }
    SchedulerPlatformDuty platform(settings, rings);
    const auto reads = [&] {
        return call(m_platformPort, "GET", "/standin/counts", "").m_body;
    };
    const auto readsBefore = countIn(reads(), "host_list_reads");
    platform.start();
    // Further reads show that the first listing was delivered to the duty.
    ASSERT_TRUE(waitFor([&] {
        return countIn(reads(), "host_list_reads") >= readsBefore + 3;
    }));
    std::vector<ShardInput> inputs;
    rings.m_shards.drain(inputs);
    ASSERT_EQ(inputs.size(), SchedulerRings::capacity);
    inputs.clear();
    const auto received = [&]<typename Input>() {
        return std::ranges::any_of(inputs, [](const ShardInput &input) {
            return std::holds_alternative<Input>(input);
        });
    };
    EXPECT_TRUE(waitFor([&] {
        rings.m_shards.drain(inputs);
        return received.operator()<HostListing>() && received.operator()<Configuration>();
    }));
}

// Guards against a scheduler that keeps all shards when another one starts, and against a running task that is stopped,
// started again or lost by a handover.
TEST_F(SchedulerDaemonTest, SchedulerThatStartsLaterGetsItsShare)
{
    const auto first = startScheduler("h1");
    connectTo(first.m_frames);
    ASSERT_TRUE(waitFor([&] {
        return m_owned.size() == 2;
    }));
    for (int i = 0; i < 8; ++i) {
        submit("watch" + std::to_string(i), 0, JobKind::Watcher);
    }
    for (int i = 0; i < 8; ++i) {
        ASSERT_TRUE(waitForState("watch" + std::to_string(i), JobState::Running)) << i;
    }
    const auto second = startScheduler("h2");
    listHosts(2);
    ASSERT_TRUE(waitFor([&] {
        return m_owned.size() == 1;
    }));
    connectTo(second.m_frames);
    ASSERT_TRUE(waitFor([&] {
        return m_owned.size() == 1;
    }));
    m_jobs.clear();
    std::size_t found = 0;
    for (int i = 0; i < 8; ++i) {
        const std::string id = "watch" + std::to_string(i);
        if (shardOf(id, 2) == m_owned.front().m_shard) {
            ++found;
            EXPECT_TRUE(waitForState(id, JobState::Running)) << id;
            EXPECT_EQ(m_jobs[id].m_attempt, 1U);
        }
    }
    EXPECT_GT(found, 0U);
    const std::string counts = call(m_controlPort, "GET", "/standin/counts", "").m_body;
    EXPECT_EQ(countIn(counts, "starts"), 8) << counts;
    EXPECT_EQ(countIn(counts, "stops"), 0) << counts;
    EXPECT_NE(call(first.m_admin, "GET", "/metrics", "").m_body.find("burdockspur_handovers_total 1"), std::string::npos);
}

// Guards against tasks that stay on a leaving worker, resume without their checkpoint, or run twice.
TEST_F(SchedulerDaemonTest, LeavingWorkerHandsOverItsTasks)
{
    const auto ports = startScheduler("h1");
    connectTo(ports.m_frames);
    ASSERT_TRUE(waitFor([&] {
        return m_owned.size() == 2;
    }));
    submit("long", 600'000);
    submit("watch", 0, JobKind::Watcher);
    ASSERT_TRUE(waitForState("long", JobState::Running));
    ASSERT_TRUE(waitForState("watch", JobState::Running));
    const std::string first = m_jobs["long"].m_worker;
    setWorkerFault(first, "leaving", "true");
    const auto moved = [&] {
        m_link->send({.m_configVersion = 0, .m_correlation = 9, .m_body = QueryJob{.m_job = "long"}});
        return m_jobs["long"].m_state == JobState::Running && m_jobs["long"].m_worker != first;
    };
    ASSERT_TRUE(waitFor(moved));
    EXPECT_EQ(m_jobs["long"].m_attempt, 2U);
    EXPECT_FALSE(m_jobs["long"].m_checkpoint.empty());
    m_link->send({.m_configVersion = 0, .m_correlation = 10, .m_body = CancelJob{.m_job = "long"}});
    m_link->send({.m_configVersion = 0, .m_correlation = 11, .m_body = CancelJob{.m_job = "watch"}});
    EXPECT_TRUE(waitForState("long", JobState::Cancelled));
    EXPECT_TRUE(waitForState("watch", JobState::Cancelled));
}
