#include "burdockspur/link/frameclient.hpp"
#include "burdockspur/link/framecodec.hpp"
#include "burdockspur/link/frameserver.hpp"
#include "burdockspur/link/peermessage.hpp"
#include "linktesting.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace Burdockspur;
using namespace Burdockspur::Testing;

namespace
{
struct Received {
    LinkId m_link;
    PeerMessage m_message;
};

struct StateChange {
    LinkId m_link;
    bool m_isOpen;
};

class FrameLinkTest : public testing::Test
{
protected:
    FrameLinkTest()
    {
        requireApplication();
        // Some tests count heartbeats, so they are frequent; links without traffic are closed only in the tests that shorten the timeout.
        m_limits.m_heartbeatInterval = Milliseconds(20);
        m_limits.m_minReconnectDelay = Milliseconds(10);
        m_limits.m_maxReconnectDelay = Milliseconds(40);
        m_limits.m_silenceTimeout = std::chrono::hours(1);
    }

    auto startServer(std::uint16_t port = 0) -> void
    {
        m_server = std::make_unique<FrameServer>(
            m_limits,
            [this](LinkId link, PeerMessage &&message) {
                m_heartbeats += std::holds_alternative<Heartbeat>(message.m_body) ? 1 : 0;
                m_serverMessages.push_back({link, std::move(message)});
            },
            [this](LinkId link, bool isOpen) {
                m_serverStates.push_back({link, isOpen});
            });
        const auto listening = m_server->listen("127.0.0.1", port);
        ASSERT_TRUE(listening) << listening.error().m_message;
        m_port = *listening;
    }

    auto startClient(std::uint16_t port) -> void
    {
        m_client = std::make_unique<FrameClient>(
            m_limits,
            "127.0.0.1",
            port,
            [this](PeerMessage &&message) {
                m_clientMessages.push_back(std::move(message));
            },
            [this](bool isOpen) {
                m_clientStates.push_back(isOpen);
            });
    }

    auto waitForClientStates(std::size_t count) -> void
    {
        waitUntil([&] {
            return m_clientStates.size() >= count;
        });
    }

    auto waitForServerStates(std::size_t count) -> void
    {
        waitUntil([&] {
            return m_serverStates.size() >= count;
        });
    }

    /// @returns the first message received by the server that is not a heartbeat
    auto firstServerMessage() -> const Received &
    {
        const auto isNotHeartbeat = [](const Received &received) {
            return !std::holds_alternative<Heartbeat>(received.m_message.m_body);
        };
        waitUntil([&] {
            return std::ranges::any_of(m_serverMessages, isNotHeartbeat);
        });
        return *std::ranges::find_if(m_serverMessages, isNotHeartbeat);
    }

    FrameLimits m_limits;
    std::unique_ptr<FrameServer> m_server;
    std::unique_ptr<FrameClient> m_client;
    std::uint16_t m_port = 0;
    std::vector<Received> m_serverMessages;
    std::vector<StateChange> m_serverStates;
    std::vector<PeerMessage> m_clientMessages;
    std::vector<bool> m_clientStates;
    int m_heartbeats = 0;
};

[[nodiscard]] auto query(std::string_view job, std::uint64_t correlation) -> PeerMessage
{
    return {.m_configVersion = 1, .m_correlation = correlation, .m_body = QueryJob{.m_job = std::string(job)}};
}
}

