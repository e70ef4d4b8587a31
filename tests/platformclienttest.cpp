#include "burdockspur/operations/configurationwatcher.hpp"
#include "burdockspur/port/httphostlist.hpp"
#include "burdockspur/port/httpobjectstore.hpp"
#include "burdockspur/port/httptablestore.hpp"
#include "burdockspur/port/httpworkerport.hpp"

#include "httpstub.hpp"
#include "standins/platformserver.hpp"
#include "standins/workerserver.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
constexpr Milliseconds longTimeout{60'000};

// Runs the clients against the stand-ins, which implement the same protocol independently.
class PlatformClientTest : public testing::Test
{
protected:
    PlatformClientTest()
    {
        Testing::requireApplication();
        m_client = std::make_unique<HttpClient>(HttpClientLimits{});
        m_platform = std::make_unique<Standins::PlatformServer>(Standins::PlatformFaults{}, 1);
        m_endpoint = {"127.0.0.1", m_platform->listen("127.0.0.1", 0).value()};
    }

    auto commit(const Transaction &transaction) -> CommitResult
    {
        HttpTableStore store(*m_client, m_endpoint, longTimeout);
        return HttpStub::await<CommitResult>([&](auto callback) {
            store.commit(transaction, std::move(callback));
        });
    }

    auto control(std::string_view method, std::string_view target, std::string_view body) -> int
    {
        const auto reply = HttpStub::await<HttpReply>([&](auto callback) {
            m_client->call(m_endpoint, {std::string(method), std::string(target), {}, std::string(body)}, longTimeout, std::move(callback));
        });
        return reply ? reply->m_status : 0;
    }

    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<Standins::PlatformServer> m_platform;
    HttpEndpoint m_endpoint;
};
}

// Guards against a client and a table service that interpret the protocol differently.
TEST_F(PlatformClientTest, TableRowsKeepTheirBytesAndVersions)
{
    const std::string bytes("\0\xff\"", 3);
    HttpTableStore store(*m_client, m_endpoint, longTimeout);
    auto result = commit({{{"shard/1/owner", 0}}, {{"shard/1/owner", bytes}, {"shard/1/journal/1", "j"}}, {}});
    ASSERT_EQ(result.m_status, CommitResult::Status::Committed) << result.m_error.m_message;
    result = commit({{{"shard/1/owner", 0}}, {{"shard/1/owner", "other"}}, {}});
    ASSERT_EQ(result.m_status, CommitResult::Status::Conflict) << result.m_error.m_message;
    ASSERT_EQ(result.m_rows.size(), 1U);
    EXPECT_EQ(result.m_rows[0].m_version, 1U);
    EXPECT_EQ(result.m_rows[0].m_value, bytes);
    EXPECT_EQ(commit({{{"absent", 3}}, {{"absent", ""}}, {}}).m_status, CommitResult::Status::Conflict);
    const auto rows = HttpStub::await<Result<std::vector<TableRow>>>([&](auto callback) {
        store.scan("shard/1/", "", 10, std::move(callback));
    });
    ASSERT_TRUE(rows) << rows.error().m_message;
    ASSERT_EQ(rows->size(), 2U);
    EXPECT_EQ((*rows)[1].m_value, bytes);
    EXPECT_EQ(commit({{}, {}, {"shard/1/owner"}}).m_status, CommitResult::Status::Committed);
    const auto row = HttpStub::await<Result<std::vector<TableRow>>>([&](auto callback) {
        store.read("shard/1/owner", std::move(callback));
    });
    ASSERT_TRUE(row) << row.error().m_message;
    EXPECT_TRUE(row->empty());
}

// Guards against a configuration that cannot be stored or read back through the real protocol.
TEST_F(PlatformClientTest, ConfigurationIsStoredAndSwitched)
{
    HttpTableStore store(*m_client, m_endpoint, longTimeout);
    ConfigurationWatcher watcher(store, {}, [](const Configuration &) {});
    const auto stored = HttpStub::await<Result<ConfigVersion>>([&](auto callback) {
        watcher.change(0, R"({"shards": 4, "preset_in_force": "a", "presets": [{"name": "a"}, {"name": "b"}]})", std::move(callback));
    });
    EXPECT_EQ(stored.value(), 1U);
    const auto switched = HttpStub::await<Result<ConfigVersion>>([&](auto callback) {
        watcher.switchPreset(1, "b", std::move(callback));
    });
    EXPECT_EQ(switched.value(), 2U);
    const auto late = HttpStub::await<Result<ConfigVersion>>([&](auto callback) {
        watcher.switchPreset(1, "a", std::move(callback));
    });
    EXPECT_EQ(late.error().m_code, ErrorCode::Conflict);
    EXPECT_EQ(watcher.current()->m_presetInForce, "b");
}

