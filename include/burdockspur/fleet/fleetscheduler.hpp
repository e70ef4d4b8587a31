#pragma once

#include "burdockspur/contract/fleetconfiguration.hpp"
#include "burdockspur/fleet/evacuation/zoneevacuation.hpp"
#include "burdockspur/fleet/fleetanswer.hpp"
#include "burdockspur/fleet/fleetcommand.hpp"
#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/fleetlimits.hpp"
#include "burdockspur/fleet/fleetworker.hpp"
#include "burdockspur/fleet/formerowner.hpp"
#include "burdockspur/fleet/heldtasklog.hpp"
#include "burdockspur/fleet/jobchanges.hpp"
#include "burdockspur/fleet/pacecontroller.hpp"
#include "burdockspur/fleet/placementcounters.hpp"
#include "burdockspur/fleet/placementgroup.hpp"
#include "burdockspur/fleet/placementpass.hpp"
#include "burdockspur/fleet/reportpacing.hpp"
#include "burdockspur/fleet/startwindow.hpp"
#include "burdockspur/fleet/stragglers/durationmodel.hpp"
#include "burdockspur/fleet/stragglers/stragglerwatch.hpp"
#include "burdockspur/fleet/takeover/queueworkmeans.hpp"
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
struct FreeCapacity;
struct TaskStep;

/// @brief The stored state of a job, as read at a takeover.
struct StoredJob {
    TaskJob m_job;
    std::optional<JobProgress> m_progress;
    bool m_isCancelled = false;
    std::uint32_t m_continuationRows = 0; ///< highest number of a continuation row of the progress
};

/// @brief Makes all decisions of the owner: places tasks on workers, tracks their runs, and decides what is stored.
///
/// Receives events with their time and queues commands; it uses no socket, thread, codec or clock. Invariants:
/// - an assignment is stored before its start order is sent, so that a successor can find every run that may exist;
/// - a task is assigned again only after its last run has ended or can no longer start, or after the worker's lease has expired; if its step allows
///   copies, a second run may be assigned beside one;
/// - the end of a run is acknowledged to the worker only after its effects are stored;
/// - the resources reserved for a run are freed only when the run is removed.
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

    /// @brief Starts an ownership whose jobs are still being read; drops all jobs and workers of an earlier one.
    ///
    /// Until begin() is called for the same epoch, the workers' leases are renewed and nothing else is decided: reading the jobs of a
    /// large fleet over a narrow link takes longer than a lease.
    /// @param epoch fencing token of this ownership
    /// @param claimedAt a time before the claim of the ownership was stored; leases are renewed for a limited time from then on
    /// @param former what is known of the leases of the former owner
    auto prepare(Epoch epoch, TimePoint claimedAt, FormerOwner former) -> void;

    /// @brief Starts an ownership, or continues a prepared one; drops all jobs and workers of an earlier one.
    /// @param epoch fencing token of this ownership
    /// @param jobs all stored jobs that were not archived
    auto begin(Epoch epoch, std::vector<StoredJob> &&jobs, TimePoint now, WallTime wallNow) -> void;

    /// @brief Ends the ownership; no decisions are made until the next begin().
    auto resign() -> void;

    [[nodiscard]] auto isOwner() const noexcept -> bool
    {
        return m_epoch != 0;
    }

    /// @brief True between prepare() and begin().
    [[nodiscard]] auto isPreparing() const noexcept -> bool
    {
        return m_isPreparing;
    }

    [[nodiscard]] auto epoch() const noexcept -> Epoch
    {
        return m_epoch;
    }

    /// @brief Restores the interference model that a previous owner has stored.
    auto restoreModel(std::span<const InterferencePair> pairs) -> void
    {
        m_paceController.model().restore(pairs);
    }

    /// @brief Applies a configuration; its queue policies replace those that the jobs were accepted with.
    auto configure(std::shared_ptr<const FleetConfiguration> configuration) -> void;
    /// @brief Adds a submitted job; has no effect if the job is known or archived.
    auto addJob(TaskJob &&job, TimePoint now, WallTime wallNow) -> void;
    /// @brief Cancels a job unless its phase is final.
    auto cancelJob(std::string_view id) -> void;

    /// @brief Deletes the progress of jobs that were moved to the table of ended jobs; keeps only their ids, until the retention has passed.
    /// @param ids jobs whose move is confirmed; or names of single rows that are left of such jobs
    auto markArchived(std::span<const std::string> ids, TimePoint now) -> void;

    /// @brief Declares that every job stored before a time was passed to begin() or addJob().
    auto setJobListTime(TimePoint time) noexcept -> void
    {
        m_jobListTime = time;
    }

    /// @brief Applies changes of the platform's list of workers.
    /// @param changed new or changed entries
    /// @param removed ids that are no longer listed
    auto updateWorkers(std::span<const WorkerRecord> changed, std::span<const std::string> removed, TimePoint now) -> void;

    /// @brief Applies what this host knows of the operator's requests to close zones; kept across ownerships.
    auto setClosedZones(ClosedZones &&zones, TimePoint now) -> void;

    /// @brief Processes the answer to an order; answers from earlier epochs or other incarnations have no effect.
    auto handleAnswer(const ReportAnswer &answer, TimePoint now) -> void;
    auto handleAnswer(const StartAnswer &answer, TimePoint now) -> void;
    auto handleAnswer(const StopAnswer &answer, TimePoint now) -> void;
    auto handleAnswer(const PaceAnswer &answer, TimePoint now) -> void;
    auto handleAnswer(const CommitAnswer &answer, TimePoint now) -> void;

    /// @brief Makes all decisions that are due: placement, stops, lost runs, commits and reports.
    /// @returns latest time of the next call
    [[nodiscard]] auto advance(TimePoint now, WallTime wallNow) -> TimePoint;

    /// @brief Removes and returns the commands queued since the last call.
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

    /// @brief Number of tasks that wait for a worker with free capacity.
    [[nodiscard]] auto waitingCount() const noexcept -> std::size_t
    {
        return m_waitingCount;
    }

    /// @brief Number of jobs that have a waiting task and no run for more than a second; updated once a second.
    [[nodiscard]] auto idleJobCount() const noexcept -> std::size_t
    {
        return m_heldTaskLog.idleJobs();
    }

    /// @brief Longest time for which one of these jobs has no run.
    [[nodiscard]] auto longestIdle() const noexcept -> Duration
    {
        return m_heldTaskLog.longestIdle();
    }

    [[nodiscard]] auto closedZoneCounts() const -> ZoneEvacuation::Counts
    {
        return m_evacuation.count(m_workers);
    }

    /// @brief Counters of the copies of stragglers since construction.
    [[nodiscard]] auto copyCounters() const noexcept -> const CopyCounters &
    {
        return m_stragglers.counters();
    }

    /// @brief Counters of the placement work since construction.
    [[nodiscard]] auto placementCounters() const noexcept -> const PlacementCounters &
    {
        return m_placementCounters;
    }

