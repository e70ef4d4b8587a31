#include "burdockspur/operations/adminserver.hpp"
#include "burdockspur/operations/metrics.hpp"

#include "linktesting.hpp"

#include <gtest/gtest.h>
#include <prometheus/counter.h>

using namespace Burdockspur;
using namespace Burdockspur::Testing;

namespace
{
class AdminServerTest : public testing::Test
{
protected:
    AdminServerTest()
    {
        requireApplication();
        m_port = m_admin.listen("127.0.0.1", 0).value();
    }

    auto call(std::string_view method, std::string_view path) -> std::string
    {
        RawPeer peer(m_port);
        peer.send(std::string(method) + " " + std::string(path) + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        peer.waitForClose();
        return peer.received();
    }

    Metrics m_metrics;
    int m_drains = 0;
    bool m_canDrain = true;
    AdminServer m_admin{m_metrics,
                        [] {
                            return R"({"shards":[]})";
                        },
                        [this] {
                            ++m_drains;
                            return m_canDrain;
                        }};
    std::uint16_t m_port = 0;
};
}

// Guards against an admin port that does not serve the metrics or the status, or that begins a drain twice.
TEST_F(AdminServerTest, ServesMetricsStatusAndDrain)
{
    m_metrics.counter("burdockspur_sample_total", "Sample").Increment();
    EXPECT_TRUE(call("GET", "/metrics").contains("burdockspur_sample_total 1"));
    EXPECT_TRUE(call("GET", "/v1/status").ends_with("{\"shards\":[]}"));
    EXPECT_EQ(m_drains, 0);
    EXPECT_TRUE(call("POST", "/v1/drain").starts_with("HTTP/1.1 202 "));
    EXPECT_TRUE(call("POST", "/v1/drain").starts_with("HTTP/1.1 202 "));
    EXPECT_EQ(m_drains, 1);
}

// Guards against a failed start of a drain that is reported as success and never retried.
TEST_F(AdminServerTest, DrainThatCouldNotBeginIsRefusedAndRetried)
{
    m_canDrain = false;
    EXPECT_TRUE(call("POST", "/v1/drain").starts_with("HTTP/1.1 503 "));
    m_canDrain = true;
    EXPECT_TRUE(call("POST", "/v1/drain").starts_with("HTTP/1.1 202 "));
    EXPECT_TRUE(call("POST", "/v1/drain").starts_with("HTTP/1.1 202 "));
    EXPECT_EQ(m_drains, 2);
}

// Guards against a drain that a GET request begins, e.g. of a crawler, and against added routes that hide others.
TEST_F(AdminServerTest, UnknownRoutesAndWrongMethodsAreErrors)
{
    m_admin.addRoute("GET", "/v1/queue", [](const HttpRequest &request) {
        return jsonResponse(200, "{\"limit\":\"" + request.query("limit") + "\"}");
    });
    EXPECT_TRUE(call("GET", "/v1/queue?limit=3").ends_with("{\"limit\":\"3\"}"));
    EXPECT_TRUE(call("GET", "/v1/other").ends_with(R"({"code":"unknown_route","message":"there is no /v1/other"})"));
    const auto wrongMethod = call("GET", "/v1/drain");
    EXPECT_TRUE(wrongMethod.starts_with("HTTP/1.1 405 "));
    EXPECT_TRUE(wrongMethod.contains("Allow: POST"));
    EXPECT_EQ(m_drains, 0);
}
