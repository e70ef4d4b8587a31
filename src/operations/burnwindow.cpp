#include "burdockspur/operations/burnwindow.hpp"

namespace Burdockspur
{
auto BurnCount::operator+=(const BurnCount &other) noexcept -> BurnCount &
{
    m_requests += other.m_requests;
    m_slow += other.m_slow;
    m_failed += other.m_failed;
    return *this;
}

BurnWindow::BurnWindow(std::size_t periods, Duration periodLength)
    : m_periodLength(periodLength)
    , m_ring(periods)
{
}

auto BurnWindow::add(const BurnCount &count, TimePoint now) -> void
{
    const auto number = periodNumberAt(now);
    Period &period = m_ring[static_cast<std::size_t>(number) % m_ring.size()];
    if (period.m_number != number) {
        period = {number, {}};
    }
    period.m_count += count;
}

auto BurnWindow::sum(TimePoint now) const -> BurnCount
{
    BurnCount total;
    for (const auto &count : periods(now)) {
        total += count;
    }
    return total;
}

auto BurnWindow::periods(TimePoint now) const -> std::vector<BurnCount>
{
    std::vector<BurnCount> counts;
    counts.reserve(m_ring.size());
    const auto current = periodNumberAt(now);
    for (auto number = current - static_cast<std::int64_t>(m_ring.size()) + 1; number <= current; ++number) {
        const Period *const period = number < 0 ? nullptr : &m_ring[static_cast<std::size_t>(number) % m_ring.size()];
        counts.push_back(period != nullptr && period->m_number == number ? period->m_count : BurnCount());
    }
    return counts;
}

auto BurnWindow::length() const noexcept -> Duration
{
    return m_periodLength * static_cast<std::int64_t>(m_ring.size());
}

auto BurnWindow::periodNumberAt(TimePoint time) const noexcept -> std::int64_t
{
    return time.time_since_epoch() / m_periodLength;
}
}
