#pragma once

#include <QCoreApplication>
#include <QHostAddress>
#include <QNetworkProxy>
#include <QTcpServer>
#include <QTcpSocket>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur::Testing
{
/// @brief Creates the application object that Qt's event loops need, unless it exists.
inline auto requireApplication() -> void
{
    static int argumentCount = 1;
    static char name[] = "test";
    static char *arguments[] = {name, nullptr};
    static const QCoreApplication application(argumentCount, arguments);
}

/// @brief Runs the event loop until a condition holds; if it never does, the test runner's timeout ends the test.
template<typename Condition>
auto waitUntil(Condition condition) -> void
{
    requireApplication();
    while (!condition()) {
        QCoreApplication::processEvents(QEventLoop::AllEvents | QEventLoop::WaitForMoreEvents);
    }
}

/// @brief TCP connection on which the test itself writes and reads the bytes.
class RawPeer
{
public:
    /// @brief Connects to a server on the loopback address.
    /// @param readBuffer most bytes buffered by Qt; 0 for no limit
    explicit RawPeer(std::uint16_t port, qint64 readBuffer = 0)
        : m_socket(std::make_unique<QTcpSocket>())
    {
        requireApplication();
        m_socket->setProxy(QNetworkProxy::NoProxy);
        m_socket->setReadBufferSize(readBuffer);
        m_socket->connectToHost(QHostAddress::LocalHost, port);
    }

    /// @brief Takes ownership of an accepted connection.
    explicit RawPeer(QTcpSocket *socket)
        : m_socket(socket)
    {
        m_socket->setParent(nullptr);
    }

    /// @brief Waits until the connection attempt has ended, then sends bytes.
    auto send(std::string_view bytes) -> void
    {
        waitUntil([this] {
            return m_socket->state() != QAbstractSocket::ConnectingState && m_socket->state() != QAbstractSocket::HostLookupState;
        });
        m_socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
        m_socket->flush();
    }

    /// @brief All bytes received so far.
    [[nodiscard]] auto received() -> const std::string &
    {
        const QByteArray bytes = m_socket->isOpen() ? m_socket->readAll() : QByteArray();
        m_received.append(bytes.data(), static_cast<std::size_t>(bytes.size()));
        return m_received;
    }

    [[nodiscard]] auto isClosed() const -> bool
    {
        return m_socket->state() == QAbstractSocket::UnconnectedState;
    }

    /// @brief Waits until a text is received or the connection is closed.
    auto waitForText(std::string_view text) -> void
    {
        waitUntil([&] {
            return received().contains(text) || isClosed();
        });
    }

    /// @brief Waits until the connection is closed; received() is then complete.
    auto waitForClose() -> void
    {
        waitUntil([&] {
            (void)received();
            return isClosed();
        });
        (void)received();
    }

    /// @brief Closes the connection at once; unread bytes cause a reset.
    auto close() -> void
    {
        m_socket->abort();
    }

    [[nodiscard]] auto socket() -> QTcpSocket &
    {
        return *m_socket;
    }

private:
    std::unique_ptr<QTcpSocket> m_socket;
    std::string m_received;
};

/// @brief TCP server that only accepts connections; the test itself reads and answers.
class RawServer
{
public:
    RawServer()
    {
        requireApplication();
        m_server.listen(QHostAddress::LocalHost, 0);
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] {
            while (QTcpSocket *const socket = m_server.nextPendingConnection()) {
                m_peers.push_back(std::make_unique<RawPeer>(socket));
            }
        });
    }

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return m_server.serverPort();
    }

    /// @brief All connections accepted so far.
    [[nodiscard]] auto peers() -> std::vector<std::unique_ptr<RawPeer>> &
    {
        return m_peers;
    }

    /// @brief Waits until a connection is accepted.
    /// @param index number of the connection, from 0 in the order of acceptance
    [[nodiscard]] auto peer(std::size_t index) -> RawPeer &
    {
        waitUntil([&] {
            return m_peers.size() > index;
        });
        return *m_peers[index];
    }

    /// @brief All bytes received on all connections, one connection after another.
    [[nodiscard]] auto allReceived() -> std::string
    {
        std::string all;
        for (const auto &peer : m_peers) {
            all += peer->received();
        }
        return all;
    }

private:
    QTcpServer m_server;
    std::vector<std::unique_ptr<RawPeer>> m_peers;
};

/// @brief A text of a given size, e.g. to exceed the buffers of a connection.
[[nodiscard]] inline auto largeText(std::size_t size) -> std::string
{
    std::string text;
    text.resize(size, 'x');
    return text;
}

/// @brief Number of non-overlapping occurrences of a part in a text.
[[nodiscard]] inline auto countOf(std::string_view text, std::string_view part) -> std::size_t
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string_view::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}
}
