#include "burdockspur/link/httpserver.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/link/clientguard.hpp"
#include "linktesting.hpp"

#include <gtest/gtest.h>

#include <QTimer>

#include <sys/resource.h>
#include <unistd.h>

using namespace Burdockspur;
using namespace Burdockspur::Testing;

namespace
{
struct Exchange {
    ExchangeId m_id;
    HttpRequest m_request;
};

class HttpServerTest : public testing::Test
{
protected:
    HttpServerTest()
    {
        requireApplication();
    }

    /// Starts a server that collects requests; the test answers them.
    auto startCollecting() -> void
    {
        start([this](ExchangeId id, HttpRequest &&request) {
            m_exchanges.push_back({id, std::move(request)});
        });
    }

    /// Starts a server that answers at once with the target and body of the request.
    auto startEcho() -> void
    {
        start([this](ExchangeId id, HttpRequest &&request) {
            m_server->respond(id, jsonResponse(200, request.m_target + request.m_body));
        });
    }

    auto start(HttpServer::Handler handler) -> void
    {
        m_server = std::make_unique<HttpServer>(m_limits, std::move(handler), m_guard);
        const auto port = m_server->listen("127.0.0.1", 0);
        ASSERT_TRUE(port) << port.error().m_message;
        m_port = *port;
    }

    auto waitForExchanges(std::size_t count) -> void
    {
        waitUntil([&] {
            return m_exchanges.size() >= count;
        });
    }

    /// Sends bytes on a new connection and returns all bytes received until the server closes it.
    auto responseTo(std::string_view bytes) -> std::string
    {
        RawPeer peer(m_port);
        peer.send(bytes);
        peer.waitForClose();
        return peer.received();
    }

    /// Checks that the server still answers a request on a new connection.
    auto expectServes() -> void
    {
        RawPeer peer(m_port);
        const std::size_t seen = m_exchanges.size();
        peer.send("GET /alive HTTP/1.1\r\nHost: a\r\n\r\n");
        waitForExchanges(seen + 1);
        EXPECT_TRUE(m_server->respond(m_exchanges.back().m_id, jsonResponse(200, "alive")));
        peer.waitForText("alive");
        EXPECT_TRUE(peer.received().ends_with("\r\n\r\nalive"));
    }

    /// Lets the clients of the server hold 2 MB, of which a quarter is kept for ordinary ones.
    auto limitClients() -> void
    {
        m_guard = std::make_shared<ClientGuard>(ClientLimits{.m_totalBytes = budgetBytes, .m_keptBytes = budgetBytes / 4});
    }

    /// Waits until the clients hold as little as a number of idle connections.
    auto waitForHeld(std::size_t connections) -> void
    {
        waitUntil([&] {
            return m_guard->counts().m_connections == connections && m_guard->counts().m_heldBytes <= connections * idleBytes;
        });
    }

    static constexpr std::size_t budgetBytes = std::size_t{2} * 1024 * 1024;
    static constexpr std::size_t idleBytes = std::size_t{48} * 1024;

    HttpLimits m_limits;
    std::shared_ptr<ClientGuard> m_guard;
    std::vector<Exchange> m_exchanges;
    std::unique_ptr<HttpServer> m_server;
    std::uint16_t m_port = 0;
};

constexpr std::string_view simpleGet = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
}

// Guards against lost header fields or body bytes when a request arrives one byte at a time.
TEST_F(HttpServerTest, RequestInSingleBytesIsComplete)
{
    startCollecting();
    RawPeer peer(m_port);
    for (const char byte : std::string_view("\r\nPOST /v1/x?y=1 HTTP/1.1\r\nHost: a\r\nX-Name: v w\r\nContent-Length: 5\r\n\r\nhello")) {
        peer.send(std::string_view(&byte, 1));
        QCoreApplication::processEvents();
    }
    waitForExchanges(1);
    const HttpRequest &request = m_exchanges[0].m_request;
    EXPECT_EQ(request.m_method, "POST");
    EXPECT_EQ(request.m_target, "/v1/x?y=1");
    EXPECT_EQ(request.field("x-name"), "v w");
    EXPECT_EQ(request.m_body, "hello");
    EXPECT_TRUE(m_server->respond(m_exchanges[0].m_id, jsonResponse(202, "{}")));
    peer.waitForText("{}");
    EXPECT_TRUE(peer.received().starts_with("HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: 2\r\n"));
    EXPECT_EQ(m_server->openExchanges(), 0U);
}

