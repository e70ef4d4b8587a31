#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/fillfit.hpp"
#include "burdockspur/fleet/fillinterferencemodel.hpp"
#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/reportpacing.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace Burdockspur
{
class FleetWorker;
struct TaskRun;

/// @brief Desired pace of a running filling task.
struct PacePlan {
    TaskRun *m_run = nullptr;
    int m_percent = 100; ///< of the processors that the task declares
};

/// @brief Keeps the tail latencies of serving tasks below their targets while slowing filling tasks as little as possible.
///
/// Estimates, from the measured headroom and the learned interference, the headroom that each serving job would have without
/// filling tasks on its workers. For each serving task whose expected headroom is below the required one, it slows the filling
/// tasks that cost that task the most headroom. While a task stays near its target, its required headroom rises, and after a
/// bounded time all filling tasks on its worker are stopped.
class PaceController
{
public:
    /// @brief Updates the headrooms and the interference model from a worker's report.
    /// @param worker whose runs hold the loads of that report
    auto addSamples(FleetWorker &worker, TimePoint now) -> void;

    /// @brief What the next report of a worker may decide.
    [[nodiscard]] static auto reportNeedOf(const FleetWorker &worker) noexcept -> ReportNeed;

    /// @brief Computes the paces of a worker's running filling tasks.
    [[nodiscard]] auto plan(FleetWorker &worker, TimePoint now) const -> std::vector<PacePlan>;

    /// @brief Predicts how one more filling task would affect the serving tasks of a worker.
    ///
    /// The headrooms of the worker's serving tasks are cached in the worker for a short time, because placement evaluates every
    /// worker for each waiting task.
    /// @param worker worker that would run the task
    /// @param image image of the filling task
    /// @param cpuMillis processors that the task declares, in thousandths of a core
    [[nodiscard]] auto fitOf(FleetWorker &worker, ImageId image, std::int64_t cpuMillis, TimePoint now) const -> FillFit;

    /// @brief Records how much filling work is waiting; the smaller the backlog, the more headroom is required.
    /// @param share processors declared by the waiting filling tasks, as a share of all processors
    auto recordBacklog(double share, TimePoint now) noexcept -> void;

    [[nodiscard]] auto model() noexcept -> FillInterferenceModel &
    {
        return m_model;
    }

private:
    /// Headroom that each serving task must keep at the current backlog.
    [[nodiscard]] auto requiredHeadroom() const noexcept -> double;

    /// Learns from the difference between this sample and a recent one of the same job on another worker, then stores the sample.
    auto learnFromSample(FleetJob &job, ImageId image, FleetJob::HeadroomSample &&sample) -> void;

    /// Recomputes the cached headrooms of a worker's serving tasks.
    auto updateServingHeadrooms(FleetWorker &worker, TimePoint now) const -> void;

    /// Expected headroom of a serving task without filling tasks on its worker.
    [[nodiscard]] auto headroomWithoutFills(const TaskRun &run, TimePoint when) const noexcept -> double;

    FillInterferenceModel m_model;
    double m_backlogShare = 0; ///< smoothed; see recordBacklog()
    TimePoint m_backlogAt; ///< last call of recordBacklog()
};
}
