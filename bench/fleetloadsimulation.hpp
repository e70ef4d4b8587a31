#pragma once

#include "burdockspur/fleet/fleetscheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Burdockspur::Bench
{
/// @brief Load of a FleetLoadSimulation.
///
/// Rates are per worker. The defaults are those of the users' first deployment, divided by its 66 workers.
struct FleetLoad {
    double m_shortJobsPerSecond = 0.076; ///< per worker; one or two steps of six tasks of 0.8 s on 1.6 cores
    double m_fillingJobsPerSecond = 0.13; ///< per worker; two steps of eight filling tasks of 1.7 s on 1.8 cores
    double m_servingShare = 0.5; ///< share of the processors that serving tasks reserve
    std::uint32_t m_shortTasksPerStep = 6;
    std::int64_t m_shortCpuMillis = 1'600; ///< demand of a short task, in thousandths of a core
    Milliseconds m_shortEstimate{800}; ///< duration of a short task
    std::uint32_t m_fillingTasksPerStep = 8;
    std::uint32_t m_servingTasksPerJob = 6;
    int m_imagesPerKind = 5; ///< distinct images of each kind of task
    double m_demandVariation = 0; ///< largest deviation of a demand from its mean, as a share of the mean
    std::uint64_t m_spreadPeriod = 0; ///< one of this many jobs with short tasks allows at most two of them on a worker; 0 for none
    std::uint64_t m_largePeriod = 0; ///< one of this many jobs with short tasks has tasks of four times the processors; 0 for none
    bool m_looksAhead = false; ///< see LookAheadLimits
    std::size_t m_minWaitingTasks = 0; ///< further jobs are submitted until at least this many tasks wait
};

/// @brief Runs a FleetScheduler in simulated time with workers and a store that answer at once, and measures the processor time of its decisions.
///
/// Only calls of the scheduler are measured. The tail latency of serving tasks rises with the processors that filling
/// tasks use on the same worker.
class FleetLoadSimulation
{
public:
    FleetLoadSimulation(std::size_t workers, const FleetLoad &load);
    ~FleetLoadSimulation();
    FleetLoadSimulation(const FleetLoadSimulation &) = delete;
    FleetLoadSimulation(FleetLoadSimulation &&) = delete;
    auto operator=(const FleetLoadSimulation &) -> FleetLoadSimulation & = delete;
    auto operator=(FleetLoadSimulation &&) -> FleetLoadSimulation & = delete;

    /// @brief Advances the simulation.
    /// @param length simulated time
    auto run(Milliseconds length) -> void;

    /// @brief Resets the counters and the measured processor time.
    auto resetMeasurement() noexcept -> void
    {
        m_starts = 0;
        m_rounds = 0;
        m_decisionNanoseconds = 0;
    }

    /// @brief Number of scheduler rounds; each handles the inputs, decides and returns commands.
    [[nodiscard]] auto rounds() const noexcept -> std::uint64_t
    {
        return m_rounds;
    }

    /// @brief Number of tasks started.
    [[nodiscard]] auto starts() const noexcept -> std::uint64_t
    {
        return m_starts;
    }

    /// @brief Processor time that the scheduler used, in nanoseconds.
    [[nodiscard]] auto decisionNanoseconds() const noexcept -> double
    {
        return m_decisionNanoseconds;
    }

    /// @brief Number of tasks that wait for a worker.
    [[nodiscard]] auto waitingCount() const noexcept -> std::size_t
    {
        return m_scheduler.waitingCount();
    }

    [[nodiscard]] auto lookAhead() const noexcept -> const LookAheadPlacement &
    {
        return m_scheduler.lookAhead();
    }

    [[nodiscard]] auto placementCounters() const noexcept -> const PlacementCounters &
    {
        return m_scheduler.placementCounters();
    }

private:
    struct Run;
    struct Worker;

    auto tick() -> void;
    auto submitDueJobs() -> void;
    auto submitBacklog() -> void;
    auto submit(bool isFilling) -> void;
    auto submitServing(std::size_t jobs) -> void;
    auto endDueRuns() -> void;
    auto answerReports() -> void;
    auto makeReport(Worker &worker) -> ReportAnswer;

    // Execute the commands of the scheduler.
    auto execute(const ReportOrder &order) -> void;
    auto execute(const RunStartOrder &order) -> void;
    auto execute(const RunStopOrder &order) -> void;
    auto execute(const RunPaceOrder &order) -> void;
    auto execute(const CommitOrder &order) -> void;
    auto execute(const ArchiveOrder &order) -> void;

    [[nodiscard]] auto workerAt(const WorkerAddress &address) noexcept -> Worker &;
    [[nodiscard]] auto stepOf(const TaskId &task) const -> const TaskStep &;

    FleetScheduler m_scheduler;
    FleetLoad m_load;
    TimePoint m_now;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::map<std::string, std::vector<TaskStep>, std::less<>> m_jobs;
    std::vector<WorkerAnswer> m_answers;
    std::vector<CommitAnswer> m_commits;
    std::uint64_t m_submitted = 0;
    double m_shortJobsDue = 0;
    double m_fillingJobsDue = 0;
    std::uint64_t m_starts = 0;
    std::uint64_t m_rounds = 0;
    double m_decisionNanoseconds = 0;
};
}