// Guards against an aborted exchange whose connection stays open, and against answers to its other requests.
TEST_F(HttpServerTest, AbortClosesTheConnectionWithoutAnAnswer)
{
    start([this](ExchangeId id, HttpRequest &&request) {
        m_exchanges.push_back({id, std::move(request)});
        if (m_exchanges.size() == 2) {
            m_server->abort(id);
        }
    });
    RawPeer peer(m_port);
    peer.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n");
    peer.waitForClose();
    EXPECT_EQ(peer.received(), "");
    EXPECT_EQ(m_exchanges.size(), 2U);
    EXPECT_FALSE(m_server->respond(m_exchanges[0].m_id, jsonResponse(200, "late")));
    EXPECT_EQ(m_server->openExchanges(), 0U);
    EXPECT_EQ(m_server->openConnections(), 0U);
    expectServes();
}

// Guards against sending pipelined responses in the order of respond(): a caller would assign them to the wrong requests.
TEST_F(HttpServerTest, PipelinedAnswersKeepTheOrderOfRequests)
{
    startCollecting();
    RawPeer peer(m_port);
    peer.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    waitForExchanges(3);
    EXPECT_EQ(m_server->openExchanges(), 3U);
    EXPECT_TRUE(m_server->respond(m_exchanges[2].m_id, jsonResponse(200, "answer-3")));
    EXPECT_TRUE(m_server->respond(m_exchanges[1].m_id, jsonResponse(200, "answer-2")));
    EXPECT_FALSE(m_server->respond(m_exchanges[1].m_id, jsonResponse(200, "again-2")));
    EXPECT_TRUE(m_server->respond(m_exchanges[0].m_id, jsonResponse(200, "answer-1")));
    EXPECT_FALSE(m_server->respond(m_exchanges[0].m_id, jsonResponse(200, "again-1")));
    peer.waitForText("answer-3");
    const std::string &text = peer.received();
    EXPECT_LT(text.find("answer-1"), text.find("answer-2"));
    EXPECT_LT(text.find("answer-2"), text.find("answer-3"));
    EXPECT_FALSE(text.contains("again"));
}

// Guards against an unbounded number of requests in progress on one connection, and against a paused connection that
// never resumes.
TEST_F(HttpServerTest, ReadingPausesBeyondThePipelineLimitAndResumes)
{
    m_limits.m_maxPipelined = 4;
    startCollecting();
    constexpr std::size_t total = 5'000;
    std::string requests;
    for (std::size_t i = 0; i < total; ++i) {
        requests += "GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: a\r\nX-Fill: " + std::string(60, 'x') + "\r\n\r\n";
    }
    RawPeer peer(m_port);
    peer.send(requests);
    for (std::size_t next = 0; next < total; ++next) {
        waitForExchanges(next + 1);
        ASSERT_LE(m_server->openExchanges(), 4U);
        ASSERT_EQ(m_exchanges[next].m_request.m_target, "/" + std::to_string(next));
        ASSERT_TRUE(m_server->respond(m_exchanges[next].m_id, jsonResponse(200, "<" + std::to_string(next) + ">")));
    }
    peer.waitForText("<4999>");
    EXPECT_EQ(countOf(peer.received(), "HTTP/1.1 200 OK"), total);
}

