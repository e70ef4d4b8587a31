#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/resources.hpp"

namespace Burdockspur
{
class RunDurations;
struct TaskRun;

/// @brief When a run is expected to end.
struct RunForecast {
    TimePoint m_expected; ///< by the median of its duration
    TimePoint m_latest; ///< by a high quantile of its duration
    Resources m_frees; ///< reserved by the run
    bool m_isSure = false; ///< follows from learned durations or from the progress of the run itself
    bool m_isOverdue = false; ///< the run takes longer than the high quantile
};

/// @brief Forecasts the end of a run that ends by itself.
///
/// A run that has passed its forecast is expected to go on for a share of the time that it has taken, and never to end at once.
/// @param run run of a task that ends by itself; its job must be set
/// @param reportedAt time of the report that run.m_percent is from
/// @param startDelay time until a run begins that was assigned now
[[nodiscard]] auto forecastOf(const TaskRun &run, TimePoint reportedAt, const RunDurations &durations, Milliseconds startDelay, TimePoint now) -> RunForecast;
}
