#pragma once

#include "burdockspur/core/clock.hpp"

#include <QTimer>

#include <functional>

namespace Burdockspur
{
/// @brief Calls a handler at the earliest of many deadlines, using a single timer.
///
/// The timer runs only until the earliest armed deadline, so that an idle server or client causes no
/// wake-ups. Deadlines are never cancelled, so that a request that ends early needs no timer operation.
class DeadlineTimer
{
public:
    /// @brief Handles expired deadlines; returns the earliest remaining deadline, or TimePoint::max() if there is none.
    using ExpiryHandler = std::function<TimePoint(TimePoint now)>;

    explicit DeadlineTimer(ExpiryHandler expiryHandler);

    /// @brief Ensures that the handler runs when a deadline expires; TimePoint::max() has no effect.
    auto arm(TimePoint deadline) -> void;

private:
    auto handleTimeout() -> void;

    ExpiryHandler m_expiryHandler;
    QTimer m_timer;
    TimePoint m_armedDeadline = TimePoint::max();
};
}
