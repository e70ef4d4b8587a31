#pragma once

#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <memory>
#include <utility>

#include <unistd.h>

namespace Burdockspur
{
/// @brief Listening socket that passes each accepted connection, with its ownership, to a handler.
class Listener : public QTcpServer
{
public:
    using AcceptHandler = std::function<void(std::unique_ptr<QTcpSocket>)>;

    explicit Listener(AcceptHandler acceptHandler)
        : m_acceptHandler(std::move(acceptHandler))
    {
    }

protected:
    auto incomingConnection(qintptr descriptor) -> void override
    {
        auto socket = std::make_unique<QTcpSocket>();
        if (!socket->setSocketDescriptor(descriptor)) {
            ::close(static_cast<int>(descriptor));
            return;
        }
        m_acceptHandler(std::move(socket));
    }

private:
    AcceptHandler m_acceptHandler;
};
}
