#pragma once

#include <QObject>
#include <QTcpSocket>

#include <memory>
#include <vector>

namespace Burdockspur
{
/// @brief Deletes sockets in a later pass of the event loop, because a socket must outlive its own signals.
///
/// Unlike QObject::deleteLater() it also frees them when the event loop has already ended.
class RetiredSockets
{
public:
    /// @brief Closes a socket and disconnects its signals immediately, so that its unsent bytes are discarded.
    auto retire(std::unique_ptr<QTcpSocket> socket) -> void
    {
        if (!socket) {
            return;
        }
        QObject::disconnect(socket.get(), nullptr, nullptr, nullptr);
        socket->abort();
        m_sockets.push_back(std::move(socket));
        if (m_sockets.size() == 1) {
            QMetaObject::invokeMethod(
                &m_context,
                [this] {
                    m_sockets.clear();
                },
                Qt::QueuedConnection);
        }
    }

private:
    std::vector<std::unique_ptr<QTcpSocket>> m_sockets;
    QObject m_context;
};
}
