#include "burdockspur/fleet/lookahead/workerforecast.hpp"

#include "burdockspur/fleet/fleetworker.hpp"

#include <algorithm>

namespace Burdockspur
{
WorkerForecast::WorkerForecast(const FleetWorker &worker, const Resources &free, const RunDurations &durations, Milliseconds startDelay, TimePoint now)
    : m_free(free)
    , m_now(now)
{
    m_runs.reserve(worker.m_runs.size());
    for (const auto &[name, run] : worker.m_runs) {
        if (!run.m_isServing) {
            m_runs.push_back(forecastOf(run, worker.m_lastReportAt, durations, startDelay, now));
        }
    }
    std::ranges::sort(m_runs, {}, &RunForecast::m_latest);
}

auto WorkerForecast::timeOf(const Resources &demand) const noexcept -> std::optional<RoomForecast>
{
    RoomForecast room{m_now, true};
    if (demand.fitsInto(m_free)) {
        return room;
    }
    Resources free = m_free;
    for (const auto &run : m_runs) {
        free += run.m_frees;
        room.m_at = run.m_latest;
        room.m_isSure = room.m_isSure && run.m_isSure;
        if (demand.fitsInto(free)) {
            return room;
        }
    }
    return std::nullopt;
}

auto WorkerForecast::freeAt(TimePoint time) const noexcept -> Resources
{
    Resources free = m_free;
    for (const auto &run : m_runs) {
        if (run.m_latest <= time) {
            free += run.m_frees;
        }
    }
    return free;
}
}
