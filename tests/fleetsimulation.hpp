#pragma once

#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/fleet/evacuation/closedzones.hpp"
#include "burdockspur/fleet/fleetlimits.hpp"
#include "burdockspur/fleet/fleetscheduler.hpp"
#include "burdockspur/fleet/jobarchive.hpp"
#include "conditiontimer.hpp"
#include "simulatedprocessor.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur::Testing
{
class SimulatedInterference;
struct SimulatedRun;
struct SimulatedWorker;

/// Longest time for which a job may have nothing running although a task of it could start and half of the workers' capacity is free
/// (platform's rule LOST).
inline constexpr Milliseconds longestWait{3'000};
/// Longest time for which a serving task may be away, however full the workers are: 6 s from its last run, and the 3 s of the rule LOST.
inline constexpr Milliseconds longestServingAbsence{9'000};
/// Longest time for which filling tasks may keep a serving task over its target (`harm_ms` of the platform's rule HARM).
inline constexpr Milliseconds longestHarm{4'000};
/// Time from the closing of a zone after which nothing may start there: the owner learns of it, and its last order arrives.
inline constexpr Milliseconds longestEvacuation{100};

/// @brief Faults that a FleetSimulation injects; probabilities from 0 to 1, or rates per second.
struct FleetFaults {
    double m_answerLost = 0; ///< order to a worker is carried out, but not answered
    double m_orderLate = 0; ///< order to a worker is carried out seconds later, and not answered
    double m_orderLost = 0; ///< order to a worker is neither carried out nor answered
    double m_commitFails = 0; ///< commit is not stored
    double m_commitLate = 0; ///< commit is reported as not stored, but may take effect before the next one
    double m_crashesPerSecond = 0; ///< a worker restarts at once
    double m_outagesPerSecond = 0; ///< a worker is unreachable for seconds
    double m_takeoversPerSecond = 0; ///< a new owner takes over
    double m_archiveUnanswered = 0; ///< move of ended jobs is not answered; equally likely carried out, carried out seconds later, or lost
    double m_hiddenRestartsPerSecond = 0; ///< a worker restarts while it is unreachable for up to 2 s; its wall clock may have jumped back
    double m_kindChanges = 0; ///< share of the restarts after which a worker has another label, capacity and zone; steps may then require a label
    double m_foreignEntriesPerSecond =
        0; ///< another writer leaves an entry under a worker's id with the address of another one, at times as of a later incarnation
    bool m_ordersReachAnyIncarnation = false; ///< an order is carried out by the incarnation that it reaches, not only by the addressed one
    bool m_pacesHaveNoEffect = false; ///< workers accept paces, but do not slow the runs; only with interference
    double m_evacuationsPerSecond = 0; ///< the operator closes a zone for up to 8 s
    double m_reloadsPerSecond = 0; ///< the owner reads the list of jobs again, and receives it up to 3 s later
};

/// @brief Simulates workers, a store and owners in virtual time, and checks every run and every stored change.
///
/// Workers behave as the platform documents: fencing, leases on their own clock, tombstones of stopped runs, and ends that are
/// reported until they are acknowledged. Broken invariants are recorded in m_violations when they occur.
class FleetSimulation
{
public:
    /// @param limits of every owner
    FleetSimulation(std::uint64_t seed, std::size_t workers, const FleetFaults &faults, const FleetLimits &limits = {});
    ~FleetSimulation();
    FleetSimulation(const FleetSimulation &) = delete;
    FleetSimulation(FleetSimulation &&) = delete;
    auto operator=(const FleetSimulation &) -> FleetSimulation & = delete;
    auto operator=(FleetSimulation &&) -> FleetSimulation & = delete;

    /// @brief Changes the capacity of a worker; to be called before anything runs there.
    auto setCapacity(std::size_t worker, const Resources &capacity) -> void;

    /// @brief Submits a job of random shape.
    auto submitRandomJob() -> std::string;

    /// @brief Submits a job to a queue of the highest priority, whatever its policy says.
    auto submit(TaskJob job) -> void;

    /// @brief Submits a job to a queue with the priority and the objective of its policy.
    auto submitWithPolicy(TaskJob job) -> void;

    auto cancel(std::string_view id) -> void;

    /// @brief Starts a new owner; the previous one runs on until it detects its replacement.
    /// @param reading time between the first and the last list that the new owner reads; the store may change meanwhile
    auto takeOver(Milliseconds reading = Milliseconds{0}) -> void;

    /// @brief Ends the current owner at once; the workers are without one until takeOver().
    auto killOwner() -> void;

    /// @brief Makes a worker unreachable in both directions for a time.
    auto makeUnreachable(std::size_t worker, Milliseconds length) -> void;

    /// @brief Restarts a worker under the same id with a new incarnation.
    auto crash(std::size_t worker) -> void;

    /// @brief Restarts a worker under the same id.
    /// @param incarnation new incarnation; lower than the former one if the wall clock of the worker has jumped back
    /// @param entryDelay time until its entry in the platform's list is delivered
    auto restart(std::size_t worker, std::uint64_t incarnation, Milliseconds entryDelay) -> void;

    /// @brief Delivers an entry of another writer, under the id of a worker, with the address of another one, and at times as of a later incarnation.
    auto sendForeignEntry(std::size_t worker) -> void;

    [[nodiscard]] auto incarnationOf(std::size_t worker) const -> std::uint64_t;

    /// @brief Lets the run of a task fail, if there is one.
    /// @param task name of the task
    auto fail(const std::string &task) -> void;

    /// @brief Lets every run of a step fail shortly after its start, on every worker.
    auto makeHopeless(std::string_view job, std::uint32_t step) -> void;

    /// @brief Multiplies the duration of a task on every worker.
    /// @param index index of the task in any step
    /// @param factor relative to the declared duration
    auto setDurationFactor(std::string_view job, std::uint32_t index, double factor) -> void;

    /// @brief Multiplies the duration of the first run of a task, as on a worker that is slow for it; a copy and later runs take as long as declared.
    auto setFirstRunFactor(std::string_view job, std::uint32_t index, double factor) -> void;

    /// @brief Lets a share of the steps of random jobs allow copies, and some of the first runs of their tasks take seven times as long.
    auto enableCopies() noexcept -> void
    {
        m_hasCopies = true;
    }

    /// @brief Lets orders that start a run with a number above 1 be carried out without an answer.
    auto loseAnswersOfCopies(bool isLost) noexcept -> void
    {
        m_losesAnswersOfCopies = isLost;
    }

    /// @brief Lets the store refuse every commit.
    auto setStoreDown(bool isDown) noexcept -> void
    {
        m_isStoreDown = isDown;
    }

    /// @brief Index of the worker that runs a run of a task; empty for none.
    [[nodiscard]] auto workerOf(const std::string &task, RunNumber run) const -> std::optional<std::size_t>;

    /// @brief Counters of the copies of the current owner.
    [[nodiscard]] auto copyCounters() const -> const CopyCounters &
    {
        return m_owners.back()->copyCounters();
    }

    /// @brief Delays the end of a run.
    /// @param length from now until its end
    auto extendRun(const std::string &task, RunNumber run, Milliseconds length) -> void;

    /// @brief Lets one run of a task fail.
    auto failRun(const std::string &task, RunNumber run) -> void;

    /// @brief Makes every owner slow: it processes its inputs in rounds of at most 64, and each input occupies it for a time. The other inputs
    /// wait, as answers do in the connections of a process that is late.
    auto setInputCost(Duration cost) noexcept -> void
    {
        m_inputCost = cost;
    }

    /// @brief Gives every owner a processor of its own that does all of its work, one turn after the other; see SimulatedProcessor.
    ///
    /// A round takes all inputs that wait when its turn begins. Each of its orders and commits leaves after a further turn, behind those before
    /// it. From then on, workers also delay their reports while nothing has ended, as the orders allow.
    auto setOwnerCosts(const OwnerCosts &costs) -> void;

    /// @brief Processor time that the current owner has used since setOwnerCosts().
    [[nodiscard]] auto ownerBusyTime() const -> Duration;

    /// @brief Number of rounds of the current owner since setOwnerCosts().
    [[nodiscard]] auto ownerRounds() const -> std::size_t;

    /// @brief Largest number of turns that waited for the processor of an owner.
    [[nodiscard]] auto mostWaitingTurns() const noexcept -> std::size_t
    {
        return m_mostWaitingTurns;
    }

    /// @brief Sets the share of the runs that fail; without a call, a few do.
    auto setFailureShare(double share) noexcept -> void
    {
        m_failureShare = share;
    }

    /// @brief Lets the current owner process nothing for a time.
    auto stallOwner(Milliseconds length) -> void;

    /// @brief Delays the effect of every commit.
    auto setCommitDelay(Milliseconds delay) noexcept -> void
    {
        m_commitDelay = delay;
    }

    /// @brief Counts a success as known 100 ms after the worker has reported it, as the platform does without a disruption, whether or not
    /// the owner has read the report. A later start of the task is then a violation.
    auto requireReportedEnds() noexcept -> void
    {
        m_requiresReportedEnds = true;
    }

    /// @brief Lets filling tasks slow the serving tasks beside them, follow their pace, and share the processors that the others leave.
    ///
    /// From then on, three rules are checked while no disruption is near: `held_back` for a job that waits for longer than longestWait,
    /// `away` for a serving task that waits for longer than longestServingAbsence, and `harm` for a serving task that filling tasks keep over its
    /// target for longer than longestHarm.
    /// @returns the interference, for changes of its random figures
    auto enableInterference() -> SimulatedInterference &;

    /// @brief Longest time of a job that counts for `held_back`, whether or not it exceeds the bound.
    [[nodiscard]] auto longestJobWait() const -> Milliseconds
    {
        return m_jobWaits.longest();
    }

    /// @brief Number of times that count for `held_back` and are longer than a given one.
    [[nodiscard]] auto jobWaitsLongerThan(Milliseconds length) const -> std::size_t
    {
        return m_jobWaits.countLongerThan(length);
    }

    /// @brief Longest time of a serving task that counts for `away`, whether or not it exceeds the bound.
    [[nodiscard]] auto longestAbsence() const -> Milliseconds
    {
        return m_absences.longest();
    }

    /// @brief Longest time for which filling tasks kept a serving task over its target.
    [[nodiscard]] auto longestHarmTime() const -> Milliseconds
    {
        return m_harms.longest();
    }

    /// @brief Time during which the rules of enableInterference() were checked, i.e. without a disruption near.
    [[nodiscard]] auto calmTime() const noexcept -> Milliseconds
    {
        return m_calmTime;
    }

    /// @brief Closes a zone, or reopens it; every owner learns of it within some milliseconds. From then on, each start in a zone that was closed longer
    /// ago than longestEvacuation is a violation, `closed_zone`, apart from those of orders that arrive late.
    auto setZoneClosed(std::string_view zone, bool isClosed) -> void;

    /// @brief Zone of a worker.
    [[nodiscard]] auto zoneOf(std::size_t worker) const -> const std::string &;

    /// @brief Number of closings of zones so far.
    [[nodiscard]] auto zoneClosings() const noexcept -> std::size_t
    {
        return m_zoneClosings;
    }

    /// @brief Advances the virtual time.
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

    /// @brief When a final phase of a job was stored for the first time; empty if none was stored.
    [[nodiscard]] auto finalSince(std::string_view id) const -> std::optional<TimePoint>;

    /// @brief Number of continuation rows of a job's progress that are stored.
    [[nodiscard]] auto continuationRowsOf(std::string_view id) const -> std::size_t;

    /// @brief True if only the row in the table of ended jobs is left of a job.
    [[nodiscard]] auto isArchived(std::string_view id) const -> bool;

    /// @brief Ids of the workers that run tasks of a job.
    [[nodiscard]] auto workersOf(std::string_view job) const -> std::set<std::string>;

    /// @brief Number of runs of a job's tasks that workers have started.
    [[nodiscard]] auto startsOf(std::string_view job) const -> std::size_t;

    /// @brief Times at which runs of a job's tasks were started, in ascending order.
    [[nodiscard]] auto startTimesOf(std::string_view job) const -> std::vector<TimePoint>;

    /// @brief The owner in charge.
    [[nodiscard]] auto owner() const noexcept -> const FleetScheduler &
    {
        return *m_owners.back();
    }

    /// @brief Share of the workers' processors that runs have reserved.
    [[nodiscard]] auto cpuUse() const -> double;

    /// @brief Number of tasks of which a run has succeeded, of the jobs whose ids begin with a text.
    [[nodiscard]] auto doneTasksOf(std::string_view prefix) const -> std::size_t;

    /// @brief Number of all runs that workers have started.
    [[nodiscard]] auto startCount() const noexcept -> std::size_t
    {
        return m_starts.size();
    }

    /// @brief Time of the first start of any task after a time; empty if there was none.
    [[nodiscard]] auto firstStartAfter(TimePoint time) const -> std::optional<TimePoint>;

    /// @brief Number of runs that workers have ended because their lease had expired.
    [[nodiscard]] auto lapsedRuns() const noexcept -> std::size_t
    {
        return m_lapsedRuns;
    }

    /// @brief Largest number of inputs that waited for a slow owner, and of commands that one round has produced.
    [[nodiscard]] auto mostWaiting() const noexcept -> std::size_t
    {
        return m_mostWaiting;
    }

    std::vector<std::string> m_violations; ///< rule, task and history of the task
    std::vector<std::string> m_jobs; ///< ids of all submitted jobs

private:
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

    /// Inputs of an owner that are not processed yet.
    struct Inbox {
        std::vector<std::function<void()>> m_waiting;
        TimePoint m_busyUntil;
    };

    /// The scheduler thread of an owner with a processor.
    struct OwnerHost {
        std::unique_ptr<SimulatedProcessor> m_processor;
        bool m_hasRound = false; ///< a round waits for the processor or is under way
        TimePoint m_beganAt; ///< beginning of the last round
        TimePoint m_nextRound; ///< when the next round is due although no input waits
        std::size_t m_rounds = 0;
    };

    auto schedule(Duration delay, std::function<void()> call) -> void;
    [[nodiscard]] auto hostOf(const FleetScheduler &owner) -> OwnerHost &;
    /// @brief Lets an owner with a processor begin a round if its thread would wake: an input waits, or the next round is due.
    ///
    /// This and beginRound() are the loop of FleetDuty.
    auto wakeDuty(FleetScheduler &owner) -> void;
    /// @brief Processes the inputs that wait, and advances the owner.
    [[nodiscard]] auto beginRound(FleetScheduler &owner) -> SimulatedProcessor::Turn;
    /// @brief Processor time until a command has left.
    [[nodiscard]] auto costOf(const FleetCommand &command) const noexcept -> Duration;
    /// @brief Passes a change of the platform's lists to an owner. Only an owner with a processor needs time for it.
    auto feed(FleetScheduler &owner, std::function<void()> input) -> void;
    /// @brief Passes an input to an owner, at once unless owners are slow.
    auto deliver(FleetScheduler &owner, std::function<void()> input) -> void;
    /// @brief Confirms the ownership of an owner that reads its jobs, as its signs of life do.
    auto confirmWhilePreparing(FleetScheduler &owner) -> void;
    auto advanceOwner(FleetScheduler &owner) -> void;
    auto send(FleetScheduler &owner, const FleetCommand &command) -> void;
    /// @brief Answers a report order as soon as the worker has ends to report, and at a given time at the latest.
    auto answerReport(FleetScheduler &owner, SimulatedWorker &worker, const ReportOrder &order, TimePoint sentAt, TimePoint latest) -> void;
    auto commit(FleetScheduler &owner, const CommitOrder &order) -> void;
    /// @brief True if the store takes a commit: it refuses transactions with too many entries or bytes, and rows that are too large.
    [[nodiscard]] static auto isAcceptable(const CommitOrder &order) -> bool;
    auto store(const CommitOrder &order) -> void;
    /// @brief Checks and stores the progress of a job.
    auto storeProgress(const CommitOrder &order, std::string_view id, JobProgress &&progress) -> void;
    auto runArchive(FleetScheduler &owner) -> void;
    auto move(FleetScheduler &owner, const ArchiveWrite &write) -> void;
    auto store(const Transaction &transaction) -> void;
    [[nodiscard]] auto formerOwner() const -> FormerOwner;
    auto beginOwner(FleetScheduler &owner, Epoch epoch, std::map<std::string, StoredJob> submissions, const std::map<std::string, JobProgress> &progress)
        -> void;
    [[nodiscard]] auto readSubmissions() const -> std::map<std::string, StoredJob>;
    [[nodiscard]] auto readProgress() const -> std::map<std::string, JobProgress>;
    auto reloadJobs(FleetScheduler &owner, Milliseconds delay) -> void;
    /// @brief Wall clock of all hosts.
    [[nodiscard]] auto wallTime() const noexcept -> FleetScheduler::WallTime;
    [[nodiscard]] auto chance(double share) -> bool;
    [[nodiscard]] auto networkDelay() -> Duration;
    auto injectFaults() -> void;
    /// @brief Makes a worker unreachable for up to 2 s, and restarts it meanwhile.
    auto restartUnseen(std::size_t worker) -> void;
    /// @brief True if two fifths of the workers stay of the kind of a worker without it, so that the jobs of each kind have room.
    [[nodiscard]] auto mayChangeKind(const SimulatedWorker &worker) const -> bool;
    /// @brief Lets a worker write its entry, and delivers it.
    auto sendListEntry(std::size_t worker) -> void;
    /// @brief Delivers the entry that a worker has written last.
    auto deliverListEntry(std::size_t worker) -> void;
    [[nodiscard]] auto percentOf(const SimulatedRun &run) const -> double;
    /// @brief Latest checkpoint of a run; empty for none.
    [[nodiscard]] auto checkpointOf(const SimulatedRun &run) const -> std::string;
    [[nodiscard]] auto durationFactorOf(const TaskId &task) const -> double;

    // Rules that are checked with interference
    /// Resources of the workers: all, and those that runs have reserved.
    struct PoolUse {
        Resources m_capacity;
        Resources m_used;

        [[nodiscard]] auto isUnderHalf() const noexcept -> bool;
    };
    /// @brief Records a disruption that lasts for a time from now on.
    auto recordDisruption(Milliseconds length) noexcept -> void;
    /// @brief True if an owner is in charge and the last disruption is not near.
    [[nodiscard]] auto isCalm() const noexcept -> bool;
    auto advanceInterference() -> void;
    auto checkJobWaits() -> void;
    auto checkServingTasks() -> void;
    auto checkHarm() -> void;
    [[nodiscard]] auto poolUse() const -> PoolUse;
    [[nodiscard]] auto jobsWithRuns() const -> std::set<std::string_view>;
    /// @brief A task of a job that could start, and for which there is capacity twice over; empty for none.
    [[nodiscard]] auto findStartableTask(const TaskJob &job) const -> std::optional<TaskId>;
    /// Capacity of a worker that counts as available to a task.
    using Available = auto (*)(const SimulatedWorker &worker) -> Resources;
    /// @brief How often the demand of a task fits into what is available on the workers that satisfy its label.
    [[nodiscard]] auto countFits(const TaskStep &step, Available available) const -> std::int64_t;
    /// @brief Names of the tasks that have a run.
    [[nodiscard]] auto runningTasks() const -> std::set<std::string_view>;

    // Workers
    [[nodiscard]] auto clockOf(const SimulatedWorker &worker) const -> Milliseconds;
    auto endDueRuns(SimulatedWorker &worker) -> void;
    auto endRun(SimulatedWorker &worker, const std::string &task, RunEnd how) -> void;
    [[nodiscard]] auto execute(SimulatedWorker &worker, const ReportOrder &order) -> WorkerAnswer;
    [[nodiscard]] auto execute(SimulatedWorker &worker, const RunStartOrder &order) -> WorkerAnswer;
    [[nodiscard]] auto execute(SimulatedWorker &worker, const RunStopOrder &order) -> WorkerAnswer;
    [[nodiscard]] auto execute(SimulatedWorker &worker, const RunPaceOrder &order) -> WorkerAnswer;
    auto checkStart(const SimulatedWorker &worker, const RunStartOrder &order) -> void;
    /// @brief Passes the closed zones to an owner, as the feed of its host does.
    auto sendClosedZones(FleetScheduler &owner) -> void;
    auto recordViolation(std::string_view rule, std::string_view task) -> void;
    auto recordHistory(std::string_view task, std::string_view event) -> void;

    FleetLimits m_limits;
    std::uint64_t m_seed;
    RandomSource m_random;
    RandomSource m_archiveRandom; ///< separate, so that archiving does not change the other faults of a seed
    RandomSource m_restartRandom; ///< separate for the same reason
    RandomSource m_zoneRandom; ///< separate for the same reason
    RandomSource m_jobRandom; ///< shapes of jobs that were added later; separate for the same reason
    RandomSource m_copyRandom; ///< steps that allow copies and their stragglers; separate for the same reason
    FleetFaults m_faults;
    TimePoint m_now;
    std::uint64_t m_eventNumber = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<SimulatedWorker>> m_workers;
    std::deque<std::unique_ptr<FleetScheduler>> m_owners; ///< the last one holds the stored ownership
    Epoch m_epoch = 0;
    std::map<std::string, StoredJob, std::less<>> m_store;
    std::set<std::string, std::less<>> m_continuations; ///< names of the stored continuation rows of the jobs' progress
    std::map<std::string, JobPhase, std::less<>> m_finals; ///< jobs that were moved to the table of ended jobs
    std::map<const FleetScheduler *, JobArchive> m_archives;
    std::map<const FleetScheduler *, Inbox> m_inboxes;
    Duration m_inputCost{0};
    std::optional<OwnerCosts> m_ownerCosts; ///< empty for owners without a processor
    std::map<const FleetScheduler *, OwnerHost> m_hosts;
    std::size_t m_mostWaitingTurns = 0;
    double m_failureShare = 0.03;
    Milliseconds m_commitDelay{0};
    ClosedZones m_closedZones;
    std::uint64_t m_zoneVersion = 0; ///< number of changes of m_closedZones
    std::size_t m_zoneClosings = 0;
    bool m_isOrderLate = false; ///< the order that is being carried out has arrived late
    bool m_requiresReportedEnds = false;
    std::size_t m_lapsedRuns = 0;
    std::size_t m_mostWaiting = 0;
    std::map<std::string, TimePoint, std::less<>> m_reportedDone; ///< time of the first report that lists the success of a task
    std::optional<CommitOrder> m_lateCommit;
    TimePoint m_lastStoredAt; ///< when the last commit or claim was stored
    std::vector<SilentWorker> m_storedSilentWorkers; ///< of that commit
    std::map<std::string, TaskJob, std::less<>> m_submittedJobs;
    std::set<std::string, std::less<>> m_acknowledgedDone; ///< tasks whose successful end was acknowledged
    std::set<std::string, std::less<>> m_done; ///< tasks of which a run has succeeded
    std::map<std::string, std::uint32_t, std::less<>> m_acknowledgedFailures;
    std::map<std::string, TimePoint, std::less<>> m_cancelledAt;
    std::map<std::string, TimePoint, std::less<>> m_finalAt;
    std::map<std::pair<std::string, std::uint32_t>, double> m_durationFactors; ///< see setDurationFactor()
    std::set<std::pair<std::string, std::uint32_t>> m_hopelessSteps; ///< see makeHopeless()
    std::map<std::pair<std::string, std::uint32_t>, double> m_firstRunFactors; ///< see setFirstRunFactor()
    bool m_hasCopies = false; ///< see enableCopies()
    bool m_losesAnswersOfCopies = false;
    bool m_isStoreDown = false;
    std::map<std::string, TimePoint, std::less<>> m_acknowledgedDoneAt; ///< of tasks that may have copies
    std::vector<Start> m_starts;
    std::unique_ptr<SimulatedInterference> m_interference; ///< empty until enableInterference()
    TimePoint m_disruptedUntil; ///< end of the last disruption
    bool m_isOwnerAway = false; ///< the last owner has ended, or its successor still reads its jobs
    Milliseconds m_calmTime{0};
    ConditionTimer m_jobWaits{longestWait}; ///< by job
    ConditionTimer m_absences{longestServingAbsence}; ///< by serving task
    ConditionTimer m_harms{longestHarm}; ///< by task and run
    std::map<std::string, std::string, std::less<>> m_history; ///< events of each task, printed with a violation
};
}
