#pragma once

#include "burdockspur/core/clock.hpp"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <algorithm>
#include <functional>
#include <limits>
#include <memory>
#include <utility>

#include <unistd.h>

namespace Burdockspur
{
/// @brief Listening socket that passes each accepted connection, with its ownership, to a handler.
///
/// Accepts a bounded number of connections in a row, so that clients which connect faster than they are accepted do not keep the open
/// connections from being read.
class Listener : public QTcpServer
{
public:
    using AcceptHandler = std::function<void(std::unique_ptr<QTcpSocket>)>;

    explicit Listener(AcceptHandler acceptHandler)
        : m_acceptHandler(std::move(acceptHandler))
    {
        m_resumeTimer.setSingleShot(true);
        QObject::connect(&m_resumeTimer, &QTimer::timeout, this, [this] {
            resume();
        });
    }

    /// @brief Accepts nothing until a time, or resume(); new connections wait in the queue of the kernel. May be called by the handler.
    auto pauseUntil(TimePoint at) -> void
    {
        m_isPaused = true;
        const auto left = std::chrono::ceil<Milliseconds>(at - Clock::now());
        m_resumeTimer.start(std::max(left, Milliseconds::zero()));
        applyState();
    }

    /// @brief Accepts connections again.
    auto resume() -> void
    {
        m_isPaused = false;
        m_resumeTimer.stop();
        applyState();
    }

    [[nodiscard]] auto isPaused() const noexcept -> bool
    {
        return m_isPaused;
    }

protected:
    auto incomingConnection(qintptr descriptor) -> void override
    {
        if (++m_acceptedInRow >= mostInRow) {
            yield();
        }
        auto socket = std::make_unique<QTcpSocket>();
        if (!socket->setSocketDescriptor(descriptor)) {
            ::close(static_cast<int>(descriptor));
            return;
        }
        m_acceptHandler(std::move(socket));
    }

private:
    /// Connections accepted before the event loop serves the open ones.
    static constexpr int mostInRow = 32;

    /// Goes on in the next pass of the event loop.
    auto yield() -> void
    {
        m_acceptedInRow = 0;
        if (!std::exchange(m_isYielding, true)) {
            applyState();
            QMetaObject::invokeMethod(
                this,
                [this] {
                    m_isYielding = false;
                    applyState();
                },
                Qt::QueuedConnection);
        }
    }

    auto applyState() -> void
    {
        const bool accepts = !m_isPaused && !m_isYielding;
        // QTcpServer compares with this limit before each connection that it accepts, and stops at it.
        setMaxPendingConnections(accepts ? std::numeric_limits<int>::max() : 0);
        if (accepts && isListening()) {
            resumeAccepting();
        }
    }

    AcceptHandler m_acceptHandler;
    QTimer m_resumeTimer;
    int m_acceptedInRow = 0;
    bool m_isPaused = false;
    bool m_isYielding = false; ///< until the next pass of the event loop
};
}
