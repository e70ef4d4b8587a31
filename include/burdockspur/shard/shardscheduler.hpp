#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/placement/sizeestimator.hpp"
#include "burdockspur/shard/jobqueue.hpp"
#include "burdockspur/shard/jobtable.hpp"
#include "burdockspur/shard/journal.hpp"
#include "burdockspur/shard/shardcounters.hpp"
#include "burdockspur/shard/shardevent.hpp"
#include "burdockspur/shard/shardsettings.hpp"
#include "burdockspur/shard/snapshotkeeper.hpp"
#include "burdockspur/shard/workertable.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief One period in which a scheduler owns a shard, identified by its epoch.
struct OwnershipTerm {
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
    std::uint64_t m_epochVersion = 0; ///< version of the epoch row
    std::string m_host; ///< host name of the owner
    TimePoint m_since; ///< when the ownership began
};

/// @brief Schedules the jobs of one owned shard: queues them, assigns attempts to workers and processes their ends.
///
/// An event changes the state in memory at once. Effects that others can observe, such as answers and starts, wait
/// until the journal row with the change is durable. After abandon(), or after a higher epoch has fenced the journal,
/// the object ignores all further events.
///
/// @code
/// ShardScheduler scheduler(term, settings, policy);
/// scheduler.recover(content, now);
/// scheduler.handle(JobSubmitted{ticket, id, spec}, now, random, commands);
/// scheduler.tick(now, random, commands);
/// sleepUntil(scheduler.deadline());
/// @endcode
class ShardScheduler
{
public:
    /// @param term ownership under which the object acts
    /// @param settings kept by reference
    /// @param policy kept by reference
    ShardScheduler(OwnershipTerm term, const ShardSettings &settings, const PlacementPolicy &policy);

    /// @brief Loads the jobs of the previous owner; call once, before any other function.
    auto recover(const ShardContent &content) -> void;

    /// @brief Processes an event and appends the resulting commands.
    auto handle(const ShardEvent &event, TimePoint now, RandomSource &random, ShardCommands &commands) -> void;

    /// @brief Does the work that is due: journal rows, placement, lease renewals, repeated orders, expired leases.
    auto tick(TimePoint now, RandomSource &random, ShardCommands &commands) -> void;

    /// @brief Ends the ownership and answers every waiting caller with NotOwner.
    auto abandon(ShardCommands &commands) -> void;

    /// @brief Stops the assignment of new attempts; called before the shard is released.
    auto beginDrain() noexcept -> void;

    /// @brief Pauses the writing of journal rows and snapshots while the owner's heartbeat waits for the store.
    ///
    /// A store that limits the rate of writes then serves the heartbeat first, which keeps the ownership.
    auto setWritesPaused(bool paused) noexcept -> void
    {
        m_writesPaused = paused;
    }

    /// @brief Time at which tick() next has work to do.
    [[nodiscard]] auto deadline() const noexcept -> TimePoint;

    /// @brief True when a journal write failed because another owner has a higher epoch.
    [[nodiscard]] auto isFenced() const noexcept -> bool
    {
        return m_fenced;
    }

    /// @brief True when every change is durable.
    [[nodiscard]] auto isDurable() const noexcept -> bool
    {
        return m_journal.pendingChanges() == 0;
    }

    /// @brief Number of changes that are not durable yet; a job with two of them counts twice.
    [[nodiscard]] auto pendingChanges() const noexcept -> std::size_t
    {
        return m_journal.pendingChanges();
    }

    /// @brief True when every change is durable and no start, stop or checkpoint waits for a worker's answer.
    [[nodiscard]] auto isQuiescent() const noexcept -> bool
    {
        return isDurable() && m_jobs.deadline() == TimePoint::max();
    }

    [[nodiscard]] auto jobs() const noexcept -> const JobTable &
    {
        return m_jobs;
    }

    [[nodiscard]] auto workers() const noexcept -> const WorkerTable &
    {
        return m_workers;
    }

    [[nodiscard]] auto queued() const noexcept -> std::size_t
    {
        return m_queue.size();
    }

    [[nodiscard]] auto counters() const noexcept -> const ShardCounters &
    {
        return m_counters;
    }

    [[nodiscard]] auto term() const noexcept -> const OwnershipTerm &
    {
        return m_term;
    }

private:
    /// @brief Arguments of handle() or tick(), passed on to the private functions.
    struct CallContext {
        TimePoint m_now;
        RandomSource &m_random;
        ShardCommands &m_commands;
    };

    // Requests of callers.
    auto onEvent(const JobSubmitted &event, const CallContext &context) -> void;
    auto onEvent(const CancelRequested &event, const CallContext &context) -> void;
    auto onEvent(const JobQueried &event, const CallContext &context) -> void;
    auto acceptJob(const JobSubmitted &event, const CallContext &context) -> void;
    auto answer(const EntryTicket &ticket, const JobEntry &entry, const CallContext &context) -> void;
    auto answerError(const EntryTicket &ticket, ErrorCode code, std::string message, const CallContext &context) -> void;
    auto cancelJob(JobEntry &entry, const CallContext &context) -> void;

    // Host list and configuration.
    auto onEvent(const WorkersListed &event, const CallContext &context) -> void;
    auto onEvent(const PolicyChanged &event, const CallContext &context) -> void;
    auto retryUnschedulable(const CallContext &context) -> void;
    auto evictAll(Worker &worker, const CallContext &context) -> void;
    auto evict(JobEntry &entry, const CallContext &context) -> void;

