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
/// @brief What callers send to a PromptFleet, for each worker: the rates of the users' first deployment, divided by its 66 workers.
struct PromptLoad {
    double m_shortJobs = 0.076; ///< a second; one or two steps of six tasks of 0.8 s on 1.6 cores
    double m_fillJobs = 0.13; ///< a second; two steps of eight filling tasks of 1.7 s on 1.8 cores
    double m_servingShare = 0.5; ///< of the processors that serving tasks reserve
    std::uint32_t m_shortTasks = 6; ///< of a step
    std::int64_t m_shortCpu = 1'600; ///< of a task, in thousandths of a core
    std::uint32_t m_fillTasks = 8; ///< of a step
    std::uint32_t m_servingTasks = 6; ///< of a job
    int m_images = 5; ///< of each kind
    double m_demandSpread = 0; ///< demands differ from job to job by up to this share
    std::uint64_t m_spreadEvery = 0; ///< of so many jobs of short work, one allows two tasks on a worker only; 0 for none
    std::size_t m_waitingTasks = 0; ///< jobs are submitted on top of the rates until so many tasks wait
};

/// @brief Workers and a store that obey a FleetScheduler at once, in virtual time, to measure what its decisions cost.
///
/// Only the scheduler's own calls are measured. Tails of serving tasks rise with what fills beside them.
class PromptFleet
{
public:
    PromptFleet(std::size_t workers, const PromptLoad &load);
    ~PromptFleet();
    PromptFleet(const PromptFleet &) = delete;
    PromptFleet(PromptFleet &&) = delete;
    auto operator=(const PromptFleet &) -> PromptFleet & = delete;
    auto operator=(PromptFleet &&) -> PromptFleet & = delete;

    /// @brief Runs for a time.
    auto run(Milliseconds length) -> void;

    /// @brief Forgets what was measured so far.
    auto restartMeasurement() noexcept -> void
    {
        m_starts = 0;
        m_rounds = 0;
        m_nanoseconds = 0;
    }

    /// @brief Rounds of the scheduler: inputs, decisions, commands.
    [[nodiscard]] auto rounds() const noexcept -> std::uint64_t
    {
        return m_rounds;
    }

    /// @brief Tasks started.
    [[nodiscard]] auto starts() const noexcept -> std::uint64_t
    {
        return m_starts;
    }

    /// @brief Processor time of the scheduler in nanoseconds.
    [[nodiscard]] auto decisionNanoseconds() const noexcept -> double
    {
        return m_nanoseconds;
    }

    /// @brief Tasks that wait for room.
    [[nodiscard]] auto waitingCount() const noexcept -> std::size_t
    {
        return m_scheduler.waitingCount();
    }

    [[nodiscard]] auto placementCounters() const noexcept -> const PlacementCounters &
    {
        return m_scheduler.placementCounters();
    }

private:
    struct Run;
    struct Worker;

    auto tick() -> void;
    auto submitDue() -> void;
    auto submitBacklog() -> void;
    auto submit(bool fills) -> void;
    auto submitServing(std::size_t jobs) -> void;
    auto endDueRuns() -> void;
    auto answerReports() -> void;
    auto reportOf(Worker &worker) -> ReportAnswer;

    // What the scheduler wants done
    auto carryOut(const ReportOrder &order) -> void;
    auto carryOut(const RunStartOrder &order) -> void;
    auto carryOut(const RunStopOrder &order) -> void;
    auto carryOut(const RunPaceOrder &order) -> void;
    auto carryOut(const CommitOrder &order) -> void;
    auto carryOut(const ArchiveOrder &order) -> void;

    [[nodiscard]] auto workerAt(const WorkerAddress &address) noexcept -> Worker &;
    [[nodiscard]] auto stepOf(const TaskId &task) const -> const TaskStep &;

    FleetScheduler m_scheduler;
    PromptLoad m_load;
    TimePoint m_now;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::map<std::string, std::vector<TaskStep>, std::less<>> m_jobs;
    std::vector<WorkerAnswer> m_answers;
    std::vector<CommitAnswer> m_commits;
    std::uint64_t m_submitted = 0;
    double m_shortDue = 0;
    double m_fillsDue = 0;
    std::uint64_t m_starts = 0;
    std::uint64_t m_rounds = 0;
    double m_nanoseconds = 0;
};
}
