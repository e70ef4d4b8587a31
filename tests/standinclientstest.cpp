#include "standins/platformduty.hpp"
#include "standins/workersduty.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/port/httphostlist.hpp"
#include "burdockspur/port/httpobjectstore.hpp"
#include "burdockspur/port/httptablestore.hpp"
#include "burdockspur/port/httpworkerport.hpp"
#include "linktesting.hpp"
#include "standintesting.hpp"

#include <gtest/gtest.h>

#include <optional>

using namespace Burdockspur;
using namespace Burdockspur::Standins;
using namespace Burdockspur::Testing;
using namespace std::chrono_literals;

namespace
{
constexpr auto timeout = 60s;

/// Starts a call and waits for the value that its callback receives.
template<typename Value, typename Call>
[[nodiscard]] auto await(Call call) -> Value
{
    std::optional<Value> received;
    call([&received](Value &&value) {
        received.emplace(std::move(value));
    });
    waitUntil([&received] {
        return received.has_value();
    });
    return std::move(*received);
}
}

// Guards against a stand-in and a client of the table service that disagree on the protocol.
TEST(StandinClientsTest, TableStore)
{
    requireApplication();
    ReadyRing ready(2);
    PlatformDuty duty({}, ready);
    HttpClient client{HttpClientLimits{}};
    HttpTableStore table(client, {"127.0.0.1", startAndReadPorts(duty, ready).at(0)}, timeout);
    const Transaction transaction{{{"shard/1/owner", 0}}, {{"shard/1/owner", std::string("\0\xFF", 2)}}, {}};
    const auto commit = [&] {
        return await<CommitResult>([&](auto callback) {
            table.commit(transaction, std::move(callback));
        });
    };
    EXPECT_EQ(commit().m_status, CommitResult::Status::Committed);
    const auto conflict = commit();
    EXPECT_EQ(conflict.m_status, CommitResult::Status::Conflict);
    EXPECT_EQ(conflict.m_rows.at(0).m_value, transaction.m_puts[0].m_value);
    using Rows = Result<std::vector<TableRow>>;
    const auto rows = await<Rows>([&](auto callback) {
        table.scan("shard/", "", 10, std::move(callback));
    });
    ASSERT_TRUE(rows) << rows.error().m_message;
    EXPECT_EQ(rows->at(0).m_version, 1U);
    const auto absent = await<Rows>([&](auto callback) {
        table.read("shard/2/owner", std::move(callback));
    });
    ASSERT_TRUE(absent) << absent.error().m_message;
    EXPECT_TRUE(absent->empty());
}

// Guards against stand-ins and clients of the object store and the host list that disagree on the protocol.
TEST(StandinClientsTest, ObjectStoreAndHostList)
{
    requireApplication();
    ReadyRing ready(2);
    PlatformDuty duty({}, ready);
    const HttpEndpoint endpoint{"127.0.0.1", startAndReadPorts(duty, ready).at(0)};
    HttpClient client{HttpClientLimits{}};
    HttpObjectStore objects(client, endpoint, timeout);
    const auto put = await<Result<void>>([&](auto callback) {
        objects.put("shard-0-1", "snapshot", std::move(callback));
    });
    EXPECT_TRUE(put);
    const auto bytes = await<Result<std::string>>([&](auto callback) {
        objects.get("shard-0-1", std::move(callback));
    });
    EXPECT_EQ(bytes.value_or(""), "snapshot");
    const auto removed = await<Result<void>>([&](auto callback) {
        objects.remove("shard-0-1", std::move(callback));
    });
    EXPECT_TRUE(removed);
    const std::string hosts =
        R"({"hosts":[{"name":"e1","role":"entry","address":"127.0.0.1","port":8,"frame_port":9,"zone":"z","rack":"k","region":"r","state":"live"},)"
        R"({"name":"w1","role":"worker","address":"127.0.0.1","port":7,"zone":"z","rack":"k","region":"r","state":"leaving","cpu_millis":1000,)"
        R"("memory_mb":10,"accelerators":0,"slots":8,"connections":64}]})";
    const auto set = await<HttpReply>([&](auto callback) {
        client.call(endpoint, {"PUT", "/standin/hosts", {}, hosts}, timeout, std::move(callback));
    });
    ASSERT_TRUE(set);
    HttpHostList list(client, endpoint, timeout);
    const auto listing = await<Result<HostListing>>([&](auto callback) {
        list.fetch(std::move(callback));
    });
    ASSERT_TRUE(listing) << listing.error().m_message;
    ASSERT_EQ(listing->m_hosts.size(), 2U);
    EXPECT_EQ(listing->m_hosts[0].m_framePort, 9);
    EXPECT_EQ(listing->m_hosts[1].m_state, HostState::Leaving);
}

// Guards against a stand-in and a client of workers that disagree on the protocol.
TEST(StandinClientsTest, WorkerPort)
{
    requireApplication();
    ReadyRing ready(3);
    WorkersDuty duty({}, ready);
    const HttpEndpoint worker{"127.0.0.1", startAndReadPorts(duty, ready).at(0)};
    HttpClient client{HttpClientLimits{}};
    HttpWorkerPort port(client);
    StartOrder order;
    order.m_epoch = 1;
    order.m_attempt = {"j1", 1};
    order.m_spec.m_kind = JobKind::Watcher;
    const AttemptOrder attempt{0, 1, order.m_attempt};
    const auto start = [&] {
        return await<StartResult>([&](auto callback) {
            port.start(worker, order, timeout, std::move(callback));
        });
    };
    std::optional<ReportId> latest;
    const auto renew = [&](Epoch epoch) {
        auto renewed = await<Result<LeaseReport>>([&](auto callback) {
            port.renew(worker, {0, epoch, "e1", Milliseconds(600'000), {}, latest}, timeout, std::move(callback));
        });
        latest = renewed ? renewed->m_report : latest;
        return renewed;
    };
    EXPECT_EQ(start().m_reason, "no_lease");
    ASSERT_TRUE(renew(1));
    EXPECT_TRUE(renew(1).value().m_granted);
    EXPECT_EQ(start().m_status, StartResult::Status::Started);
    EXPECT_EQ(start().m_status, StartResult::Status::Started);
    const auto checkpoint = await<Result<AttemptReport>>([&](auto callback) {
        port.checkpoint(worker, attempt, timeout, std::move(callback));
    });
    ASSERT_TRUE(checkpoint) << checkpoint.error().m_message;
    EXPECT_EQ(checkpoint->m_checkpoint, "j1-1-0");
    const auto throttled = await<Result<void>>([&](auto callback) {
        port.throttle(worker, attempt, 50, timeout, std::move(callback));
    });
    EXPECT_TRUE(throttled);
    const auto stopped = await<Result<AttemptReport>>([&](auto callback) {
        port.stop(worker, attempt, timeout, std::move(callback));
    });
    ASSERT_TRUE(stopped) << stopped.error().m_message;
    EXPECT_EQ(stopped->m_state, AttemptState::Stopped);
    const auto report = renew(2);
    ASSERT_TRUE(report) << report.error().m_message;
    EXPECT_EQ(report->m_attempts.at(0).m_state, AttemptState::Stopped);
    EXPECT_EQ(start().m_status, StartResult::Status::Fenced);
    EXPECT_EQ(renew(1).error().m_code, ErrorCode::StaleEpoch);
}
