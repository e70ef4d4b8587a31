#include "burdockspur/impl/deadlinetimer.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Bounds the cost of sweeping when deadlines lie close together.
constexpr Milliseconds granularity{10};
}

DeadlineTimer::DeadlineTimer(Sweep sweep)
    : m_sweep(std::move(sweep))
{
    m_timer.setSingleShot(true);
    m_timer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] {
        expire();
    });
}

auto DeadlineTimer::arm(TimePoint deadline) -> void
{
    if (deadline >= m_armed) {
        return;
    }
    m_armed = deadline;
    const auto delay = std::max(std::chrono::ceil<Milliseconds>(deadline - Clock::now()), granularity);
    m_timer.start(delay);
}

auto DeadlineTimer::expire() -> void
{
    m_armed = TimePoint::max();
    arm(m_sweep(Clock::now()));
}
}
