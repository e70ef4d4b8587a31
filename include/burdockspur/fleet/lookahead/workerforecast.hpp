#pragma once

#include "burdockspur/fleet/lookahead/roomforecast.hpp"
#include "burdockspur/fleet/lookahead/runforecast.hpp"

#include <optional>
#include <span>
#include <vector>

namespace Burdockspur
{
class FleetWorker;
class RunDurations;

/// @brief Which runs of a worker end when, and how much room the worker has then.
///
/// Runs that last do not end. A forecast is valid for one round of placement.
class WorkerForecast
{
public:
    /// @param free room that the worker has now
    /// @param startDelay time until a run begins that was assigned now
    WorkerForecast(const FleetWorker &worker, const Resources &free, const RunDurations &durations, Milliseconds startDelay, TimePoint now);

    /// @brief When a demand fits; empty if it does not fit although all finite runs have ended.
    [[nodiscard]] auto timeOf(const Resources &demand) const noexcept -> std::optional<RoomForecast>;

    /// @brief Free resources at a time, if nothing else is started.
    [[nodiscard]] auto freeAt(TimePoint time) const noexcept -> Resources;

    /// @brief Runs by the latest time of their end.
    [[nodiscard]] auto runs() const noexcept -> std::span<const RunForecast>
    {
        return m_runs;
    }

private:
    Resources m_free;
    TimePoint m_now;
    std::vector<RunForecast> m_runs;
};
}
