#pragma once

#include "burdockspur/core/clock.hpp"

#include <QTimer>

#include <functional>

namespace Burdockspur
{
/// @brief One timer that serves the deadlines of many objects.
///
/// It runs only until the earliest deadline it was told, so that an idle server or client causes no
/// wake-ups, and a request that ends before its deadline costs no timer operation.
class DeadlineTimer
{
public:
    /// @brief Handles what has expired; returns the earliest remaining deadline or TimePoint::max().
    using Sweep = std::function<TimePoint(TimePoint now)>;

    explicit DeadlineTimer(Sweep sweep);

    /// @brief Makes the sweep run at a deadline at the latest; TimePoint::max() has no effect.
    auto arm(TimePoint deadline) -> void;

private:
    auto expire() -> void;

    Sweep m_sweep;
    QTimer m_timer;
    TimePoint m_armed = TimePoint::max();
};
}
