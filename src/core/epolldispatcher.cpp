#include "burdockspur/core/epolldispatcher.hpp"

#include "burdockspur/core/invariant.hpp"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <algorithm>
#include <cerrno>
#include <limits>
#include <thread>

#include <sys/epoll.h>
#include <unistd.h>

namespace Burdockspur
{
namespace
{
/// Descriptors handled in one pass; the kernel returns the others in the next one.
constexpr std::size_t eventsPerPass = 256;
constexpr std::uint32_t generationShift = 32;

/// Events that a notifier waits for, and those that it is called for, by QSocketNotifier::Type.
struct NotifierEvents {
    std::uint32_t m_watched;
    std::uint32_t m_handled;
};
constexpr std::array<NotifierEvents, 3> notifierEvents{{
    {EPOLLIN, EPOLLIN | EPOLLHUP | EPOLLERR},
    {EPOLLOUT, EPOLLOUT | EPOLLHUP | EPOLLERR},
    {EPOLLPRI, EPOLLPRI},
}};
}

EpollDispatcher::EpollDispatcher()
    : m_epoll(::epoll_create1(EPOLL_CLOEXEC))
{
    requireInvariant(m_epoll >= 0, "epoll_created", "epoll_create1 failed");
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = static_cast<std::uint32_t>(m_wake.descriptor());
    requireInvariant(::epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wake.descriptor(), &event) == 0, "wake_descriptor_watched", "epoll_ctl failed");
}

EpollDispatcher::~EpollDispatcher()
{
    ::close(m_epoll);
}

auto EpollDispatcher::processEvents(QEventLoop::ProcessEventsFlags flags) -> bool
{
    m_isInterrupted = false;
    Q_EMIT awake();
    QCoreApplication::sendPostedEvents();
    if (m_isInterrupted) {
        return false;
    }
    if (flags.testFlag(QEventLoop::WaitForMoreEvents)) {
        awaitWaitInterval();
    }
    const int timeout = waitTime(flags);
    applyChanges();
    if (timeout != 0) {
        Q_EMIT aboutToBlock();
    }
    std::array<epoll_event, eventsPerPass> events{};
    const int count = ::epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), timeout);
    if (timeout != 0) {
        m_waitEndedAt = m_waitInterval > Duration::zero() ? Clock::now() : TimePoint{};
        Q_EMIT awake();
    }
    bool hasHandled = false;
    for (int i = 0; i < count; ++i) {
        const auto &event = events[static_cast<std::size_t>(i)];
        const auto descriptor = static_cast<int>(event.data.u64 & std::numeric_limits<std::uint32_t>::max());
        if (descriptor == m_wake.descriptor()) {
            // Whatever was posted is sent at the beginning of the next pass.
            m_wake.clear();
            continue;
        }
        if (flags.testFlag(QEventLoop::ExcludeSocketNotifiers)) {
            continue;
        }
        const auto generation = static_cast<std::uint32_t>(event.data.u64 >> generationShift);
        for (std::size_t type = 0; type < notifierEvents.size(); ++type) {
            if ((event.events & notifierEvents[type].m_handled) != 0) {
                hasHandled = notify(descriptor, generation, static_cast<int>(type)) || hasHandled;
            }
        }
    }
    return (!flags.testFlag(QEventLoop::X11ExcludeTimers) && handleDueTimers()) || hasHandled;
}

auto EpollDispatcher::awaitWaitInterval() const -> void
{
    if (m_waitInterval <= Duration::zero()) {
        return;
    }
    const auto left = m_waitEndedAt + m_waitInterval - Clock::now();
    if (left > Duration::zero()) {
        std::this_thread::sleep_for(left);
    }
}

auto EpollDispatcher::waitTime(QEventLoop::ProcessEventsFlags flags) const -> int
{
    if (!flags.testFlag(QEventLoop::WaitForMoreEvents)) {
        return 0;
    }
    if (m_dueTimers.empty() || flags.testFlag(QEventLoop::X11ExcludeTimers)) {
        return -1;
    }
    const auto left = std::chrono::ceil<Milliseconds>(m_dueTimers.begin()->first - Clock::now());
    return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, std::numeric_limits<int>::max()));
}

auto EpollDispatcher::notify(int descriptor, std::uint32_t generation, int type) -> bool
{
    // A handler that was called before may have closed this descriptor, and a new connection may have its number.
    const auto entry = m_watches.find(descriptor);
    if (entry == m_watches.end() || entry->second.m_generation != generation) {
        return false;
    }
    QSocketNotifier *const notifier = entry->second.m_notifiers[static_cast<std::size_t>(type)];
    if (notifier == nullptr) {
        return false;
    }
    QEvent event(QEvent::SockAct);
    QCoreApplication::sendEvent(notifier, &event);
    return true;
}

auto EpollDispatcher::registerSocketNotifier(QSocketNotifier *notifier) -> void
{
    const auto descriptor = static_cast<int>(notifier->socket());
    auto &watch = m_watches[descriptor];
    if (watch.m_generation == 0 || watch.m_wasUnused) {
        watch.m_generation = ++m_lastGeneration;
    }
    watch.m_notifiers[static_cast<std::size_t>(notifier->type())] = notifier;
    markChanged(descriptor, watch);
}

