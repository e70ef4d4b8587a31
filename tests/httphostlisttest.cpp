#include "burdockspur/port/httphostlist.hpp"

#include "httpstub.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
constexpr std::string_view worker = R"({"name":"w1","role":"worker","address":"10.0.0.1","port":80,"zone":"z1","rack":"r1","region":"a","state":"leaving",)"
                                    R"("cpu_millis":16000,"memory_mb":60000,"accelerators":1,"slots":8,"connections":64})";
constexpr std::string_view entry =
    R"({"name":"e1","role":"entry","address":"::1","port":81,"frame_port":82,"zone":"z1","rack":"r1","region":"a","state":"live"})";

auto listing(std::string_view hosts) -> std::string
{
    return R"({"generation":5,"hosts":[)" + std::string(hosts) + "]}";
}

auto replaced(std::string_view text, std::string_view from, std::string_view to) -> std::string
{
    std::string changed(text);
    changed.replace(changed.find(from), from.size(), to);
    return changed;
}
}

// Guards against a value that is stored in the wrong member of a record.
TEST(HttpHostListTest, DecodesWorkersAndEntryHosts)
{
    HttpStub stub;
    stub.respondWith(200, listing(std::string(worker) + "," + std::string(entry)));
    HttpHostList list(stub.client(), stub.endpoint(), Milliseconds(60'000));
    const auto result = HttpStub::await<Result<HostListing>>([&](auto callback) {
        list.fetch(std::move(callback));
    });
    ASSERT_TRUE(result) << result.error().m_message;
    EXPECT_EQ(result->m_generation, 5U);
    const HostRecord first{"w1", HostRole::Worker, HostState::Leaving, "10.0.0.1", 80, 0, {"a", "z1", "r1"}, {16000, 60000, 1}, 8, 64};
    const HostRecord second{"e1", HostRole::Entry, HostState::Live, "::1", 81, 82, {"a", "z1", "r1"}, {}, 0, 0};
    EXPECT_EQ(result->m_hosts, (std::vector<HostRecord>{first, second}));
    EXPECT_EQ(stub.requests().front().m_target, "/v1/hosts");
}

// Guards against reading the whole list each second, which at 1,000 workers exceeds the traffic budget for control messages.
TEST(HttpHostListTest, AnUnchangedListIsNotSentAgain)
{
    HttpStub stub;
    stub.respondWith([](const HttpRequest &request) -> std::optional<HttpResponse> {
        if (request.field("If-None-Match") == "\"5\"") {
            return HttpResponse{.m_status = 304, .m_fields = {}, .m_body = {}};
        }
        HttpResponse response = jsonResponse(200, listing(worker));
        response.m_fields.push_back({"ETag", "\"5\""});
        return response;
    });
    HttpHostList list(stub.client(), stub.endpoint(), Milliseconds(60'000));
    const auto fetch = [&list] {
        return HttpStub::await<Result<HostListing>>([&list](auto callback) {
            list.fetch(std::move(callback));
        });
    };
    const auto first = fetch();
    const auto second = fetch();
    ASSERT_TRUE(first && second);
    EXPECT_EQ(second->m_hosts, first->m_hosts);
    EXPECT_EQ(stub.requests().at(1).field("If-None-Match"), "\"5\"");
}

// Guards against a malformed listing that ends the process or hides hosts.
TEST(HttpHostListTest, MalformedListingsNameTheMember)
{
    const auto errorOf = [](std::string_view body) {
        const auto result = decodeHostListing(body);
        return result ? std::string("valid") : result.error().m_message;
    };
    const std::string start = "GET /v1/hosts: malformed answer: ";
    EXPECT_EQ(errorOf("[]"), start + "expected one JSON object");
    EXPECT_EQ(errorOf(R"({"generation":1})"), start + "hosts: found nothing, expected an array of objects");
    EXPECT_EQ(errorOf(listing(replaced(worker, "80", "70000"))), start + "hosts[0].port: found 70000, expected an integer, 1 to 65535");
    EXPECT_EQ(errorOf(listing(replaced(worker, "10.0.0.1", "host"))), start + "hosts[0].address: found \"host\", expected an IP address");
    EXPECT_EQ(errorOf(listing(replaced(worker, "leaving", "gone"))), start + "hosts[0].state: found \"gone\", expected \"live\" or \"leaving\"");
    EXPECT_EQ(errorOf(listing(replaced(worker, "16000", "1.5"))), start + "hosts[0].cpu_millis: found 1.5, expected an integer, 0 to 1000000000000");
    EXPECT_EQ(errorOf(listing(replaced(entry, R"("frame_port":82,)", ""))), start + "hosts[0].frame_port: found nothing, expected an integer, 1 to 65535");
    EXPECT_EQ(errorOf(listing(std::string(entry) + "," + std::string(entry))), start + "hosts[1].name: found \"e1\", expected a name that no other host has");
}
