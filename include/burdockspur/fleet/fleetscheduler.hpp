#pragma once

#include "burdockspur/contract/fleetconfiguration.hpp"
#include "burdockspur/fleet/fleetanswer.hpp"
#include "burdockspur/fleet/fleetcommand.hpp"
#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/fleetlimits.hpp"
#include "burdockspur/fleet/fleetworker.hpp"
#include "burdockspur/fleet/pacecontroller.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Burdockspur
{
/// @brief A job as it stands in the store.
struct StoredJob {
    TaskJob m_job;
    std::optional<JobProgress> m_progress;
    bool m_isCancelled = false;
};

/// @brief All decisions of the owner: which task runs where, and what is known of each run.
///
/// Takes events with the time, and appends commands; it uses no socket, thread, codec or clock. What must hold:
/// - an assignment is stored before its order is sent, so that a successor knows where a task may run;
/// - a task is assigned again only when its last run has ended, can never begin, or its worker's lease has passed;
/// - an end is acknowledged only when its consequences are stored;
/// - reserved room of a run is freed only with the run.
class FleetScheduler
{
public:
    using WallTime = TaskJob::WallTime;

    explicit FleetScheduler(const FleetLimits &limits);
    ~FleetScheduler();
    FleetScheduler(const FleetScheduler &) = delete;
    FleetScheduler(FleetScheduler &&) = delete;
    auto operator=(const FleetScheduler &) -> FleetScheduler & = delete;
    auto operator=(FleetScheduler &&) -> FleetScheduler & = delete;

    /// @brief Takes over: everything known before is forgotten.
    /// @param epoch fencing token of this ownership
    /// @param jobs all jobs of the store
    auto begin(Epoch epoch, std::vector<StoredJob> &&jobs, TimePoint now, WallTime wallNow) -> void;

    /// @brief Stops all decisions until the next begin().
    auto resign() -> void;

    [[nodiscard]] auto isOwner() const noexcept -> bool
    {
        return m_epoch != 0;
    }

    [[nodiscard]] auto epoch() const noexcept -> Epoch
    {
        return m_epoch;
    }

    /// @brief Takes what a previous owner has learned.
    auto restorePressures(std::span<const PressurePair> pairs) -> void
    {
        m_paces.model().restore(pairs);
    }

    auto configure(std::shared_ptr<const FleetConfiguration> configuration) -> void;
    auto addJob(TaskJob &&job, TimePoint now, WallTime wallNow) -> void;
    auto cancelJob(std::string_view id) -> void;

    /// @brief Takes jobs that were moved to the table of ended jobs: their progress is deleted, and only their ids are kept.
    /// @param ids known to be stored there
    auto noteArchived(std::span<const std::string> ids, TimePoint now) -> void;

    /// @brief Every job stored before a time was given to begin() or addJob().
    auto noteJobsAsOf(TimePoint time) noexcept -> void
    {
        m_jobsAsOf = time;
    }

    /// @brief Takes changes of the list of workers.
    /// @param changed entries that are new or different
    /// @param removed ids that are listed no more
    auto updateWorkers(std::span<const WorkerRecord> changed, std::span<const std::string> removed, TimePoint now) -> void;

    auto take(const ReportAnswer &answer, TimePoint now) -> void;
    auto take(const StartAnswer &answer, TimePoint now) -> void;
    auto take(const StopAnswer &answer, TimePoint now) -> void;
    auto take(const PaceAnswer &answer, TimePoint now) -> void;
    auto take(const CommitAnswer &answer, TimePoint now) -> void;

    /// @brief Acts on what has changed and on time that has passed.
    /// @returns when to call again at the latest
    [[nodiscard]] auto advance(TimePoint now, WallTime wallNow) -> TimePoint;

    /// @brief Commands since the last call.
    [[nodiscard]] auto takeCommands() -> std::vector<FleetCommand>
    {
        return std::exchange(m_commands, {});
    }

    [[nodiscard]] auto jobCount() const noexcept -> std::size_t
    {
        return m_jobs.size();
    }

    [[nodiscard]] auto workerCount() const noexcept -> std::size_t
    {
        return m_workers.size();
    }

    /// @brief Number of tasks that wait for room.
    [[nodiscard]] auto waitingCount() const noexcept -> std::size_t
    {
        return m_waitingCount;
    }

private:
    struct JobRank;
    struct WaitingTask;
    struct CommitInFlight;
    using WorkerMap = std::map<std::string, FleetWorker, std::less<>>;

    // Jobs
    auto restoreRuns(FleetJob &job, TimePoint now) -> void;
    auto finish(FleetJob &job, JobPhase phase) -> void;
    auto afterChange(FleetJob &job) -> void;
    auto wantStops(const FleetJob &job) -> void;
    auto beginDueOccurrences(TimePoint now, WallTime wallNow) -> TimePoint;
    auto forgetOldJobs(TimePoint now) -> void;
    auto dropJob(std::string_view id) -> void;
    auto orderArchiving(std::span<const std::string> ids) -> void;

    /// @brief Leaves out of further decisions what is final and stored; it stays known until it is forgotten.
    auto settleJobs() -> void;
    [[nodiscard]] auto policyOf(const FleetJob &job) const noexcept -> const JobQueuePolicy &;

    // Workers
    [[nodiscard]] auto workerNamed(std::string_view id) noexcept -> FleetWorker *;
    [[nodiscard]] auto workerFor(const WorkerAddress &address) noexcept -> FleetWorker *;
    [[nodiscard]] auto addressOf(const FleetWorker &worker) const -> WorkerAddress;
    auto resignFenced(const FleetWorker &worker) -> void;
    auto replaceIncarnation(FleetWorker &worker, const WorkerRecord &record, TimePoint now) -> void;
    auto takeEnds(FleetWorker &worker, std::span<const EndedTask> ended, TimePoint now) -> void;
    auto takeRunning(FleetWorker &worker, const ReportAnswer &answer, TimePoint now) -> void;
    auto endRun(FleetWorker &worker, TaskRun &run, RunEnd how, std::string_view checkpoint, TimePoint now) -> void;
    auto endTask(FleetJob &job, const TaskId &id, RunEnd how, std::string_view checkpoint) -> void;
    auto returnRun(FleetWorker &worker, TaskRun &run, std::string_view reason) -> void;
    auto loseRuns(FleetWorker &worker, std::string_view reason) -> void;
    auto pollWorkers(TimePoint now) -> TimePoint;
    auto stopRuns(FleetWorker &worker, TimePoint now) -> TimePoint;
    auto leaveWorker(FleetWorker &worker, TimePoint now) -> void;
    auto paceFills(FleetWorker &worker, TimePoint now) -> void;
    auto moveSlowRuns(FleetWorker &worker, TimePoint now) -> void;

    // Placement
    auto placeWaiting(TimePoint now) -> void;
    [[nodiscard]] auto rankOf(const FleetJob &job, const JobQueuePolicy &policy, TimePoint now) const -> JobRank;
    /// @brief All tasks that may start, best first.
    [[nodiscard]] auto collectWaiting(TimePoint now) -> std::vector<WaitingTask>;
    auto noteBacklog(std::span<const WaitingTask> waiting, TimePoint now) -> void;
    [[nodiscard]] auto chooseWorker(const WaitingTask &waiting, TimePoint now) -> FleetWorker *;
    [[nodiscard]] auto placeGang(std::span<const WaitingTask> members, TimePoint now) -> bool;
    auto assign(const WaitingTask &waiting, FleetWorker &worker, RunNumber run, TimePoint now) -> void;
    auto sendStart(FleetWorker &worker, TaskRun &run, TimePoint now) -> void;

    // Commits
    auto commitChanges(TimePoint now) -> TimePoint;
    [[nodiscard]] auto hasChanges() const -> bool;
    auto collectRows(CommitOrder &order, CommitInFlight &commit) -> bool;
    auto collectConsequences(CommitInFlight &commit, bool isWhole) const -> void;
    [[nodiscard]] auto waitingJobs() const -> std::optional<WaitingJobs>;

    FleetLimits m_limits;
    Epoch m_epoch = 0;
    TimePoint m_storeConfirmedAt; ///< when the last stored commit was sent
    std::optional<TimePoint> m_jobsAsOf; ///< see noteJobsAsOf()
    std::shared_ptr<const FleetConfiguration> m_configuration;
    std::map<std::string, std::unique_ptr<FleetJob>, std::less<>> m_jobs;
    std::map<std::string_view, FleetJob *> m_activeJobs; ///< those that are not settled, by id
    WorkerMap m_workers;
    PaceController m_paces; ///< kept over ownerships: what it has learned stays true
    std::map<std::string, double, std::less<>> m_meanWork; ///< core seconds of a job, by queue
    std::map<std::string, TimePoint> m_servingWaits; ///< since when each serving task waits for room
    std::unordered_set<std::string> m_archived; ///< ids only; a list of jobs that was read before the move may still bring them
    std::deque<std::pair<TimePoint, std::string>> m_archivedAt; ///< in order of time
    std::unordered_set<std::string> m_deletes; ///< keys to delete with the next commit
    std::vector<FleetCommand> m_commands;
    std::unique_ptr<CommitInFlight> m_commit;
    std::uint64_t m_commitNumber = 0;
    TimePoint m_nextCommit;
    TimePoint m_lastCommit;
    TimePoint m_nextPlacement; ///< while tasks wait
    TimePoint m_nextModel; ///< when to store what was learned
    std::size_t m_waitingCount = 0;
    bool m_mustPlace = false;
};
}