auto EpollDispatcher::unregisterSocketNotifier(QSocketNotifier *notifier) -> void
{
    const auto descriptor = static_cast<int>(notifier->socket());
    const auto entry = m_watches.find(descriptor);
    if (entry == m_watches.end()) {
        return;
    }
    auto &watch = entry->second;
    auto &registered = watch.m_notifiers[static_cast<std::size_t>(notifier->type())];
    registered = registered == notifier ? nullptr : registered;
    watch.m_wasUnused = watch.m_wasUnused || std::ranges::count(watch.m_notifiers, nullptr) == static_cast<std::ptrdiff_t>(watch.m_notifiers.size());
    markChanged(descriptor, watch);
}

auto EpollDispatcher::markChanged(int descriptor, Watch &watch) -> void
{
    if (!std::exchange(watch.m_isChanged, true)) {
        m_changed.push_back(descriptor);
    }
}

auto EpollDispatcher::applyChanges() -> void
{
    for (const int descriptor : std::exchange(m_changed, {})) {
        if (const auto entry = m_watches.find(descriptor); entry != m_watches.end()) {
            applyChange(descriptor, entry->second);
        }
    }
}

auto EpollDispatcher::applyChange(int descriptor, Watch &watch) -> void
{
    watch.m_isChanged = false;
    epoll_event event{};
    for (std::size_t type = 0; type < notifierEvents.size(); ++type) {
        event.events |= watch.m_notifiers[type] == nullptr ? 0U : notifierEvents[type].m_watched;
    }
    event.data.u64 = static_cast<std::uint32_t>(descriptor) | (static_cast<std::uint64_t>(watch.m_generation) << generationShift);
    if (event.events == 0) {
        // Fails for a descriptor that was closed, which the kernel no longer watches.
        ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, &event);
        m_watches.erase(descriptor);
        return;
    }
    const bool isCertain = !std::exchange(watch.m_wasUnused, false);
    if (isCertain && event.events == watch.m_registeredEvents) {
        return;
    }
    watch.m_registeredEvents = event.events;
    if (::epoll_ctl(m_epoll, EPOLL_CTL_MOD, descriptor, &event) != 0 && errno == ENOENT) {
        ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event);
    }
}

auto EpollDispatcher::registerTimer(int id, qint64 interval, Qt::TimerType type, QObject *object) -> void
{
    const Timer timer{Milliseconds(interval), type, object, Clock::now() + Milliseconds(interval)};
    unregisterTimer(id);
    m_timers.emplace(id, timer);
    m_dueTimers.emplace(timer.m_dueAt, id);
}

auto EpollDispatcher::unregisterTimer(int id) -> bool
{
    const auto entry = m_timers.find(id);
    if (entry == m_timers.end()) {
        return false;
    }
    m_dueTimers.erase({entry->second.m_dueAt, id});
    m_timers.erase(entry);
    return true;
}

auto EpollDispatcher::unregisterTimers(QObject *object) -> bool
{
    const auto removed = std::erase_if(m_timers, [this, object](const auto &entry) {
        const bool isOfObject = entry.second.m_object == object;
        if (isOfObject) {
            m_dueTimers.erase({entry.second.m_dueAt, entry.first});
        }
        return isOfObject;
    });
    return removed > 0;
}

auto EpollDispatcher::registeredTimers(QObject *object) const -> QList<TimerInfo>
{
    QList<TimerInfo> timers;
    for (const auto &[id, timer] : m_timers) {
        if (timer.m_object == object) {
            timers.append({id, static_cast<int>(timer.m_interval.count()), timer.m_type});
        }
    }
    return timers;
}

auto EpollDispatcher::remainingTime(int id) -> int
{
    const auto entry = m_timers.find(id);
    if (entry == m_timers.end()) {
        return -1;
    }
    const auto left = std::chrono::ceil<Milliseconds>(entry->second.m_dueAt - Clock::now());
    return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, std::numeric_limits<int>::max()));
}

auto EpollDispatcher::handleDueTimers() -> bool
{
    const TimePoint now = Clock::now();
    std::vector<int> due;
    for (const auto &[at, id] : m_dueTimers) {
        if (at > now) {
            break;
        }
        due.push_back(id);
    }
    bool hasHandled = false;
    for (const int id : due) {
        const auto entry = m_timers.find(id);
        if (entry == m_timers.end() || entry->second.m_dueAt > now) {
            continue;
        }
        auto &timer = entry->second;
        m_dueTimers.erase({timer.m_dueAt, id});
        // A timer that has missed several intervals fires once.
        timer.m_dueAt = std::max(timer.m_dueAt + timer.m_interval, now);
        m_dueTimers.emplace(timer.m_dueAt, id);
        QTimerEvent event(id);
        QCoreApplication::sendEvent(timer.m_object, &event);
        hasHandled = true;
    }
    return hasHandled;
}

auto EpollDispatcher::wakeUp() -> void
{
    m_wake.signal();
}

auto EpollDispatcher::interrupt() -> void
{
    m_isInterrupted = true;
    wakeUp();
}
}
