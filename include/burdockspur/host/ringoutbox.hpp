#pragma once

#include "burdockspur/core/boundedring.hpp"
#include "burdockspur/core/clock.hpp"

#include <QTimer>

#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

namespace Burdockspur
{
/// @brief Pushes messages that must not be lost to a ring, and buffers them while the ring is full.
///
/// Requires an event loop in the thread of the duty. The buffer is bounded by the number of orders that the duty has
/// received, because each message is the result of one order.
template<typename T>
class RingOutbox
{
public:
    /// @param ring must outlive the outbox
    /// @param onRingFull called each time the ring is full
    RingOutbox(BoundedRing<T> &ring, std::function<void()> onRingFull)
        : m_ring(&ring)
        , m_onRingFull(std::move(onRingFull))
    {
        m_timer.setSingleShot(true);
        m_timer.setTimerType(Qt::PreciseTimer);
        QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] {
            retry();
        });
    }

    /// @brief Pushes a message, or buffers it while the ring is full.
    auto push(T &&message) -> void
    {
        m_waiting.push_back(std::move(message));
        if (m_waiting.size() == 1) {
            retry();
        }
    }

    /// @brief Returns the number of buffered messages.
    [[nodiscard]] auto waiting() const noexcept -> std::size_t
    {
        return m_waiting.size();
    }

private:
    auto retry() -> void
    {
        constexpr Milliseconds pause{1};
        while (!m_waiting.empty()) {
            if (!m_ring->tryPush(std::move(m_waiting.front()))) {
                m_onRingFull();
                m_timer.start(pause);
                return;
            }
            m_waiting.pop_front();
        }
    }

    BoundedRing<T> *m_ring;
    std::function<void()> m_onRingFull;
    std::deque<T> m_waiting;
    QTimer m_timer;
};
}