private:
    struct WaitingTask;
    struct WorkerFit;
    struct WorkerChoice;
    struct WorkerSearch;
    struct CommitInFlight;

    /// Capacity of a worker that is kept for a waiting task.
    struct CapacityReservation {
        std::string m_worker; ///< id
        Resources m_demand;
    };
    using WorkerMap = std::map<std::string, FleetWorker, std::less<>>;

    // Jobs
    /// @brief Recreates the runs of the stored assignments of a job.
    auto restoreRuns(FleetJob &job, TimePoint now) -> void;
    /// @brief Sets a final phase and stops the runs of the job.
    auto finishJob(FleetJob &job, JobPhase phase) -> void;
    /// @brief Records the change of a task, and completes the job if all of its tasks are done.
    auto handleTaskChange(FleetJob &job) -> void;
    auto markRunsForStop(const FleetJob &job) -> void;
    /// @brief Opens the occurrences of all jobs that are due.
    /// @returns latest time of the next call
    auto startDueOccurrences(TimePoint now, WallTime wallNow) -> TimePoint;
    auto forgetArchivedJobs(TimePoint now) -> void;
    auto dropJob(std::string_view id) -> void;
    auto requestArchiving(std::span<const std::string> ids) -> void;

    /// @brief Includes a job in decisions and in the change lists.
    auto trackJob(FleetJob &job) -> void;

    /// @brief Removes a job from decisions, change lists and counts; required before the job is destroyed.
    auto untrackJob(FleetJob &job) -> void;
    /// @brief Current policy of the job's queue; the policy at acceptance if the queue no longer exists.
    [[nodiscard]] auto policyOf(const FleetJob &job) const noexcept -> const JobQueuePolicy &;

    // Workers
    [[nodiscard]] auto findWorker(std::string_view id) noexcept -> FleetWorker *;
    /// @brief Finds the worker that an order was sent to; nullptr if the epoch or the incarnation has changed since.
    [[nodiscard]] auto findAddressedWorker(const WorkerAddress &address) noexcept -> FleetWorker *;
    [[nodiscard]] auto addressOf(const FleetWorker &worker) const -> WorkerAddress;
    /// @brief Counts the answer to a start order against those that may be under way.
    /// @param run the run that the order has started; nullptr if it is not known any more
    auto recordStartAnswer(const StartAnswer &answer, const TaskRun *run, TimePoint now) -> void;
    auto resignAfterFencing(const FleetWorker &worker) -> void;
    /// @brief Latest end of a lease that the former owner may have granted to a worker.
    [[nodiscard]] auto inheritedLeaseEndOf(std::string_view worker) const -> TimePoint;
    /// @brief True if a lease of a worker may be extended now.
    [[nodiscard]] auto mayRenewLease(const FleetWorker &worker, TimePoint now) const -> bool;
    /// @brief Workers that are silent and have runs, for a commit.
    /// @param commit number of the commit
    [[nodiscard]] auto declareSilentWorkers(std::uint64_t commit, TimePoint now) -> std::vector<SilentWorker>;
    /// @brief Marks all runs of a worker as lost, and continues with another incarnation of it.
    auto replaceIncarnation(FleetWorker &worker, std::uint64_t incarnation, std::string_view reason) -> void;
    auto processEnds(FleetWorker &worker, std::span<const EndedTask> ended, TimePoint now) -> void;
    /// @brief Processes the end of a run that was already counted as lost.
    auto processLateEnd(const EndedTask &end) -> void;
    /// @brief Completes a task by the success of a run, which may not be assigned any more; its other runs are removed, or stopped if their start orders
    /// were sent.
    auto completeTask(FleetJob &job, const TaskId &id, RunNumber run) -> void;
    /// @brief Removes a run of a task that is not needed any more, or stops it if its start order was sent.
    auto withdrawRun(std::string_view worker, const TaskId &id, RunNumber run) -> void;
    /// @brief Fails the job when a finite task has no attempt left; not while another run of the task is under way that was to run beside the failed one.
    auto failAfterLastAttempt(FleetJob &job, const TaskStep &step, const TaskProgress &task) -> void;
    /// @brief Updates the runs of a worker from its report, and stops reported runs that the owner has not assigned.
    auto processRunningTasks(FleetWorker &worker, const ReportAnswer &answer, TimePoint now) -> void;
    /// @brief Removes an ended run and updates its task; the success of one gang member completes all members.
    auto endRun(FleetWorker &worker, TaskRun &run, RunEnd how, std::string_view checkpoint, TimePoint now) -> void;
    /// @brief Updates a task after the end of a run: done, waiting again, or continued by its other run. The end of a run that is not assigned any more
    /// has no effect.
    auto endTask(FleetJob &job, const TaskId &id, RunNumber run, RunEnd how, std::string_view checkpoint) -> void;
    /// @brief Lets a copy count as the only run of its task.
    auto promoteCopy(const TaskId &id, const TaskProgress &task) -> void;
    /// @brief Learns from the success of a run, and counts the work of one that was not needed.
    /// @param isWorkerTrusted whether the worker was trusted before the end
    auto learnFromEnd(const TaskRun &run, RunEnd how, bool isWorkerTrusted, TimePoint now) -> void;
    /// @brief Judges which runs of a worker are worth a copy.
    auto watchStragglers(FleetWorker &worker, TimePoint now) -> void;
    /// @brief Stops a copy that is projected to end after the original run.
    auto stopIfNoFaster(FleetWorker &worker, TaskRun &copy, TimePoint now) -> void;
    /// @brief Removes a run that cannot start any more and makes its task wait again.
    auto requeueRun(FleetWorker &worker, TaskRun &run, std::string_view reason) -> void;
    /// @brief Marks all runs of a worker as lost.
    auto markRunsLost(FleetWorker &worker, std::string_view reason) -> void;
    /// @brief Marks runs whose start order was sent as lost; the others cannot have started, so they do not depend on the lease.
    auto markSentRunsLost(FleetWorker &worker, std::string_view reason) -> void;
    auto recordLostRuns(std::span<const TaskRun> runs, const FleetWorker &worker, std::string_view reason) -> void;
    /// @brief Sends the report orders that are due.
    /// @returns latest time of the next call
    auto pollWorkers(TimePoint now) -> TimePoint;
    /// @brief Sends the stop orders of a worker that are due.
    /// @returns latest time of the next call
    auto sendStops(FleetWorker &worker, TimePoint now) -> TimePoint;
    auto adjustFillingPaces(FleetWorker &worker, TimePoint now) -> void;
    /// @brief Lets yielding runs of a worker count as ordinary ones where the guards of placement would admit them now.
    auto admitYieldingRuns(FleetWorker &worker, TimePoint now) -> void;
    /// @brief Slows a run that has just started to what its worker can carry.
    auto setFirstPace(FleetWorker &worker, TaskRun &run, TimePoint now) -> void;
    /// @brief Orders a pace unless it hardly differs from the present one or an order is under way.
    auto setPace(const FleetWorker &worker, TaskRun &run, int percent) -> void;
    /// @brief Stops runs that make hardly any progress, so that they run again on another worker.
    auto moveSlowRuns(FleetWorker &worker, TimePoint now) -> void;

    // Placement
    /// @brief Places waiting tasks if a placement round is due and a commit can store the assignments soon.
    /// @returns latest time of the next call
    auto placeWhenDue(TimePoint now) -> TimePoint;
    auto placeWaitingTasks(TimePoint now) -> void;
    /// @brief True if more start orders may be under way.
    [[nodiscard]] auto mayAssign() const noexcept -> bool;
    auto updateBacklogs(TimePoint now) -> void;
    [[nodiscard]] auto rankOf(const FleetJob &job, const TaskStep &step, TimePoint now) const -> JobRank;
    /// @brief True if a serving task may wait until finite work has been placed.
    [[nodiscard]] auto mayDefer(const JobBacklog::Task &task, TimePoint now) const noexcept -> bool;
    /// @brief Adds the waiting tasks of a job to the groups of this round.
    auto addGroups(FleetJob &job, std::vector<PlacementGroup> &groups, const PoolCapacities &pools, TimePoint now) -> void;
    /// @brief True if the guards of placement may not hold the job back any longer, see FleetLimits::m_maxIdle.
    [[nodiscard]] auto isIdleTooLong(const FleetJob &job, const PoolCapacities &pools, TimePoint now) const noexcept -> bool;
    /// @brief Waiting tasks of a group.
    [[nodiscard]] auto tasksOf(const PlacementGroup &group, TimePoint now) const -> std::vector<WaitingTask>;
    /// @brief Assigns the tasks of a group to workers until the free capacity is used up.
    /// @returns false when the tries of this round or the start orders that may be under way were used up before the end of the group
    [[nodiscard]] auto placeGroup(const PlacementGroup &group, PlacementOrder &order, PoolCapacities &pools, TimePoint now) -> bool;
    /// @brief Begins a search for the tasks of a step.
    /// @param first any of the tasks
    [[nodiscard]] auto beginSearch(const WaitingTask &first, PoolCapacities &pools, TimePoint now) -> WorkerSearch;
    /// @brief Adds a worker to a search, or counts the guard that excludes it.
    auto examine(WorkerSearch &search, const FreeCapacity &candidate, const WaitingTask &waiting, TimePoint now) -> void;
    /// @brief Removes the best worker with free capacity for a task from a search.
    [[nodiscard]] auto chooseWorker(WorkerSearch &search, const WaitingTask &waiting, const PoolCapacities &pools, TimePoint now) -> WorkerChoice;
    /// @brief True if enough processors of a worker are unused for a filling task.
    /// @param freeFillingCpu see FleetWorker::freeFillingCpu()
    /// @param demand processors that the task declares, in thousandths of a core
    [[nodiscard]] static auto hasUnusedCpu(std::int64_t freeFillingCpu, std::int64_t demand) noexcept -> bool;
    /// @brief Fit of a worker for a counted task.
    [[nodiscard]] static auto roomFitOf(const TaskStep &step, ImageId image, const FreeCapacity &candidate, bool isInRack) -> WorkerFit;
    /// @brief Fit of a worker for a filling task.
    /// @param bypassesGuards true if the fit is needed even if a guard excludes the worker
    [[nodiscard]] auto fillFitOf(const TaskStep &step, ImageId image, const FreeCapacity &candidate, bool isInRack, bool bypassesGuards, TimePoint now) const
        -> WorkerFit;
    /// @brief Keeps capacity for a serving task that fits nowhere, on the worker that needs to free the least.
    /// @returns false if no worker could free enough
    [[nodiscard]] auto reserveCapacity(const WaitingTask &waiting, PoolCapacities &pools, TimePoint now) -> bool;
    /// @brief Assigns all tasks of a gang, or none.
    [[nodiscard]] auto placeGang(std::span<const WaitingTask> members, PoolCapacities &pools, TimePoint now) -> bool;
    /// @brief Assigns copies of stragglers while no waiting task can use the room.
    auto placeCopies(PoolCapacities &pools, TimePoint now) -> void;
    /// @brief Assigns a copy of a run.
    /// @returns false if no worker has room
    auto placeCopy(const TaskRun &original, const CopyWorth &worth, PoolCapacities &pools, TimePoint now) -> bool;
    /// @brief Stops copies whose room a waiting task can use.
    auto yieldCopies() -> void;
    /// @brief Assigns a task to a worker; the start order follows once the assignment is stored.
    /// @param choice result of the search, with a worker
    auto assign(const WaitingTask &waiting, const WorkerChoice &choice, RunNumber run, TimePoint now) -> void;
    /// @brief Sends the start order of a run, or withdraws the run if it must not start any more.
    auto sendStart(FleetWorker &worker, TaskRun &run, TimePoint now) -> void;

    // Commits
    /// @brief Sends a commit of all changes if one is due and none is in flight.
    /// @returns latest time of the next call
    auto commitChanges(TimePoint now) -> TimePoint;
    [[nodiscard]] auto hasChanges() const -> bool;
    auto collectRows(CommitOrder &order, CommitInFlight &commit) -> void;
    /// @brief Values of the rows that store the progress of a job, which fit into one commit.
    [[nodiscard]] auto progressRowsOf(const FleetJob &job) const -> std::vector<std::string>;
    /// @brief Collects the acknowledgements and starts that become possible once the commit is stored.
    auto collectConsequences(CommitInFlight &commit) -> void;
    [[nodiscard]] auto waitingJobs() const -> std::optional<WaitingJobs>;

    FleetLimits m_limits;
    Epoch m_epoch = 0;
    TimePoint m_storeConfirmedAt; ///< send time of the last commit that was stored
    FormerOwner m_former;
    /// Workers that a commit has listed as silent, and the number of the last such commit. Until a later commit is stored, a successor may rely on
    /// the list.
    std::map<std::string, std::uint64_t, std::less<>> m_declaredSilent;
    bool m_isPreparing = false; ///< see prepare()
    std::optional<TimePoint> m_jobListTime; ///< see setJobListTime()
    std::shared_ptr<const FleetConfiguration> m_configuration;
    std::map<std::string, std::unique_ptr<FleetJob>, std::less<>> m_jobs;
    std::map<std::string_view, FleetJob *> m_activeJobs; ///< jobs that are not settled, by id
    JobChanges m_changes; ///< of the active jobs
    TaskKinds m_kinds; ///< constraints of the waiting tasks
    WorkerMap m_workers;
    ZoneEvacuation m_evacuation; ///< kept across ownerships
    ReportPacing m_reportPacing;
    PaceController m_paceController; ///< kept across ownerships, because its model of interference stays valid
    QueueWorkMeans m_queueWork; ///< kept across ownerships
    DurationModel m_durations; ///< kept across ownerships, because runs of a kind take as long as before
    StragglerWatch m_stragglers;
    std::unordered_set<std::string> m_archived; ///< ids of archived jobs; a list that was read before a move may still contain them
    std::deque<std::pair<TimePoint, std::string>> m_archivedAt; ///< time of archiving and id, oldest first
    std::unordered_set<std::string> m_deletes; ///< row keys to delete with the next commit
    std::vector<FleetCommand> m_commands;
    std::unique_ptr<CommitInFlight> m_commit;
    std::uint64_t m_commitNumber = 0;
    TimePoint m_nextCommit;
    TimePoint m_lastCommit;
    TimePoint m_nextPlacement; ///< time of the next round while tasks wait and nothing changes
    TimePoint m_nextModelWrite; ///< when to store the interference model again
    std::vector<CapacityReservation> m_reservations; ///< of the current round, and of its continuation
    PlacementPass m_pass;
    StartWindow m_startWindow;
    std::size_t m_assignedSinceCommit = 0; ///< runs whose start orders are not sent yet, because no commit contains them
    std::size_t m_triesLeft = 0; ///< tasks that this round may still try to place
    PlacementCounters m_placementCounters;
    HeldTaskLog m_heldTaskLog;
    std::size_t m_waitingCount = 0;
    std::int64_t m_waitingFillCpu = 0; ///< declared demand of the waiting filling tasks, in thousandths of a core
    std::size_t m_idleStartsLeft = 0; ///< idle jobs that this round may still give a run
    bool m_needsPlacement = false; ///< something has changed since the last round
};
}
