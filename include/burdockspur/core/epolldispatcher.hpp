#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/wakedescriptor.hpp"

#include <QAbstractEventDispatcher>

#include <array>
#include <atomic>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Burdockspur
{
/// @brief Event dispatcher whose wake-ups cost in proportion to the descriptors that are ready.
///
/// Qt's own dispatchers pass every watched descriptor to poll() at each wake-up. An owner keeps a connection to each of some thousand
/// workers, so that took most of the time of the thread that calls them.
class EpollDispatcher final : public QAbstractEventDispatcher
{
public:
    EpollDispatcher();
    ~EpollDispatcher() override;
    EpollDispatcher(const EpollDispatcher &) = delete;
    EpollDispatcher(EpollDispatcher &&) = delete;
    auto operator=(const EpollDispatcher &) -> EpollDispatcher & = delete;
    auto operator=(EpollDispatcher &&) -> EpollDispatcher & = delete;

    /// @brief Sets the least time between the ends of two waits, so that descriptors that become ready within it are handled together. A single event is
    /// handled at once after a longer wait.
    /// @param interval 0 for no bound
    auto setWaitInterval(Duration interval) noexcept -> void
    {
        m_waitInterval = interval;
    }

    /// @brief Sends posted events, waits if allowed, then handles ready descriptors and due timers.
    /// @returns true if a descriptor or a timer was handled
    auto processEvents(QEventLoop::ProcessEventsFlags flags) -> bool override;

    auto registerSocketNotifier(QSocketNotifier *notifier) -> void override;
    auto unregisterSocketNotifier(QSocketNotifier *notifier) -> void override;
    auto registerTimer(int id, qint64 interval, Qt::TimerType type, QObject *object) -> void override;
    auto unregisterTimer(int id) -> bool override;
    auto unregisterTimers(QObject *object) -> bool override;
    [[nodiscard]] auto registeredTimers(QObject *object) const -> QList<TimerInfo> override;
    auto remainingTime(int id) -> int override;
    auto wakeUp() -> void override;
    auto interrupt() -> void override;

private:
    /// A watched descriptor.
    struct Watch {
        std::array<QSocketNotifier *, 3> m_notifiers{}; ///< by QSocketNotifier::Type
        std::uint32_t m_registeredEvents = 0; ///< events that the kernel watches
        std::uint32_t m_generation = 0; ///< distinguishes uses of the same descriptor number
        bool m_isChanged = false; ///< listed in m_changed
        bool m_wasUnused = false; ///< had no notifier meanwhile, so the descriptor may have been closed and reused
    };

    struct Timer {
        Milliseconds m_interval{0};
        Qt::TimerType m_type = Qt::CoarseTimer;
        QObject *m_object = nullptr;
        TimePoint m_dueAt;
    };

    auto markChanged(int descriptor, Watch &watch) -> void;
    /// @brief Passes the changes of the watched events to the kernel. A socket enables and disables its write notifier for every
    /// message, which mostly cancels out before the next wait.
    auto applyChanges() -> void;
    auto applyChange(int descriptor, Watch &watch) -> void;
    /// @brief Time that a wait may take until the next timer, in milliseconds; -1 for any time.
    [[nodiscard]] auto waitTime(QEventLoop::ProcessEventsFlags flags) const -> int;
    /// @brief Calls a notifier if its descriptor still has the same use.
    auto notify(int descriptor, std::uint32_t generation, int type) -> bool;
    auto handleDueTimers() -> bool;
    /// @brief Waits until the next wait for descriptors may end.
    auto awaitWaitInterval() const -> void;

    int m_epoll;
    WakeDescriptor m_wake;
    std::atomic<bool> m_isInterrupted{false};
    Duration m_waitInterval{0};
    TimePoint m_waitEndedAt;
    std::uint32_t m_lastGeneration = 0;
    std::unordered_map<int, Watch> m_watches; ///< by descriptor
    std::vector<int> m_changed; ///< descriptors whose watched events have changed
    std::unordered_map<int, Timer> m_timers; ///< by id
    std::set<std::pair<TimePoint, int>> m_dueTimers; ///< time and id
};
}
