#pragma once

#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <memory>
#include <utility>

#include <unistd.h>

namespace Burdockspur
{
/// @brief Listening socket that hands over the connections it accepts, each owned by the receiver alone.
class Listener : public QTcpServer
{
public:
    using Accepted = std::function<void(std::unique_ptr<QTcpSocket>)>;

    explicit Listener(Accepted accepted)
        : m_accepted(std::move(accepted))
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
        m_accepted(std::move(socket));
    }

private:
    Accepted m_accepted;
};
}
