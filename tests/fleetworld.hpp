#pragma once

#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/fleet/fleetscheduler.hpp"
#include "burdockspur/fleet/jobarchive.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur::Testing
{
/// @brief What may go wrong in a FleetWorld; shares from 0 to 1.
struct FleetFaults {
    double m_answerLost = 0; ///< of orders to workers: carried out, no answer
    double m_orderLate = 0; ///< of orders to workers: no answer, carried out seconds later
    double m_orderLost = 0; ///< of orders to workers: neither
    double m_commitFails = 0; ///< of commits: not stored
    double m_commitLate = 0; ///< of commits: told as not stored, takes effect before the next one
    double m_crashesPerSecond = 0; ///< workers that restart at once
    double m_darkPerSecond = 0; ///< workers that are unreachable for seconds
    double m_takeoversPerSecond = 0;
    double m_moveUnanswered = 0; ///< of moves of ended jobs: no answer; a third each was carried out, will be seconds later, or never is
    double m_reloadsPerSecond = 0; ///< lists of the jobs that the owner reads again, and takes up to 3 s later
};

/// @brief Workers, a store and owners in virtual time, with the truth about every run.
///
/// Workers keep the rules that the product takes from the platform: fencing, leases on their own clock, tombstones of
/// stopped runs, ends that are repeated until they are acknowledged. What must never happen is checked as it happens
/// and listed in m_violations.
class FleetWorld
{
public:
    FleetWorld(std::uint64_t seed, std::size_t workers, const FleetFaults &faults);
    ~FleetWorld();
    FleetWorld(const FleetWorld &) = delete;
    FleetWorld(FleetWorld &&) = delete;
    auto operator=(const FleetWorld &) -> FleetWorld & = delete;
    auto operator=(FleetWorld &&) -> FleetWorld & = delete;

    /// @brief Submits a job of random shape.
    auto submitRandomJob() -> std::string;

    auto submit(TaskJob job) -> void;
    auto cancel(std::string_view id) -> void;

    /// @brief Lets a new owner begin; the previous one does not know at first.
    /// @param reading time from the first list that the new owner reads to the last; changes happen meanwhile
    auto takeOver(Milliseconds reading = Milliseconds{0}) -> void;

    /// @brief Makes a worker unreachable, in both directions, for a time.
    auto darken(std::size_t worker, Milliseconds length) -> void;

    /// @brief Restarts a worker under its id.
    auto crash(std::size_t worker) -> void;

    /// @brief Makes a task take longer than its step declares, wherever it runs.
    /// @param index of the task in any step
    auto lengthen(std::string_view job, std::uint32_t index, double factor) -> void;

    /// @brief Runs for a time.
    auto run(Milliseconds length) -> void;

    auto endFaults() -> void
    {
        m_faults = {};
    }

    /// @brief Stored phase of a job.
    [[nodiscard]] auto phaseOf(std::string_view id) const -> JobPhase;

    [[nodiscard]] auto now() const noexcept -> TimePoint
    {
        return m_now;
    }

    /// @brief When a job was stored as final; nothing while it is not.
    [[nodiscard]] auto finalSince(std::string_view id) const -> std::optional<TimePoint>;

    /// @brief True when only the final row of a job is left.
    [[nodiscard]] auto isArchived(std::string_view id) const -> bool;

    /// @brief Names of the workers that run tasks of a job.
    [[nodiscard]] auto workersOf(std::string_view job) const -> std::set<std::string>;

    [[nodiscard]] auto startsOf(std::string_view job) const -> std::size_t;

    /// @brief First start of a task after a time; nothing when there was none.
    [[nodiscard]] auto firstStartAfter(TimePoint time) const -> std::optional<TimePoint>;

    std::vector<std::string> m_violations;
    std::vector<std::string> m_jobs;

private:
    struct SimulatedRun;
    struct SimulatedWorker;
    struct Start {
        TimePoint m_at;
        TaskId m_task;
    };
    struct Event {
        TimePoint m_at;
        std::uint64_t m_number = 0;
        std::function<void()> m_call;

        [[nodiscard]] auto operator>(const Event &other) const noexcept -> bool
        {
            return std::pair(m_at, m_number) > std::pair(other.m_at, other.m_number);
        }
    };

    auto after(Milliseconds delay, std::function<void()> call) -> void;
    auto step(FleetScheduler &owner) -> void;
    auto send(FleetScheduler &owner, const FleetCommand &command) -> void;
    auto commit(FleetScheduler &owner, const CommitOrder &order) -> void;
    auto store(const CommitOrder &order) -> void;
    auto carryOutArchive(FleetScheduler &owner) -> void;
    auto move(FleetScheduler &owner, const ArchiveWrite &write) -> void;
    auto store(const Transaction &transaction) -> void;
    auto beginOwner(FleetScheduler &owner, Epoch epoch, std::map<std::string, StoredJob> submissions, const std::map<std::string, JobProgress> &progress)
        -> void;
    [[nodiscard]] auto readSubmissions() const -> std::map<std::string, StoredJob>;
    [[nodiscard]] auto readProgress() const -> std::map<std::string, JobProgress>;
    auto reloadJobs(FleetScheduler &owner, Milliseconds delay) -> void;
    [[nodiscard]] auto chance(double share) -> bool;
    [[nodiscard]] auto travel() -> Milliseconds;
    auto causeFaults() -> void;
    auto list(std::size_t worker) -> void;
    [[nodiscard]] auto percentOf(const SimulatedRun &run) const -> double;
    [[nodiscard]] auto lengthOf(const TaskId &task) const -> double;

    // Workers
    [[nodiscard]] auto clockOf(const SimulatedWorker &worker) const -> Milliseconds;
    auto settle(SimulatedWorker &worker) -> void;
    auto endRun(SimulatedWorker &worker, const std::string &task, RunEnd how) -> void;
    [[nodiscard]] auto carryOut(SimulatedWorker &worker, const ReportOrder &order) -> WorkerAnswer;
    [[nodiscard]] auto carryOut(SimulatedWorker &worker, const RunStartOrder &order) -> WorkerAnswer;
    [[nodiscard]] auto carryOut(SimulatedWorker &worker, const RunStopOrder &order) -> WorkerAnswer;
    [[nodiscard]] auto carryOut(SimulatedWorker &worker, const RunPaceOrder &order) -> WorkerAnswer;
    auto checkStart(const SimulatedWorker &worker, const RunStartOrder &order) -> void;
    auto violate(std::string_view rule, std::string_view task) -> void;
    auto note(std::string_view task, std::string_view event) -> void;

    RandomSource m_random;
    RandomSource m_moveRandom; ///< of its own, so that moves leave the other faults of a seed as they are
    FleetFaults m_faults;
    TimePoint m_now;
    std::uint64_t m_eventNumber = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<SimulatedWorker>> m_workers;
    std::deque<std::unique_ptr<FleetScheduler>> m_owners; ///< the last one is the owner by the store
    Epoch m_epoch = 0;
    std::map<std::string, StoredJob, std::less<>> m_store;
    std::map<std::string, JobPhase, std::less<>> m_finals; ///< jobs whose submission was moved away
    std::map<const FleetScheduler *, JobArchive> m_archives;
    std::optional<CommitOrder> m_lateCommit;
    std::map<std::string, TaskJob, std::less<>> m_truth;
    std::set<std::string, std::less<>> m_doneNoted; ///< tasks whose good end was acknowledged
    std::set<std::string, std::less<>> m_done; ///< tasks that have ended well
    std::map<std::string, std::uint32_t, std::less<>> m_failuresNoted;
    std::map<std::string, TimePoint, std::less<>> m_cancelledAt;
    std::map<std::string, TimePoint, std::less<>> m_finalAt;
    std::map<std::pair<std::string, std::uint32_t>, double> m_lengths; ///< factors of tasks that are longer than others
    std::vector<Start> m_starts;
    std::map<std::string, std::string, std::less<>> m_history; ///< what happened to each task, for a violation
};
}