// Guards against objects and host lists that the services encode in another form than the clients expect.
TEST_F(PlatformClientTest, ObjectsAndHostsAreRead)
{
    HttpObjectStore objects(*m_client, m_endpoint, longTimeout);
    const auto put = HttpStub::await<Result<void>>([&](auto callback) {
        objects.put("shard-1-7", std::string("\0x", 2), std::move(callback));
    });
    EXPECT_TRUE(put);
    const auto got = HttpStub::await<Result<std::string>>([&](auto callback) {
        objects.get("shard-1-7", std::move(callback));
    });
    EXPECT_EQ(got.value(), std::string("\0x", 2));
    constexpr std::string_view hosts =
        R"({"hosts":[{"name":"w1","role":"worker","address":"127.0.0.1","port":80,"zone":"z","rack":"r","region":"a","state":"live",)"
        R"("cpu_millis":16000,"memory_mb":60000,"accelerators":1,"slots":8,"connections":64},)"
        R"({"name":"e1","role":"entry","address":"127.0.0.1","port":81,"frame_port":82,"zone":"z","rack":"r","region":"a","state":"leaving"}]})";
    EXPECT_EQ(control("PUT", "/standin/hosts", hosts), 200);
    HttpHostList list(*m_client, m_endpoint, longTimeout);
    const auto listing = HttpStub::await<Result<HostListing>>([&](auto callback) {
        list.fetch(std::move(callback));
    });
    ASSERT_TRUE(listing) << listing.error().m_message;
    ASSERT_EQ(listing->m_hosts.size(), 2U);
    EXPECT_EQ(listing->m_hosts[0].m_capacity, (Resources{16000, 60000, 1}));
    EXPECT_EQ(listing->m_hosts[1].m_framePort, 82);
    EXPECT_EQ(listing->m_hosts[1].m_state, HostState::Leaving);
}

// Guards against a scheduler and a worker that interpret the control interface differently.
TEST_F(PlatformClientTest, WorkersRunAndStopAttempts)
{
    Standins::WorkerServer worker(Standins::WorkerSpec{}, 1);
    const HttpEndpoint endpoint{"127.0.0.1", worker.listen("127.0.0.1", 0).value()};
    HttpWorkerPort port(*m_client);
    const JobSpec spec{JobKind::Watcher, "caller", "feed", "team", {500, 64, 0}, 0, false, "payload"};
    const auto start = [&](Epoch epoch, const AttemptId &attempt) {
        return HttpStub::await<StartResult>([&](auto callback) {
            port.start(endpoint, {2, epoch, attempt, spec, ""}, longTimeout, std::move(callback));
        });
    };
    std::optional<ReportId> latest;
    const auto renew = [&](Epoch epoch) {
        auto renewed = HttpStub::await<Result<LeaseReport>>([&](auto callback) {
            port.renew(endpoint, {2, epoch, "e1", Milliseconds(600'000), {}, latest}, longTimeout, std::move(callback));
        });
        latest = renewed ? renewed->m_report : latest;
        return renewed;
    };
    EXPECT_EQ(start(5, {"j1", 1}).m_status, StartResult::Status::Refused) << "no lease yet";
    const auto first = renew(5);
    ASSERT_TRUE(first) << first.error().m_message;
    EXPECT_FALSE(first->m_granted);
    EXPECT_FALSE(first->m_report.m_incarnation.empty());
    EXPECT_TRUE(renew(5).value().m_granted);
    const auto started = start(5, {"j1", 1});
    EXPECT_EQ(started.m_status, StartResult::Status::Started) << started.m_reason;
    EXPECT_EQ(start(4, {"j2", 1}).m_status, StartResult::Status::Fenced);
    EXPECT_EQ(renew(4).error().m_code, ErrorCode::StaleEpoch);
    const auto report = renew(5);
    ASSERT_TRUE(report) << report.error().m_message;
    ASSERT_EQ(report->m_attempts.size(), 1U);
    EXPECT_EQ(report->m_attempts[0].m_attempt, (AttemptId{"j1", 1}));
    const auto throttled = HttpStub::await<Result<void>>([&](auto callback) {
        port.throttle(endpoint, {2, 5, {"j1", 1}}, 50, longTimeout, std::move(callback));
    });
    EXPECT_TRUE(throttled) << throttled.error().m_message;
    const auto checkpoint = HttpStub::await<Result<AttemptReport>>([&](auto callback) {
        port.checkpoint(endpoint, {2, 5, {"j1", 1}}, longTimeout, std::move(callback));
    });
    EXPECT_TRUE(checkpoint) << checkpoint.error().m_message;
    const auto stop = [&](const AttemptId &attempt) {
        return HttpStub::await<Result<AttemptReport>>([&](auto callback) {
            port.stop(endpoint, {2, 5, attempt}, longTimeout, std::move(callback));
        });
    };
    EXPECT_EQ(stop({"j1", 1}).value().m_state, AttemptState::Stopped);
    EXPECT_EQ(stop({"j9", 1}).value().m_state, AttemptState::NeverStarted);
    EXPECT_EQ(start(5, {"j9", 1}).m_status, StartResult::Status::Refused);
}
