#include "burdockspur/fleet/lookahead/runforecast.hpp"

#include "burdockspur/contract/taskjob.hpp"
#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/lookahead/rundurations.hpp"
#include "burdockspur/fleet/taskrun.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Progress and time between two reports from which the speed of a run can be told.
constexpr double minProgressPercent = 10;
constexpr Milliseconds minProgressTime{200};
/// Spread of an end that follows from the speed of the run.
constexpr double progressSpread = 1.25;
/// A run that has passed its forecast goes on for this share of the time that it has taken, at least.
constexpr double overdueShare = 0.5;
constexpr Milliseconds minOverdue{200};
constexpr double wholePercent = 100;

[[nodiscard]] auto scaled(Duration duration, double factor) noexcept -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(duration) * factor);
}

/// @brief Time that the run has left since a report, by the progress between its first report and that one; zero if it cannot be told.
[[nodiscard]] auto leftByProgress(const TaskRun &run, TimePoint reportedAt) noexcept -> Duration
{
    const auto gained = run.m_percent - run.m_firstPercent;
    const auto watched = reportedAt - run.m_firstListedAt;
    if (run.m_firstListedAt == TimePoint{} || gained < minProgressPercent || watched < minProgressTime) {
        return Duration::zero();
    }
    return scaled(watched, (wholePercent - run.m_percent) / gained);
}

/// @brief When the run has begun, as far as is known.
[[nodiscard]] auto beganAt(const TaskRun &run, const DurationRange &range, Milliseconds startDelay) noexcept -> TimePoint
{
    if (run.m_confirmedAt == TimePoint{} || run.m_stage == RunStage::Unsent) {
        return run.m_assignedAt + startDelay;
    }
    if (run.m_firstListedAt != TimePoint{} && run.m_firstPercent > 0) {
        // A run that a former owner has started was under way before this owner knew of it.
        return std::min(run.m_confirmedAt, run.m_firstListedAt - scaled(range.m_median, run.m_firstPercent / wholePercent));
    }
    return run.m_confirmedAt;
}
}

auto forecastOf(const TaskRun &run, TimePoint reportedAt, const RunDurations &durations, Milliseconds startDelay, TimePoint now) -> RunForecast
{
    const auto range = durations.rangeOf(run.m_job->job(), run.m_task.m_step);
    const auto began = beganAt(run, range, startDelay);
    RunForecast forecast{began + range.m_median, began + range.m_high, run.m_reserved, range.m_isLearned, false};
    if (const auto left = leftByProgress(run, reportedAt); left > Duration::zero()) {
        forecast.m_expected = reportedAt + left;
        forecast.m_latest = reportedAt + scaled(left, progressSpread);
        forecast.m_isSure = true;
    }
    if (forecast.m_latest <= now) {
        const auto rest = std::max<Duration>(minOverdue, scaled(now - began, overdueShare));
        forecast.m_expected = now + rest;
        forecast.m_latest = now + 2 * rest;
        forecast.m_isSure = false;
        forecast.m_isOverdue = true;
    }
    forecast.m_expected = std::clamp(forecast.m_expected, std::min(now, forecast.m_latest), forecast.m_latest);
    return forecast;
}
}