// Guards against messages that are lost, mixed between links or delivered out of order.
TEST_F(FrameLinkTest, MessagesTravelInOrderInBothDirections)
{
    startServer();
    startClient(m_port);
    EXPECT_FALSE(m_client->isOpen());
    EXPECT_FALSE(m_client->send(query("early", 0)));
    waitForClientStates(1);
    EXPECT_TRUE(m_client->isOpen());
    constexpr std::uint64_t total = 500;
    for (std::uint64_t i = 1; i <= total; ++i) {
        ASSERT_TRUE(m_client->send(query("j", i)));
    }
    std::uint64_t next = 1;
    std::size_t checked = 0;
    waitUntil([&] {
        for (; checked < m_serverMessages.size(); ++checked) {
            const Received &received = m_serverMessages[checked];
            if (std::holds_alternative<QueryJob>(received.m_message.m_body)) {
                EXPECT_EQ(received.m_message.m_correlation, next);
                EXPECT_TRUE(m_server->send(received.m_link, query("answer", next)));
                ++next;
            }
        }
        return next > total;
    });
    waitUntil([&] {
        return std::ranges::any_of(m_clientMessages, [](const PeerMessage &message) {
            return message.m_correlation == total;
        });
    });
    EXPECT_EQ(m_server->openLinks(), 1U);
    EXPECT_FALSE(m_server->send(99, query("nobody", 0)));
}

// Guards against a configuration version that is not sent on an otherwise idle link, and against closing idle links.
TEST_F(FrameLinkTest, HeartbeatsCarryTheConfigurationVersion)
{
    startServer();
    startClient(m_port);
    m_client->setConfigVersion(5);
    m_server->setConfigVersion(6);
    waitUntil([&] {
        return m_heartbeats >= 5 && m_clientMessages.size() >= 5;
    });
    EXPECT_EQ(m_serverMessages.back().m_message.m_configVersion, 5U);
    EXPECT_EQ(m_clientMessages.back().m_configVersion, 6U);
    EXPECT_TRUE(std::holds_alternative<Heartbeat>(m_clientMessages.back().m_body));
    EXPECT_EQ(m_clientStates, std::vector<bool>{true});
    EXPECT_EQ(m_serverStates.size(), 1U);
}

// Guards against a bad frame that crashes the server, is accepted, or closes the links of others.
TEST_F(FrameLinkTest, BadFrameClosesItsLinkOnly)
{
    startServer();
    startClient(m_port);
    waitForClientStates(1);
    waitForServerStates(1);
    const std::string good = encodeFrame(query("j", 1));
    std::string badEnvelope = good;
    badEnvelope.replace(4, 4, "\xff\xff\xff\x7f");
    const std::vector<std::string> badFrames{
        std::string("\0\0\0\0", 4),
        std::string("\x01\x00\x10\x00", 4),
        "\xff\xff\xff\xff",
        badEnvelope,
        std::string("\x01\0\0\0x", 5),
    };
    for (const auto &bad : badFrames) {
        const std::size_t states = m_serverStates.size();
        RawPeer peer(m_port);
        std::string bytes = good;
        bytes.append(bad).append(good);
        peer.send(bytes);
        peer.waitForClose();
        waitForServerStates(states + 2);
        EXPECT_TRUE(m_serverStates[states].m_isOpen);
        EXPECT_FALSE(m_serverStates[states + 1].m_isOpen);
        EXPECT_FALSE(m_server->send(m_serverStates[states].m_link, query("j", 1)));
    }
    // One good frame before each bad one, none after it.
    const auto queries = std::ranges::count_if(m_serverMessages, [](const Received &received) {
        return std::holds_alternative<QueryJob>(received.m_message.m_body);
    });
    EXPECT_EQ(static_cast<std::size_t>(queries), badFrames.size());
    EXPECT_EQ(m_server->openLinks(), 1U);
    EXPECT_EQ(m_clientStates, std::vector<bool>{true});
    EXPECT_TRUE(m_client->send(query("still-open", 2)));
}

// Guards against frames that are parsed only when they arrive in one piece.
TEST_F(FrameLinkTest, FrameInSingleBytesIsComplete)
{
    startServer();
    RawPeer peer(m_port);
    for (const char byte : encodeFrame(query("slow", 3)) + encodeFrame(query("next", 4))) {
        peer.send(std::string_view(&byte, 1));
        QCoreApplication::processEvents();
    }
    EXPECT_EQ(std::get<QueryJob>(firstServerMessage().m_message.m_body).m_job, "slow");
    waitUntil([&] {
        return m_serverMessages.back().m_message.m_correlation == 4;
    });
}

