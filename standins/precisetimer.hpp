#pragma once

#include "burdockspur/core/clock.hpp"

#include <functional>
#include <memory>
#include <optional>

class QSocketNotifier;

namespace Burdockspur::Standins
{
/// @brief Single-shot timer of an event loop on a timerfd; Qt's timers have a resolution of 1 ms.
class PreciseTimer
{
public:
    /// @param handler called in the thread of the constructor
    explicit PreciseTimer(std::function<void()> handler);
    ~PreciseTimer();
    PreciseTimer(const PreciseTimer &) = delete;
    PreciseTimer(PreciseTimer &&) = delete;
    auto operator=(const PreciseTimer &) -> PreciseTimer & = delete;
    auto operator=(PreciseTimer &&) -> PreciseTimer & = delete;

    /// @brief Calls the handler at a time, at once for a past one, and forgets an earlier setting.
    /// @param time nothing stops the timer
    auto arm(std::optional<TimePoint> time) -> void;

private:
    std::function<void()> m_handler;
    int m_descriptor;
    std::optional<TimePoint> m_time;
    std::unique_ptr<QSocketNotifier> m_notifier;
};
}
