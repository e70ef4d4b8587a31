#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/randomsource.hpp"

#include <QTimer>

#include <cstdint>
#include <functional>

namespace Burdockspur
{
/// @brief Timer of a poll, with jitter so that the daemons of a fleet do not poll in step.
class PollTimer
{
public:
    /// @param interval between the end of a poll and the next, on average
    /// @param seed of the jitter
    /// @param poll called in the event loop
    PollTimer(Milliseconds interval, std::uint64_t seed, std::function<void()> poll);

    /// @brief Calls once after the interval, give or take 10%.
    auto startNext() -> void;

    /// @brief Calls once from the event loop, as soon as possible.
    auto startNow() -> void;

private:
    Milliseconds m_interval;
    RandomSource m_random;
    QTimer m_timer;
};
}
