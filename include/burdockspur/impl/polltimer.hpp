#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/randomsource.hpp"

#include <QTimer>

#include <cstdint>
#include <functional>

namespace Burdockspur
{
/// @brief Schedules polls, with jitter so that the daemons of a fleet do not poll at the same time.
class PollTimer
{
public:
    /// @param interval time from startNext() to the next poll, on average
    /// @param seed seed of the jitter
    /// @param poll called in the event loop
    PollTimer(Milliseconds interval, std::uint64_t seed, std::function<void()> poll);

    /// @brief Schedules one poll after 90% to 110% of the interval.
    auto startNext() -> void;

    /// @brief Schedules one poll as soon as possible, from the event loop.
    auto startNow() -> void;

private:
    Milliseconds m_interval;
    RandomSource m_random;
    QTimer m_timer;
};
}
