#pragma once

#include "burdockspur/contract/fleetconfiguration.hpp"
#include "burdockspur/fleet/fleetanswer.hpp"
#include "burdockspur/fleet/fleetcommand.hpp"
#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/fleetlimits.hpp"
#include "burdockspur/fleet/fleetworker.hpp"
#include "burdockspur/fleet/jobchanges.hpp"
#include "burdockspur/fleet/pacecontroller.hpp"
#include "burdockspur/fleet/placementcounters.hpp"
#include "burdockspur/fleet/placementgroup.hpp"
#include "burdockspur/fleet/reportpacing.hpp"
#include "burdockspur/fleet/taskkinds.hpp"

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
class PlacementOrder;
class PoolCapacities;

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
    auto restorePressures(std::span<const InterferencePair> pairs) -> void
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

    /// @brief What the placement has done so far.
    [[nodiscard]] auto placementEffort() const noexcept -> const PlacementCounters &
    {
        return m_effort;
    }

private:
    struct WaitingTask;
    struct Choice;
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

    /// @brief Makes a job known to further decisions.
    auto watch(FleetJob &job) -> void;

    /// @brief Ends that; comes before a job ends to exist, because changes and counts refer to it.
    auto unwatch(FleetJob &job) -> void;
    [[nodiscard]] auto policyOf(const FleetJob &job) const noexcept -> const JobQueuePolicy &;

    // Workers
    [[nodiscard]] auto workerNamed(std::string_view id) noexcept -> FleetWorker *;
    [[nodiscard]] auto workerFor(const WorkerAddress &address) noexcept -> FleetWorker *;
    [[nodiscard]] auto addressOf(const FleetWorker &worker) const -> WorkerAddress;
    auto resignFenced(const FleetWorker &worker) -> void;
    auto replaceIncarnation(FleetWorker &worker, const WorkerRecord &record, TimePoint now) -> void;
    auto takeEnds(FleetWorker &worker, std::span<const EndedTask> ended, TimePoint now) -> void;
    /// @brief Takes the end of a run that was counted as lost.
    auto takeLateEnd(const EndedTask &end) -> void;
    /// @brief Completes a task by the end of an earlier run; the last run is dropped, or stopped if it was sent.
    auto completeLate(FleetJob &job, const TaskId &id) -> void;
    /// @brief Counts a run that has failed, once.
    auto countFailure(FleetJob &job, TaskProgress &task, RunNumber run) -> void;
    auto takeRunning(FleetWorker &worker, const ReportAnswer &answer, TimePoint now) -> void;
    auto endRun(FleetWorker &worker, TaskRun &run, RunEnd how, std::string_view checkpoint, TimePoint now) -> void;
    auto endTask(FleetJob &job, const TaskId &id, RunEnd how, std::string_view checkpoint) -> void;
    auto returnRun(FleetWorker &worker, TaskRun &run, std::string_view reason) -> void;
    auto loseRuns(FleetWorker &worker, std::string_view reason) -> void;
    /// @brief Counts the runs that were sent as lost; others have not used their lease yet.
    auto loseSentRuns(FleetWorker &worker, std::string_view reason) -> void;
    auto noteLost(std::span<const TaskRun> runs, const FleetWorker &worker, std::string_view reason) -> void;
    auto pollWorkers(TimePoint now) -> TimePoint;
    auto stopRuns(FleetWorker &worker, TimePoint now) -> TimePoint;
    auto leaveWorker(FleetWorker &worker, TimePoint now) -> void;
    auto paceFills(FleetWorker &worker, TimePoint now) -> void;
    auto moveSlowRuns(FleetWorker &worker, TimePoint now) -> void;

    // Placement
    /// @brief Places waiting tasks when something has changed and a commit can take the assignments.
    /// @returns when to call again at the latest
    auto placeWhenDue(TimePoint now) -> TimePoint;
    auto placeWaiting(TimePoint now) -> void;
    auto updateBacklogs(TimePoint now) -> void;
    [[nodiscard]] auto rankOf(const FleetJob &job, TimePoint now) const -> JobRank;
    /// @brief Adds what waits to the order of this round.
    auto addGroups(FleetJob &job, PlacementOrder &order, TimePoint now) -> void;
    [[nodiscard]] auto tasksOf(const PlacementGroup &group, TimePoint now) const -> std::vector<WaitingTask>;
    /// @brief Places the tasks of a group, as far as there is room.
    /// @returns false when the round has done its share of work before the end of the group
    [[nodiscard]] auto placeGroup(const PlacementGroup &group, PlacementOrder &order, PoolCapacities &rooms, TimePoint now) -> bool;
    [[nodiscard]] auto chooseWorker(const WaitingTask &waiting, PoolCapacities &rooms, TimePoint now) -> Choice;
    [[nodiscard]] auto placeGang(std::span<const WaitingTask> members, PoolCapacities &rooms, TimePoint now) -> bool;
    auto assign(const WaitingTask &waiting, FleetWorker &worker, RunNumber run, TimePoint now) -> void;
    auto sendStart(FleetWorker &worker, TaskRun &run, TimePoint now) -> void;

    // Commits
    auto commitChanges(TimePoint now) -> TimePoint;
    [[nodiscard]] auto hasChanges() const -> bool;
    auto collectRows(CommitOrder &order, CommitInFlight &commit) -> void;
    auto collectConsequences(CommitInFlight &commit) -> void;
    [[nodiscard]] auto waitingJobs() const -> std::optional<WaitingJobs>;

    FleetLimits m_limits;
    Epoch m_epoch = 0;
    TimePoint m_storeConfirmedAt; ///< when the last stored commit was sent
    std::optional<TimePoint> m_jobsAsOf; ///< see noteJobsAsOf()
    std::shared_ptr<const FleetConfiguration> m_configuration;
    std::map<std::string, std::unique_ptr<FleetJob>, std::less<>> m_jobs;
    std::map<std::string_view, FleetJob *> m_activeJobs; ///< those that are not settled, by id
    JobChanges m_changes; ///< of the active jobs
    TaskKinds m_kinds; ///< of the waiting tasks
    WorkerMap m_workers;
    ReportPacing m_reportPacing;
    PaceController m_paces; ///< kept over ownerships: what it has learned stays true
    std::map<std::string, double, std::less<>> m_meanWork; ///< core seconds of a job, by queue
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
    std::optional<PlacementPosition> m_resumeAt; ///< where the last round of placement stopped before its end
    std::size_t m_triesLeft = 0; ///< of this round
    PlacementCounters m_effort;
    std::size_t m_waitingCount = 0;
    std::int64_t m_waitingFillCpu = 0; ///< declared by waiting filling tasks, in thousandths of a core
    bool m_mustPlace = false;
};
}