// Guards against malformed requests that crash the server, are accepted, or are rejected without a stable code.
TEST_F(HttpServerTest, MalformedRequestsGetStableCodes)
{
    m_limits.m_maxHeaderBytes = 1024;
    m_limits.m_maxBodyBytes = 1000;
    startCollecting();
    struct Case {
        std::string m_request;
        std::string_view m_status;
        std::string_view m_code;
    };
    const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
    std::string manyFields = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 200; ++i) {
        manyFields += "X-" + std::to_string(i) + ": 0123456789\r\n";
    }
    const std::vector<Case> cases{
        {"\x16\x03\x01\x02garbage", "400", "bad_request"},
        {"GET\r\n\r\n", "400", "bad_request"},
        {"GET / HTTP/3.7\r\n\r\n", "400", "bad_request"},
        {post + "Content-Length: -5\r\n\r\n", "400", "bad_request"},
        {post + "Content-Length: 99999999999999999999999\r\n\r\n", "400", "bad_request"},
        {post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", "400", "bad_request"},
        {post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400", "bad_request"},
        {post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", "400", "bad_request"},
        {post + "Transfer-Encoding: gzip\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n", "400", "bad_request"},
        {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400", "bad_request"},
        {post + "Bad Name: 1\r\n\r\n", "400", "bad_request"},
        {"GET / HTTP/1.1\r\nX: " + std::string(5000, 'x'), "431", "header_too_large"},
        {"GET /" + std::string(5000, 'x'), "431", "header_too_large"},
        {manyFields, "431", "header_too_large"},
        {post + "Transfer-Encoding: chunked\r\n\r\n5;" + std::string(9000, 'x'), "431", "header_too_large"},
        {post + "Content-Length: 1001\r\n\r\n", "413", "body_too_large"},
        {post + "Content-Length: 1001\r\n\r\n" + std::string(1001, 'x'), "413", "body_too_large"},
        {post + "Content-Length: 6\r\nContent-Length: 6, 7\r\n\r\nhello!", "400", "bad_request"},
        {post + "Expect: 100-continue\r\nContent-Length: 1001\r\n\r\n", "413", "body_too_large"},
        {post + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'x') + "\r\n", "413", "body_too_large"},
    };
    for (const auto &entry : cases) {
        const std::string answer = responseTo(entry.m_request);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + std::string(entry.m_status))) << entry.m_request.substr(0, 200) << "\n" << answer;
        EXPECT_TRUE(answer.contains("{\"code\":\"" + std::string(entry.m_code) + "\",\"message\":\"")) << answer;
        EXPECT_TRUE(answer.ends_with(",\"outcome\":\"refused\"}")) << answer;
        EXPECT_EQ(countOf(answer, "HTTP/1.1"), 1U) << answer;
    }
    EXPECT_TRUE(m_exchanges.empty());
    expectServes();
}

// Guards against an unbounded header that is sent in pieces, each below the limit.
TEST_F(HttpServerTest, HeaderInPiecesIsBounded)
{
    m_limits.m_maxHeaderBytes = 1024;
    startCollecting();
    RawPeer peer(m_port);
    peer.send("GET / HTTP/1.1\r\n");
    for (int i = 0; i < 100'000 && !peer.received().contains("431") && !peer.isClosed(); ++i) {
        peer.send("X-Name: value\r\n");
        QCoreApplication::processEvents();
    }
    peer.waitForClose();
    EXPECT_TRUE(peer.received().contains("header_too_large"));
}

// Guards against a 413 response that is lost because the connection is reset while the caller is still sending.
TEST_F(HttpServerTest, OversizedBodyIsAnsweredWhileItIsStillSent)
{
    startCollecting();
    const std::string answer = responseTo("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20000000\r\n\r\n" + largeText(20'000'000));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 413")) << answer;
    expectServes();
}

// Guards against an error response that is sent before the responses to earlier requests of the connection.
TEST_F(HttpServerTest, ErrorAnswerWaitsForEarlierAnswers)
{
    startCollecting();
    RawPeer peer(m_port);
    peer.send(std::string(simpleGet) + "garbage\r\n\r\n");
    waitForExchanges(1);
    EXPECT_TRUE(m_server->respond(m_exchanges[0].m_id, jsonResponse(200, "first")));
    peer.waitForClose();
    EXPECT_LT(peer.received().find("first"), peer.received().find("bad_request"));
}

