#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>

namespace Burdockspur
{
/// @brief Limits of look-ahead placement.
struct LookAheadLimits {
    /// Whether placement looks at the work that waits and at the runs that end soon.
    bool m_isOn = false;

    /// Prefers workers whose remaining capacity still suits the large work that was seen recently.
    bool m_weighsShapes = false;

    /// Number of steps that room may be reserved for at the same time; 0 for none.
    std::size_t m_maxReservations = 32;

    /// Largest share of a pool's processors, and of its memory, that may be reserved at the same time.
    double m_maxReservedShare = 0.1;

    /// A step gets a reservation when its tasks have waited for this time; shorter waits end by themselves.
    Milliseconds m_minWait{300};

    /// Large steps go first among work of their priority and lateness when they have waited for this time.
    Milliseconds m_ageAfter = Milliseconds::max();

    /// A reservation is made only where room is expected within this time.
    Milliseconds m_maxLead{3'000};

    /// A reservation ends when none of its tasks was placed in its room for this time.
    Milliseconds m_maxHold{4'000};

    /// A reservation ends after this time, although tasks were placed in its room one after the other.
    Milliseconds m_maxTotalHold{8'000};

    /// Time after the end of an unused reservation, or after a search without success, before the step may get another one.
    Milliseconds m_pause{2'000};

    /// A reservation is moved when its room is expected this much later than when it was made or moved last.
    Milliseconds m_slipTolerance{300};

    /// Number of times, for each task, that the room of a step may be moved because it is late. The loss of a worker does not count.
    std::uint32_t m_maxMoves = 3;

    /// A step is large if a task of it needs this multiple of the mean share of a worker that the pool's tasks need.
    double m_largeFactor = 2.0;

    /// Tasks of one step that room is reserved for; the members of a gang do not count against it.
    std::uint32_t m_maxTasksPerStep = 8;

    /// Number of searches for room after a round. Each one reads the runs of the workers that lack the least room.
    std::size_t m_searchesPerRound = 2;

    /// Least time between two rounds that are followed by searches.
    Milliseconds m_planInterval{50};

    /// Least time between two searches for the same step, and between two forecasts of a worker on which nothing was started or has ended.
    Milliseconds m_searchInterval{100};

    /// Time from an assignment to the beginning of the run: a commit and the start order.
    Milliseconds m_startDelay{100};
};
}
