#pragma once

#include "burdockspur/core/clock.hpp"

#include <functional>
#include <memory>
#include <optional>

class QSocketNotifier;

namespace Burdockspur::Standins
{
/// @brief Single-shot timer for an event loop, based on a timerfd because Qt's timers have a resolution of only 1 ms.
class PreciseTimer
{
public:
    /// @param handler called when the time has come, in the thread that constructs the timer
    explicit PreciseTimer(std::function<void()> handler);
    ~PreciseTimer();
    PreciseTimer(const PreciseTimer &) = delete;
    PreciseTimer(PreciseTimer &&) = delete;
    auto operator=(const PreciseTimer &) -> PreciseTimer & = delete;
    auto operator=(PreciseTimer &&) -> PreciseTimer & = delete;

    /// @brief Sets the time at which the handler is called, and replaces an earlier setting.
    /// @param time a past time calls the handler at once; empty stops the timer
    auto arm(std::optional<TimePoint> time) -> void;

private:
    std::function<void()> m_handler;
    int m_descriptor;
    std::optional<TimePoint> m_time;
    std::unique_ptr<QSocketNotifier> m_notifier;
};
}