// Guards against crashes and wrong counts when a caller disconnects inside a header or body, before its response, or
// while its response is written.
TEST_F(HttpServerTest, CallerMayLeaveAtAnyMoment)
{
    startCollecting();
    for (const std::string_view part : {"", "GE", "GET / HTTP/1.1\r\nHo", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"}) {
        RawPeer peer(m_port);
        peer.send(part);
        waitUntil([&] {
            return m_server->openConnections() == 1;
        });
        peer.close();
        waitUntil([&] {
            return m_server->openConnections() == 0;
        });
    }
    EXPECT_TRUE(m_exchanges.empty());
    {
        RawPeer peer(m_port);
        peer.send(std::string(simpleGet) + std::string(simpleGet));
        waitForExchanges(2);
        peer.close();
        waitUntil([&] {
            return m_server->openConnections() == 0;
        });
        EXPECT_EQ(m_server->openExchanges(), 0U);
        EXPECT_FALSE(m_server->respond(m_exchanges[1].m_id, jsonResponse(200, "{}")));
        EXPECT_FALSE(m_server->respond(m_exchanges[0].m_id, jsonResponse(200, "{}")));
    }
    {
        RawPeer peer(m_port, 1);
        peer.send(simpleGet);
        waitForExchanges(3);
        EXPECT_TRUE(m_server->respond(m_exchanges[2].m_id, jsonResponse(200, largeText(30'000'000))));
        peer.close();
        waitUntil([&] {
            return m_server->openConnections() == 0;
        });
    }
    expectServes();
}

// Guards against a crash when the server detects a closed connection only while writing a response.
TEST_F(HttpServerTest, RespondAfterAnUnnoticedCloseDoesNotCrash)
{
    startCollecting();
    RawPeer peer(m_port);
    peer.send(std::string(simpleGet) + std::string(simpleGet));
    waitForExchanges(2);
    peer.close();
    // The server's event loop has not run since, so the server has not detected the close yet.
    (void)m_server->respond(m_exchanges[0].m_id, jsonResponse(200, std::string(1'000'000, 'x')));
    (void)m_server->respond(m_exchanges[1].m_id, jsonResponse(200, std::string(1'000'000, 'x')));
    waitUntil([&] {
        return m_server->openConnections() == 0;
    });
    EXPECT_EQ(m_server->openExchanges(), 0U);
    expectServes();
}

// Guards against crashes and connection leaks when many callers disconnect at random moments.
TEST_F(HttpServerTest, ManyConnectionsClosedAtRandomMoments)
{
    constexpr std::uint64_t seed = 20261204;
    constexpr std::size_t total = 3'000;
    constexpr std::size_t atOnce = 150;
    RandomSource random(seed);
    startCollecting();
    const std::string request = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n0123456789" + std::string(simpleGet);
    std::vector<std::unique_ptr<RawPeer>> peers;
    std::size_t opened = 0;
    std::size_t answered = 0;
    while (opened < total || !peers.empty()) {
        if (opened < total && peers.size() < atOnce) {
            peers.push_back(std::make_unique<RawPeer>(m_port));
            peers.back()->send(std::string_view(request).substr(0, random.below(static_cast<std::uint32_t>(request.size() + 1))));
            ++opened;
        }
        if (random.below(3) == 0 || opened == total) {
            const std::size_t closedIndex = random.below(static_cast<std::uint32_t>(peers.size()));
            peers[closedIndex]->close();
            std::swap(peers[closedIndex], peers.back());
            peers.pop_back();
        }
        if (random.below(2) == 0) {
            QCoreApplication::processEvents();
        }
        for (; answered < m_exchanges.size() && random.below(4) != 0; ++answered) {
            (void)m_server->respond(m_exchanges[answered].m_id, jsonResponse(200, std::string(random.below(100'000), 'x')));
        }
    }
    waitUntil([&] {
        return m_server->openConnections() == 0;
    });
    EXPECT_EQ(m_server->openExchanges(), 0U);
    expectServes();
}

// Guards against a slow sender that keeps a connection open forever.
TEST_F(HttpServerTest, SlowSenderGetsTimeout)
{
    m_limits.m_requestTimeout = Milliseconds(50);
    startCollecting();
    const std::string answer = responseTo("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n123");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 408 ")) << answer;
    EXPECT_TRUE(answer.contains("\"code\":\"timeout\"")) << answer;
    expectServes();
}

// Guards against connections without requests that stay open forever.
TEST_F(HttpServerTest, IdleConnectionIsClosed)
{
    m_limits.m_idleTimeout = Milliseconds(50);
    startCollecting();
    EXPECT_EQ(responseTo(""), "");
    EXPECT_EQ(responseTo("\r\n\r\n"), "");
}

// Guards against a caller that does not read: its responses must not exhaust memory, and its connection must be closed.
TEST_F(HttpServerTest, SlowReaderIsBoundedAndClosed)
{
    m_limits.m_writeTimeout = Milliseconds(200);
    std::size_t handled = 0;
    start([&](ExchangeId id, HttpRequest &&) {
        ++handled;
        EXPECT_TRUE(m_server->respond(id, jsonResponse(200, std::string(1'000'000, 'x'))));
    });
    RawPeer peer(m_port, 1);
    std::string requests;
    constexpr std::size_t total = 2'000;
    for (std::size_t i = 0; i < total; ++i) {
        requests += simpleGet;
    }
    peer.send(requests);
    waitUntil([&] {
        return handled > 0;
    });
    waitUntil([&] {
        return m_server->openConnections() == 0;
    });
    EXPECT_LT(handled, 200U);
}

// Guards against connections above the limit that affect other callers or wait without a response.
TEST_F(HttpServerTest, ConnectionsBeyondTheLimitAreRefused)
{
    m_limits.m_maxConnections = 2;
    startCollecting();
    // Connections whose requests are unanswered are in use, so no new one may take their place.
    RawPeer first(m_port);
    first.send(simpleGet);
    waitForExchanges(1);
    RawPeer second(m_port);
    second.send(simpleGet);
    waitForExchanges(2);
    constexpr int beyond = 100;
    std::vector<std::unique_ptr<RawPeer>> refused;
    refused.reserve(beyond);
    for (int i = 0; i < beyond; ++i) {
        refused.push_back(std::make_unique<RawPeer>(m_port));
    }
    for (const auto &peer : refused) {
        peer->waitForClose();
        EXPECT_TRUE(peer->received().starts_with("HTTP/1.1 503 ")) << peer->received();
        EXPECT_TRUE(peer->received().contains("\"code\":\"overloaded\""));
    }
    EXPECT_EQ(m_server->openConnections(), 2U);
    EXPECT_EQ(m_exchanges.size(), 2U);
    EXPECT_TRUE(m_server->respond(m_exchanges[0].m_id, jsonResponse(200, "served")));
    first.waitForText("served");
    second.close();
    waitUntil([&] {
        return m_server->openConnections() == 1;
    });
    expectServes();
}

// Guards against a caller that never gets 100 Continue, and against sending it before earlier responses.
TEST_F(HttpServerTest, ContinueIsSentInOrder)
{
    startCollecting();
    RawPeer peer(m_port);
    peer.send(std::string(simpleGet) + "POST /b HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    waitForExchanges(1);
    EXPECT_TRUE(m_server->respond(m_exchanges[0].m_id, jsonResponse(200, "first")));
    peer.waitForText("100 Continue\r\n\r\n");
    EXPECT_LT(peer.received().find("first"), peer.received().find("100 Continue"));
    peer.send("body");
    waitForExchanges(2);
    EXPECT_EQ(m_exchanges[1].m_request.m_body, "body");
    EXPECT_TRUE(m_server->respond(m_exchanges[1].m_id, jsonResponse(200, "second")));
    peer.waitForText("second");
    EXPECT_EQ(countOf(peer.received(), "100 Continue"), 1U);
}

// Guards against a body in the response to HEAD, which the caller would parse as the next response.
TEST_F(HttpServerTest, HeadIsAnsweredWithoutBody)
{
    startEcho();
    const std::string answer = responseTo("HEAD /secret HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(answer.contains("Content-Length: 7\r\n")) << answer;
    EXPECT_TRUE(answer.contains("Connection: close\r\n")) << answer;
    EXPECT_TRUE(answer.ends_with("\r\n\r\n")) << answer;
}

// Guards against handling requests after one with Connection: close, and against keeping the connection of an HTTP/1.0
// caller open.
TEST_F(HttpServerTest, ConnectionEndsAfterCloseRequest)
{
    startEcho();
    const std::string answer = responseTo("GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(countOf(answer, "HTTP/1.1 200"), 1U) << answer;
    EXPECT_TRUE(responseTo("GET /1 HTTP/1.0\r\n\r\n").contains("Connection: close\r\n"));
}

// Guards against response splitting by line breaks in a field value.
TEST_F(HttpServerTest, UnsafeFieldsAreDropped)
{
    start([this](ExchangeId id, HttpRequest &&) {
        HttpResponse response = jsonResponse(200, "{}");
        response.m_fields.push_back({"X-Name", "a\r\nInjected: 1"});
        response.m_fields.push_back({"Content-Length", "99"});
        m_server->respond(id, std::move(response));
    });
    const std::string answer = responseTo("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    EXPECT_FALSE(answer.contains("Injected")) << answer;
    EXPECT_EQ(countOf(answer, "Content-Length"), 1U) << answer;
}

// Guards against a drain that interrupts requests in progress or never finishes.
TEST_F(HttpServerTest, DrainAnswersWhatIsInProgress)
{
    startCollecting();
    RawPeer busy(m_port);
    RawPeer partial(m_port);
    RawPeer idle(m_port);
    busy.send(simpleGet);
    partial.send("POST /p HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
    waitForExchanges(1);
    waitUntil([&] {
        return m_server->openConnections() == 3;
    });
    m_server->beginDrain();
    partial.send("cd");
    waitForExchanges(2);
    EXPECT_TRUE(m_server->respond(m_exchanges[0].m_id, jsonResponse(200, "busy")));
    EXPECT_TRUE(m_server->respond(m_exchanges[1].m_id, jsonResponse(200, "partial")));
    busy.waitForClose();
    partial.waitForClose();
    idle.waitForClose();
    EXPECT_TRUE(busy.received().contains("Connection: close\r\n")) << busy.received();
    EXPECT_TRUE(busy.received().ends_with("busy"));
    EXPECT_TRUE(partial.received().ends_with("partial"));
    EXPECT_EQ(idle.received(), "");
    waitUntil([&] {
        return m_server->openConnections() == 0;
    });
    RawPeer late(m_port);
    late.waitForClose();
    EXPECT_EQ(late.received(), "");
}

// Guards against a chunked body that is truncated or contains chunk framing.
TEST_F(HttpServerTest, ChunkedBodyIsDecoded)
{
    startEcho();
    const std::string request = "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                                "5;name=value\r\nhello\r\n1\r\n \r\n5\r\nworld\r\n0\r\nX-Trailer: 1\r\n\r\n";
    EXPECT_TRUE(responseTo(request).ends_with("/chello world"));
}

// Guards against a server that stops accepting for good after its process ran out of file descriptors.
TEST_F(HttpServerTest, AcceptingResumesAfterDescriptorsWereExhausted)
{
    startCollecting();
    RawPeer peer(m_port);
    rlimit original{};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &original), 0);
    // A new descriptor gets the lowest free number; with that number as the limit, accept() fails.
    const int lowestFree = ::dup(STDERR_FILENO);
    ASSERT_GE(lowestFree, 0);
    ::close(lowestFree);
    const rlimit exhausted{.rlim_cur = static_cast<rlim_t>(lowestFree), .rlim_max = original.rlim_max};
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &exhausted), 0);
    for (int i = 0; i < 100; ++i) {
        QCoreApplication::processEvents();
    }
    EXPECT_EQ(m_server->openConnections(), 0U);
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &original), 0);
    peer.send(simpleGet);
    waitForExchanges(1);
    EXPECT_TRUE(m_server->respond(m_exchanges[0].m_id, jsonResponse(200, "accepted")));
    peer.waitForText("accepted");
}

// Guards against sockets that call into a destroyed server, in each state of a connection.
TEST_F(HttpServerTest, ServerMayBeDestroyedWithOpenConnections)
{
    startCollecting();
    RawPeer idle(m_port);
    RawPeer partial(m_port);
    RawPeer waiting(m_port);
    RawPeer reading(m_port, 1);
    RawPeer lingering(m_port);
    partial.send("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
    lingering.send("garbage\r\n\r\n");
    lingering.waitForText("bad_request");
    reading.send("GET /reading HTTP/1.1\r\n\r\n");
    waitForExchanges(1);
    EXPECT_TRUE(m_server->respond(m_exchanges[0].m_id, jsonResponse(200, largeText(30'000'000))));
    waiting.send(simpleGet);
    waitForExchanges(2);
    m_server.reset();
    idle.waitForClose();
    partial.waitForClose();
    waiting.waitForClose();
    EXPECT_EQ(waiting.received(), "");
}

// Guards against a process whose memory grows with the incomplete bodies of many clients, and against an ordinary caller who is refused
// because of them.
TEST_F(HttpServerTest, IncompleteBodiesStayWithinTheBudget)
{
    limitClients();
    startCollecting();
    const std::string part = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n" + largeText(299'999);
    std::vector<std::unique_ptr<RawPeer>> crowd;
    for (int i = 0; i < 20; ++i) {
        crowd.push_back(std::make_unique<RawPeer>(m_port));
        crowd.back()->send(part);
    }
    waitUntil([&] {
        EXPECT_LE(m_guard->counts().m_heldBytes, budgetBytes);
        return m_guard->counts().m_closedForMemory >= 10;
    });
    expectServes();
    crowd.clear();
    waitForHeld(0);
}

// Guards against small chunks that cost several times their size and are counted by their size.
TEST_F(HttpServerTest, ChunksOfOneByteStayWithinTheBudget)
{
    limitClients();
    startCollecting();
    std::string chunks = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 150'000; ++i) {
        chunks += "1\r\nx\r\n";
    }
    std::vector<std::unique_ptr<RawPeer>> crowd;
    for (int i = 0; i < 20; ++i) {
        crowd.push_back(std::make_unique<RawPeer>(m_port));
        crowd.back()->send(chunks);
    }
    waitUntil([&] {
        EXPECT_LE(m_guard->counts().m_heldBytes, budgetBytes);
        return m_guard->counts().m_closedForMemory >= 5;
    });
    expectServes();
}

// Guards against a process whose memory grows with answers that their callers do not read.
TEST_F(HttpServerTest, UnreadAnswersStayWithinTheBudget)
{
    limitClients();
    start([this](ExchangeId id, HttpRequest &&request) {
        m_server->respond(id, jsonResponse(200, request.m_target == "/large" ? largeText(200'000) : "alive"));
    });
    std::vector<std::unique_ptr<RawPeer>> crowd;
    std::string requests;
    for (int i = 0; i < 200; ++i) {
        requests += "GET /large HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    for (int i = 0; i < 20; ++i) {
        crowd.push_back(std::make_unique<RawPeer>(m_port, 1));
        crowd.back()->send(requests);
    }
    waitUntil([&] {
        EXPECT_LE(m_guard->counts().m_heldBytes, budgetBytes);
        return m_guard->counts().m_closedForMemory >= 3;
    });
    EXPECT_TRUE(responseTo("GET /small HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").ends_with("\r\n\r\nalive"));
}

// Guards against requests under way without a bound, and against a refusal of a request that the handler has seen.
TEST_F(HttpServerTest, RequestsUnderWayBeyondTheBudgetAreRefusedBeforeTheyRun)
{
    limitClients();
    startCollecting();
    const std::string request = "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + largeText(100'000);
    std::vector<std::unique_ptr<RawPeer>> crowd;
    std::size_t refused = 0;
    for (std::size_t i = 0; i < 12; ++i) {
        crowd.push_back(std::make_unique<RawPeer>(m_port));
        crowd.back()->send(request);
        waitUntil([&] {
            return m_exchanges.size() + m_guard->counts().m_refusedRequests == i + 1;
        });
        if (m_guard->counts().m_refusedRequests > refused) {
            ++refused;
            crowd.back()->waitForClose();
            EXPECT_TRUE(crowd.back()->received().starts_with("HTTP/1.1 503 ")) << crowd.back()->received();
            EXPECT_TRUE(crowd.back()->received().contains("\r\nRetry-After: 1\r\n"));
            EXPECT_TRUE(crowd.back()->received().contains(R"("outcome":"refused")"));
        }
    }
    EXPECT_GT(refused, 0U);
    EXPECT_EQ(m_exchanges.size(), 12U - refused);
    expectServes();
    for (const auto &exchange : m_exchanges) {
        m_server->respond(exchange.m_id, jsonResponse(200, "{}"));
    }
    crowd.clear();
    waitForHeld(0);
}

// Guards against memory of requests whose callers have left that is no longer counted, or counted for ever.
TEST_F(HttpServerTest, ARequestCountsUntilItsAnswerAlsoWhenItsCallerHasLeft)
{
    limitClients();
    startCollecting();
    auto peer = std::make_unique<RawPeer>(m_port);
    peer->send("POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + largeText(100'000));
    waitForExchanges(1);
    peer.reset();
    waitUntil([&] {
        return m_server->openConnections() == 0;
    });
    EXPECT_GE(m_guard->counts().m_heldBytes, 100'000U);
    EXPECT_FALSE(m_server->respond(m_exchanges[0].m_id, jsonResponse(200, "{}")));
    EXPECT_EQ(m_guard->counts().m_heldBytes, 0U);
}

// Guards against a crowd at one port that takes the memory of the others, e.g. of the port for readiness checks.
TEST_F(HttpServerTest, ServersShareABudget)
{
    limitClients();
    startCollecting();
    HttpServer other(m_limits, [](ExchangeId, HttpRequest &&) {}, m_guard);
    const auto port = other.listen("127.0.0.1", 0);
    ASSERT_TRUE(port);
    std::vector<std::unique_ptr<RawPeer>> crowd;
    for (const std::uint16_t crowdedPort : {*port, m_port}) {
        for (int i = 0; i < 20; ++i) {
            crowd.push_back(std::make_unique<RawPeer>(crowdedPort));
            crowd.back()->send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n" + largeText(299'999));
        }
    }
    waitUntil([&] {
        EXPECT_LE(m_guard->counts().m_heldBytes, budgetBytes);
        return m_guard->counts().m_closedForMemory >= 20;
    });
    expectServes();
}

// Guards against silent connections that keep all descriptors, so that ordinary callers are refused until the idle timeout.
TEST_F(HttpServerTest, AnUnusedConnectionGivesWayWhenTheServerIsFull)
{
    m_limits.m_maxConnections = 2;
    limitClients();
    startCollecting();
    RawPeer first(m_port);
    RawPeer second(m_port);
    const TimePoint opened = Clock::now();
    waitUntil([&] {
        return m_server->openConnections() == 2;
    });
    QTimer timer;
    timer.start(100);
    waitUntil([&] {
        return Clock::now() - opened > std::chrono::milliseconds(1'200);
    });
    expectServes();
    EXPECT_EQ(m_guard->counts().m_closedForDescriptor, 1U);
}

// Guards against a full server that refuses a complete request because incomplete ones, which connect again and again, hold all connections.
TEST_F(HttpServerTest, ACrowdThatConnectsAgainDoesNotKeepOthersOut)
{
    m_limits.m_maxConnections = 8;
    limitClients();
    startEcho();
    std::vector<std::unique_ptr<RawPeer>> crowd(20);
    const auto connectAgain = [&] {
        for (auto &peer : crowd) {
            if (!peer || peer->isClosed()) {
                peer = std::make_unique<RawPeer>(m_port);
                peer->send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx");
            }
        }
    };
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, &timer, connectAgain);
    connectAgain();
    timer.start(1);
    waitUntil([&] {
        return m_guard->counts().m_closedForDescriptor > 0;
    });
    for (int i = 0; i < 5; ++i) {
        EXPECT_TRUE(responseTo("GET /alive HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").ends_with("\r\n\r\n/alive"));
    }
    EXPECT_EQ(m_guard->counts().m_refusedConnections, 0U);
}

// Guards against clients that read no answer and keep others out of a port with few connections, such as that of the metrics.
TEST_F(HttpServerTest, ReadersThatDoNotReadGiveWay)
{
    m_limits.m_maxConnections = 4;
    start([this](ExchangeId id, HttpRequest &&request) {
        m_server->respond(id, jsonResponse(200, request.m_target == "/large" ? largeText(10'000'000) : "alive"));
    });
    std::vector<std::unique_ptr<RawPeer>> crowd;
    for (int i = 0; i < 4; ++i) {
        crowd.push_back(std::make_unique<RawPeer>(m_port, 1));
        crowd.back()->send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    waitUntil([&] {
        return m_server->openConnections() == 4 && m_server->openExchanges() == 0;
    });
    EXPECT_TRUE(responseTo("GET /small HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").ends_with("\r\n\r\nalive"));
}
