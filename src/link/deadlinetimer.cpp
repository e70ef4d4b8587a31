#include "burdockspur/impl/deadlinetimer.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Shortest timer interval; bounds how often the handler runs when deadlines lie close together.
constexpr Milliseconds minDelay{10};
}

DeadlineTimer::DeadlineTimer(ExpiryHandler expiryHandler)
    : m_expiryHandler(std::move(expiryHandler))
{
    m_timer.setSingleShot(true);
    m_timer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] {
        handleTimeout();
    });
}

auto DeadlineTimer::arm(TimePoint deadline) -> void
{
    if (deadline >= m_armedDeadline) {
        return;
    }
    m_armedDeadline = deadline;
    const auto delay = std::max(std::chrono::ceil<Milliseconds>(deadline - Clock::now()), minDelay);
    m_timer.start(delay);
}

auto DeadlineTimer::handleTimeout() -> void
{
    m_armedDeadline = TimePoint::max();
    arm(m_expiryHandler(Clock::now()));
}
}
