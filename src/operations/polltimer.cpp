#include "burdockspur/impl/polltimer.hpp"

namespace Burdockspur
{
PollTimer::PollTimer(Milliseconds interval, std::uint64_t seed, std::function<void()> poll)
    : m_interval(interval)
    , m_random(seed)
{
    m_timer.setSingleShot(true);
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, std::move(poll));
}

auto PollTimer::startNext() -> void
{
    constexpr double minimumFactor = 0.9;
    constexpr double factorRange = 0.2;
    const double factor = minimumFactor + factorRange * m_random.unit();
    m_timer.start(static_cast<int>(static_cast<double>(m_interval.count()) * factor));
}

auto PollTimer::startNow() -> void
{
    m_timer.start(0);
}
}
