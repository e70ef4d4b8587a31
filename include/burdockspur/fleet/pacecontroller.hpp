#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/fillfit.hpp"
#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/pressuremodel.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace Burdockspur
{
class FleetWorker;
struct TaskRun;

/// @brief A pace that a filling task should have.
struct PacePlan {
    TaskRun *m_run = nullptr;
    int m_percent = 100;
};

/// @brief Keeps the tails of serving tasks below their targets, with as little loss of filling work as can be.
///
/// From the measured headroom and the learned pressures it follows what each serving job would have without neighbours,
/// and slows those that press most on the task that is closest to its target. While a task stays close to its target, the
/// aim for it rises, and in time everything that fills beside it stops.
class PaceController
{
public:
    /// @brief Takes the samples of a worker's report, and learns from them.
    /// @param worker with the loads of its runs updated
    auto sample(FleetWorker &worker, TimePoint now) -> void;

    /// @brief The paces that the filling tasks of a worker should have.
    [[nodiscard]] auto plan(FleetWorker &worker, TimePoint now) const -> std::vector<PacePlan>;

    /// @brief How a further filling task would fit.
    ///
    /// What the worker's serving tasks can bear is kept with the worker for some time, because a decision looks at every
    /// worker for each task that waits.
    /// @param worker that would run it
    /// @param image of the filling task
    /// @param cpuMillis that the task declares, in thousandths of a core
    [[nodiscard]] auto fitOf(FleetWorker &worker, ImageId image, std::int64_t cpuMillis, TimePoint now) const -> FillFit;

    /// @brief Tells how much filling work waits: without a backlog, serving tasks are given more room.
    /// @param share processors that waiting filling tasks ask for, as a share of all processors
    auto noteBacklog(double share, TimePoint now) noexcept -> void;

    [[nodiscard]] auto model() noexcept -> PressureModel &
    {
        return m_model;
    }

private:
    /// Headroom that is aimed at, by the backlog.
    [[nodiscard]] auto aim() const noexcept -> double;

    /// Compares a sample of a job with that of another worker, and keeps it for the next comparison.
    auto compare(FleetJob &job, ImageId image, FleetJob::HeadroomSample &&sample) -> void;

    /// Computes what the serving tasks of a worker can bear.
    auto updateRooms(FleetWorker &worker, TimePoint now) const -> void;

    /// Headroom that a serving task is expected to have without filling neighbours.
    [[nodiscard]] auto freeHeadroom(const TaskRun &run, TimePoint when) const noexcept -> double;

    PressureModel m_model;
    double m_backlog = 0; ///< smoothed share
    TimePoint m_backlogAt;
};
}