// Guards against a connection that silently stops delivering data: the client must close and reopen it.
TEST_F(FrameLinkTest, SilentLinkIsReopenedByTheClient)
{
    m_limits.m_silenceTimeout = Milliseconds(100);
    RawServer silent;
    startClient(silent.port());
    waitForClientStates(4);
    EXPECT_EQ(m_clientStates[0], true);
    EXPECT_EQ(m_clientStates[1], false);
    EXPECT_EQ(m_clientStates[2], true);
    EXPECT_EQ(m_clientStates[3], false);
    EXPECT_GE(silent.peers().size(), 2U);
    // The client sent heartbeats although it received nothing.
    EXPECT_FALSE(silent.peer(0).received().empty());
}

// Guards against links without traffic that use up the server's link limit.
TEST_F(FrameLinkTest, SilentLinkIsClosedByTheServer)
{
    m_limits.m_silenceTimeout = Milliseconds(100);
    startServer();
    RawPeer peer(m_port);
    peer.waitForClose();
    waitForServerStates(2);
    EXPECT_FALSE(m_serverStates[1].m_isOpen);
    EXPECT_EQ(m_server->openLinks(), 0U);
}

// Guards against a client that stops reconnecting when its server restarts or is not running yet.
TEST_F(FrameLinkTest, ClientReconnectsToARestartedServer)
{
    startServer();
    const std::uint16_t port = m_port;
    startClient(port);
    waitForClientStates(1);
    m_server.reset();
    waitForClientStates(2);
    EXPECT_FALSE(m_client->isOpen());
    EXPECT_FALSE(m_client->send(query("closed", 0)));
    startServer(port);
    waitForClientStates(3);
    EXPECT_TRUE(m_client->send(query("again", 1)));
    EXPECT_EQ(std::get<QueryJob>(firstServerMessage().m_message.m_body).m_job, "again");
}

