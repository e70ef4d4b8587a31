#include "burdockspur/fleet/startwindow.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
constexpr double minSize = 32;
constexpr double maxSize = 8'192;
/// A worker answers within some 10 ms, so most of a longer round trip is time in the owner's own queues. Urgent work waits in these too, once for each of
/// its steps, and its objectives leave some 300 ms.
constexpr Milliseconds longRoundTrip{100};
constexpr double shrinkFactor = 0.7;
/// The window grows only while at least this share of it is in use.
constexpr double minUseToGrow = 0.5;
/// The answers of one round trip shrink the window once.
constexpr Milliseconds shrinkPause{200};
}

auto StartWindow::reset() noexcept -> void
{
    *this = {};
}

auto StartWindow::recordUnanswered() noexcept -> void
{
    m_inFlight -= m_inFlight > 0 ? 1 : 0;
}

auto StartWindow::recordAnswered(Duration roundTrip, TimePoint now) noexcept -> void
{
    // Short round trips of a few orders do not show that many would be answered as soon.
    const bool isInUse = static_cast<double>(m_inFlight) >= m_size * minUseToGrow;
    recordUnanswered();
    if (roundTrip <= longRoundTrip) {
        m_size = isInUse ? std::min(maxSize, m_size + 1) : m_size;
    } else if (now - m_shrunkAt >= shrinkPause) {
        m_size = std::max(minSize, m_size * shrinkFactor);
        m_shrunkAt = now;
    }
}

auto StartWindow::room() const noexcept -> std::size_t
{
    const auto size = static_cast<std::size_t>(m_size);
    return size > m_inFlight ? size - m_inFlight : 0;
}
}
