#include "standins/precisetimer.hpp"

#include "burdockspur/core/invariant.hpp"

#include <QSocketNotifier>

#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Burdockspur::Standins
{
PreciseTimer::PreciseTimer(std::function<void()> handler)
    : m_handler(std::move(handler))
    , m_descriptor(::timerfd_create(CLOCK_MONOTONIC, TFD_CLOEXEC | TFD_NONBLOCK))
{
    requireInvariant(m_descriptor >= 0, "timerfd_created", "timerfd_create failed");
    m_notifier = std::make_unique<QSocketNotifier>(m_descriptor, QSocketNotifier::Read);
    QObject::connect(m_notifier.get(), &QSocketNotifier::activated, m_notifier.get(), [this] {
        std::uint64_t expirations = 0;
        if (::read(m_descriptor, &expirations, sizeof(expirations)) == static_cast<ssize_t>(sizeof(expirations))) {
            m_time.reset();
            m_handler();
        }
    });
}

PreciseTimer::~PreciseTimer()
{
    m_notifier.reset();
    ::close(m_descriptor);
}

auto PreciseTimer::arm(std::optional<TimePoint> time) -> void
{
    if (time == m_time) {
        return;
    }
    m_time = time;
    itimerspec setting{};
    if (time) {
        // A setting of zero would disarm the timer.
        const auto nanoseconds = std::max<std::int64_t>(time->time_since_epoch().count(), 1);
        constexpr std::int64_t perSecond = 1'000'000'000;
        setting.it_value.tv_sec = nanoseconds / perSecond;
        setting.it_value.tv_nsec = nanoseconds % perSecond;
    }
    ::timerfd_settime(m_descriptor, TFD_TIMER_ABSTIME, &setting, nullptr);
}
}