    // Answers of workers.
    auto onEvent(const LeaseAnswered &event, const CallContext &context) -> void;
    auto onEvent(const StartAnswered &event, const CallContext &context) -> void;
    auto onEvent(const StopAnswered &event, const CallContext &context) -> void;
    auto onEvent(const CheckpointAnswered &event, const CallContext &context) -> void;
    auto handleRenewalFailure(Worker &worker, const CallContext &context) -> void;
    auto processReport(Worker &worker, const LeaseReport &report, const CallContext &context) -> void;
    auto processAttempt(Worker &worker, const AttemptReport &report, const CallContext &context) -> void;
    auto processStrayAttempt(Worker &worker, const AttemptReport &report, const CallContext &context) -> void;
    [[nodiscard]] static auto isLateCompletion(const JobEntry &entry, const Worker &worker, const AttemptReport &report) noexcept -> bool;
    auto confirmRunning(JobEntry &entry, const AttemptReport &report, const CallContext &context) -> void;
    auto observeUsage(JobEntry &entry, const Resources &usage) -> void;
    auto stopUnconfirmedStarts(const Worker &worker, const CallContext &context) -> void;
    auto stopMissingAttempts(Worker &worker, const std::set<std::string_view> &reported, const CallContext &context) -> void;
    auto handleRefusedStart(JobEntry &entry, Worker &worker, std::string_view reason, const CallContext &context) -> void;

    // Ends of attempts.
    auto handleAttemptEnd(JobEntry &entry, const AttemptReport &report, const CallContext &context) -> void;
    auto acknowledge(JobEntry &entry, const CallContext &context) -> void;
    auto endAttempt(JobEntry &entry, const CallContext &context) -> void;
    auto completeJob(JobEntry &entry, const AttemptReport &report, const CallContext &context) -> void;
    auto failAttempt(JobEntry &entry, const AttemptReport &report, const CallContext &context) -> void;
    auto requeue(JobEntry &entry, const CallContext &context) -> void;
    auto enqueue(JobEntry &entry) -> void;
    auto finishJob(JobEntry &entry, JobState state, std::string_view reason, const CallContext &context) -> void;
    auto countWorkerFailure(std::string_view worker, const CallContext &context) -> void;

    // Answers of the store, and effects of durable changes.
    auto onEvent(const RowWritten &event, const CallContext &context) -> void;
    auto onEvent(const RowRead &event, const CallContext &context) -> void;
    auto onEvent(const SnapshotStored &event, const CallContext &context) -> void;
    auto handleWriteState(ShardRow row, ConditionalWrite::WriteState writeState, const CallContext &context) -> void;
    auto applyDurableEffects(const CallContext &context) -> void;
    auto applyAnswer(JobEntry &entry, const DurableEffect &effect, const CallContext &context) -> void;
    auto applyStart(JobEntry &entry, const DurableEffect &effect, const CallContext &context) -> void;
    auto applyAcknowledgement(JobEntry &entry, const DurableEffect &effect, const CallContext &context) -> void;

    // Placement, lease renewals and orders to workers.
    auto placeQueuedJobs(const CallContext &context) -> void;
    auto placeJob(JobEntry &entry, const Resources &largest, std::vector<Resources> &tooLarge, const CallContext &context) -> void;
    [[nodiscard]] auto reservationFor(const JobSpec &spec, const Resources &largest) const -> Resources;
    auto assign(JobEntry &entry, Worker &worker, const Resources &reserved, const CallContext &context) -> void;
    auto tickWorker(Worker &worker, const CallContext &context) -> void;
    auto expireLease(Worker &worker, const CallContext &context) -> void;
    auto sendRenewal(Worker &worker, const CallContext &context) -> void;
    auto sendTombstones(Worker &worker, const CallContext &context) -> void;
    auto repeatOrders(const CallContext &context) -> void;
    auto repeatStart(JobEntry &entry, const CallContext &context) -> void;
    auto sendStart(JobEntry &entry, const CallContext &context) -> void;
    auto beginStop(JobEntry &entry, const CallContext &context) -> void;
    auto sendStop(JobEntry &entry, const CallContext &context) -> void;
    auto checkpointAttempt(const Worker &worker, const AttemptId &attempt, const CallContext &context) -> void;
    auto stopAttempt(const Worker &worker, const AttemptId &attempt, const CallContext &context) -> void;

    [[nodiscard]] auto mayPlace() const noexcept -> bool;
    [[nodiscard]] auto findCurrent(std::string_view worker, const AttemptId &attempt) -> JobEntry *;
    [[nodiscard]] auto matchesTerm(ShardId shard, Epoch epoch) const noexcept -> bool;
    auto logJob(std::string_view event, const JobEntry &entry) const -> void;
    auto recordChange(JobEntry &entry, const CallContext &context) -> void;
    auto recordChange(JobEntry &entry, DurableEffect effect, const CallContext &context) -> void;

    OwnershipTerm m_term;
    const ShardSettings &m_settings;
    const PlacementPolicy &m_policy;
    JobTable m_jobs;
    JobQueue m_queue;
    WorkerTable m_workers;
    Journal m_journal;
    SnapshotKeeper m_snapshots;
    SizeEstimator m_sizes;
    ShardCounters m_counters;
    std::set<std::string, std::less<>> m_unschedulable; ///< jobs that no listed worker can hold; queued again when workers or configuration change
    std::vector<PlacementCandidate> m_candidates;
    std::uint64_t m_lastSubmission = 0;
    bool m_acceptBatch = true;
    bool m_draining = false;
    bool m_fenced = false;
    bool m_writesPaused = false;
    TimePoint m_lastTick;
};
}