// Guards against unbounded memory use by messages to a peer that does not read.
TEST_F(FrameLinkTest, SendBufferIsBounded)
{
    m_limits.m_maxSendBufferBytes = 200'000;
    startServer();
    const RawPeer peer(m_port, 1);
    waitForServerStates(1);
    const LinkId link = m_serverStates[0].m_link;
    const PeerMessage large = query(std::string(100'000, 'x'), 1);
    std::size_t accepted = 0;
    // The kernel buffers some megabytes before the send buffer fills.
    while (m_server->send(link, large)) {
        ++accepted;
        ASSERT_LT(accepted, 10'000U);
    }
    EXPECT_GT(accepted, 0U);
    EXPECT_EQ(m_server->openLinks(), 1U);
}

// Guards against sending a message above the peer's frame limit, which would close the link on every retry.
TEST_F(FrameLinkTest, OversizedMessageIsNotSent)
{
    m_limits.m_maxFrameBytes = 1000;
    startServer();
    startClient(m_port);
    waitForClientStates(1);
    EXPECT_FALSE(m_client->send(query(std::string(1000, 'x'), 1)));
    EXPECT_TRUE(m_client->isOpen());
    EXPECT_TRUE(m_client->send(query(std::string(500, 'x'), 2)));
    EXPECT_EQ(firstServerMessage().m_message.m_correlation, 2U);
}

// Guards against a server that keeps more links open than its limit.
TEST_F(FrameLinkTest, LinksBeyondTheLimitAreClosed)
{
    m_limits.m_maxLinks = 1;
    startServer();
    startClient(m_port);
    waitForClientStates(1);
    EXPECT_TRUE(m_client->send(query("in-use", 1)));
    EXPECT_EQ(firstServerMessage().m_message.m_correlation, 1U);
    RawPeer beyond(m_port);
    beyond.waitForClose();
    EXPECT_EQ(m_server->openLinks(), 1U);
    EXPECT_EQ(m_serverStates.size(), 1U);
}

// Guards against peers that never complete a frame and keep those of the system out.
TEST_F(FrameLinkTest, LinksWithoutAFrameGiveWayToNewOnes)
{
    m_limits.m_maxLinks = 2;
    startServer();
    std::vector<std::unique_ptr<RawPeer>> crowd;
    for (int i = 0; i < 2; ++i) {
        crowd.push_back(std::make_unique<RawPeer>(m_port));
        crowd.back()->send(encodeFrame(query("incomplete", 1)).substr(0, 10));
    }
    waitForServerStates(2);
    startClient(m_port);
    waitForClientStates(1);
    EXPECT_TRUE(m_client->send(query("ordinary", 2)));
    EXPECT_EQ(firstServerMessage().m_message.m_correlation, 2U);
    EXPECT_EQ(m_server->openLinks(), 2U);
    crowd.front()->waitForClose();
}

// Guards against a process whose memory grows with the incomplete frames of many links, and against an ordinary link that is closed for them.
TEST_F(FrameLinkTest, IncompleteFramesStayWithinTheBudget)
{
    m_limits.m_maxHeldBytes = 4'000'000;
    startServer();
    startClient(m_port);
    waitForClientStates(1);
    EXPECT_TRUE(m_client->send(query("before", 1)));
    EXPECT_EQ(firstServerMessage().m_message.m_correlation, 1U);
    std::string part("\0\0\x08\0", 4);
    part += largeText(512UL * 1024UL - 1);
    std::vector<std::unique_ptr<RawPeer>> crowd;
    for (int i = 0; i < 20; ++i) {
        crowd.push_back(std::make_unique<RawPeer>(m_port));
        crowd.back()->send(part);
    }
    waitUntil([&] {
        return std::ranges::count_if(crowd,
                                     [](const auto &peer) {
                                         return peer->isClosed();
                                     })
            >= 12;
    });
    EXPECT_TRUE(m_client->isOpen());
    EXPECT_TRUE(m_client->send(query("after", 2)));
    waitUntil([&] {
        return std::ranges::any_of(m_serverMessages, [](const Received &received) {
            return received.m_message.m_correlation == 2;
        });
    });
}

// Guards against a handler that is called after its link has closed, and against a crash when a peer leaves
// while the server sends.
TEST_F(FrameLinkTest, PeerMayLeaveWhileTheServerSends)
{
    startServer();
    for (int round = 0; round < 50; ++round) {
        const std::size_t states = m_serverStates.size();
        RawPeer peer(m_port);
        waitForServerStates(states + 1);
        peer.close();
        // The server's event loop has not run since, so the server has not detected the close yet.
        for (int i = 0; i < 100; ++i) {
            m_server->send(m_serverStates[states].m_link, query(std::string(10'000, 'x'), 1));
        }
        waitForServerStates(states + 2);
        EXPECT_FALSE(m_serverStates[states + 1].m_isOpen);
    }
    EXPECT_EQ(m_server->openLinks(), 0U);
}

// Guards against a client that keeps the link open, or does not reconnect, after its server sent a bad frame.
TEST_F(FrameLinkTest, BadFrameFromTheServerReopensTheLink)
{
    RawServer server;
    startClient(server.port());
    server.peer(0).send(encodeFrame(query("good", 1)) + std::string("\0\0\0\0", 4));
    waitForClientStates(3);
    EXPECT_EQ(m_clientStates, (std::vector<bool>{true, false, true}));
    EXPECT_EQ(m_clientMessages.size(), 1U);
    server.peer(1).send(encodeFrame(query("again", 2)));
    waitUntil([&] {
        return m_clientMessages.size() == 2;
    });
}

// Guards against sockets that call into a destroyed server or client.
TEST_F(FrameLinkTest, EndsMayBeDestroyedWhileTheLinkIsOpen)
{
    startServer();
    startClient(m_port);
    waitForClientStates(1);
    waitForServerStates(1);
    EXPECT_TRUE(m_client->send(query(std::string(500'000, 'x'), 1)));
    m_client.reset();
    waitForServerStates(2);
    RawPeer peer(m_port);
    waitForServerStates(3);
    m_server.reset();
    peer.waitForClose();
    EXPECT_EQ(m_clientStates, std::vector<bool>{true});
}
