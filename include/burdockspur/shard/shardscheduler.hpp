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
/// @brief Identity of one ownership of one shard.
struct ShardTenure {
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
    std::uint64_t m_epochVersion = 0; ///< version of the epoch row
    std::string m_host; ///< the owner
    TimePoint m_since; ///< when the ownership began
};

/// @brief Jobs of one owned shard: queue, assignment, attempts and their ends.
///
/// Each event changes the state in memory at once; whatever others can observe waits until the journal
/// row with the change is durable. After the journal was fenced the object does nothing any more.
///
/// @code
/// ShardScheduler scheduler(tenure, settings, policy);
/// scheduler.recover(content, now);
/// scheduler.handle(JobSubmitted{ticket, id, spec}, now, random, commands);
/// scheduler.tick(now, random, commands);
/// sleepUntil(scheduler.deadline());
/// @endcode
class ShardScheduler
{
public:
    /// @param tenure the ownership
    /// @param settings kept by reference
    /// @param policy kept by reference
    ShardScheduler(ShardTenure tenure, const ShardSettings &settings, const PlacementPolicy &policy);

    /// @brief Takes the jobs that a previous owner left; call once, before anything else.
    auto recover(const ShardContent &content) -> void;

    /// @brief Reacts to an event.
    auto handle(const ShardEvent &event, TimePoint now, RandomSource &random, ShardCommands &commands) -> void;

    /// @brief Does what is due: journal rows, placement, renewals, repeated orders, expired leases.
    auto tick(TimePoint now, RandomSource &random, ShardCommands &commands) -> void;

    /// @brief Ends the ownership: answers every waiting caller with NotOwner.
    auto abandon(ShardCommands &commands) -> void;

    /// @brief Stops the assignment of attempts, before the shard is released.
    auto beginDrain() noexcept -> void;

    /// @brief Holds journal rows and snapshots back while the owner's heartbeat waits for the store.
    ///
    /// A store that limits the rate of writes then serves heartbeats first, so that the ownership lasts.
    auto holdWrites(bool held) noexcept -> void
    {
        m_writesHeld = held;
    }

    /// @brief Time of the next tick that has something to do.
    [[nodiscard]] auto deadline() const noexcept -> TimePoint;

    /// @brief True when another owner's epoch stopped the journal.
    [[nodiscard]] auto isFenced() const noexcept -> bool
    {
        return m_fenced;
    }

    /// @brief True when no change waits for the store.
    [[nodiscard]] auto isDurable() const noexcept -> bool
    {
        return m_journal.waiting() == 0;
    }

    /// @brief Number of changed jobs that wait for the store.
    [[nodiscard]] auto waitingChanges() const noexcept -> std::size_t
    {
        return m_journal.waiting();
    }

    /// @brief True when besides no start, stop or checkpoint waits for a worker's answer.
    [[nodiscard]] auto isQuiet() const noexcept -> bool
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

    [[nodiscard]] auto tenure() const noexcept -> const ShardTenure &
    {
        return m_tenure;
    }

private:
    /// @brief Arguments of one call, shared by the functions that serve it.
    struct Turn {
        TimePoint m_now;
        RandomSource &m_random;
        ShardCommands &m_commands;
    };

    // Callers.
    auto onEvent(const JobSubmitted &event, const Turn &turn) -> void;
    auto onEvent(const CancelRequested &event, const Turn &turn) -> void;
    auto onEvent(const JobQueried &event, const Turn &turn) -> void;
    auto accept(const JobSubmitted &event, const Turn &turn) -> void;
    auto answer(const EntryTicket &ticket, const JobEntry &entry, const Turn &turn) -> void;
    auto answerError(const EntryTicket &ticket, ErrorCode code, std::string message, const Turn &turn) -> void;
    auto cancel(JobEntry &entry, const Turn &turn) -> void;

    // Machines and policy.
    auto onEvent(const WorkersListed &event, const Turn &turn) -> void;
    auto onEvent(const PolicyChanged &event, const Turn &turn) -> void;
    auto reviewUnschedulable(const Turn &turn) -> void;
    auto evictAll(Worker &worker, const Turn &turn) -> void;
    auto evict(JobEntry &entry, const Turn &turn) -> void;

    // Workers' answers.
    auto onEvent(const LeaseAnswered &event, const Turn &turn) -> void;
    auto onEvent(const StartAnswered &event, const Turn &turn) -> void;
    auto onEvent(const StopAnswered &event, const Turn &turn) -> void;
    auto onEvent(const CheckpointAnswered &event, const Turn &turn) -> void;
    auto renewalFailed(Worker &worker, const Turn &turn) -> void;
    auto takeReport(Worker &worker, const LeaseReport &report, const Turn &turn) -> void;
    auto takeAttempt(Worker &worker, const AttemptReport &report, const Turn &turn) -> void;
    auto takeStray(Worker &worker, const AttemptReport &report, const Turn &turn) -> void;
    [[nodiscard]] static auto isLateCompletion(const JobEntry &entry, const Worker &worker, const AttemptReport &report) noexcept -> bool;
    auto confirmRunning(JobEntry &entry, const AttemptReport &report, const Turn &turn) -> void;
    auto observeUsage(JobEntry &entry, const Resources &usage) -> void;
    auto stopStarting(const Worker &worker, const Turn &turn) -> void;
    auto stopMissing(Worker &worker, const std::set<std::string_view> &reported, const Turn &turn) -> void;
    auto startRefused(JobEntry &entry, Worker &worker, std::string_view reason, const Turn &turn) -> void;

    // Ends of attempts.
    auto settleEnd(JobEntry &entry, const AttemptReport &report, const Turn &turn) -> void;
    auto acknowledge(JobEntry &entry, const Turn &turn) -> void;
    auto endAttempt(JobEntry &entry, const Turn &turn) -> void;
    auto complete(JobEntry &entry, const AttemptReport &report, const Turn &turn) -> void;
    auto failAttempt(JobEntry &entry, const AttemptReport &report, const Turn &turn) -> void;
    auto requeue(JobEntry &entry, const Turn &turn) -> void;
    auto enqueue(JobEntry &entry) -> void;
    auto finish(JobEntry &entry, JobState state, std::string_view reason, const Turn &turn) -> void;
    auto countWorkerFailure(std::string_view worker, const Turn &turn) -> void;

    // Store.
    auto onEvent(const RowWritten &event, const Turn &turn) -> void;
    auto onEvent(const RowRead &event, const Turn &turn) -> void;
    auto onEvent(const SnapshotStored &event, const Turn &turn) -> void;
    auto settleWrite(ShardRow row, ConditionalWrite::Verdict verdict, const Turn &turn) -> void;
    auto releaseEffects(const Turn &turn) -> void;
    auto effectAnswer(JobEntry &entry, const DurableEffect &effect, const Turn &turn) -> void;
    auto effectStart(JobEntry &entry, const DurableEffect &effect, const Turn &turn) -> void;
    auto effectAcknowledge(JobEntry &entry, const DurableEffect &effect, const Turn &turn) -> void;

    // Time.
    auto place(const Turn &turn) -> void;
    auto placeJob(JobEntry &entry, const Resources &largest, std::vector<Resources> &tooLarge, const Turn &turn) -> void;
    [[nodiscard]] auto reservationFor(const JobSpec &spec, const Resources &largest) const -> Resources;
    auto assign(JobEntry &entry, Worker &worker, const Resources &reserved, const Turn &turn) -> void;
    auto tickWorker(Worker &worker, const Turn &turn) -> void;
    auto expireLease(Worker &worker, const Turn &turn) -> void;
    auto renew(Worker &worker, const Turn &turn) -> void;
    auto sendTombstones(Worker &worker, const Turn &turn) -> void;
    auto repeatOrders(const Turn &turn) -> void;
    auto repeatStart(JobEntry &entry, const Turn &turn) -> void;
    auto sendStart(JobEntry &entry, const Turn &turn) -> void;
    auto beginStop(JobEntry &entry, const Turn &turn) -> void;
    auto sendStop(JobEntry &entry, const Turn &turn) -> void;
    auto checkpointAttempt(const Worker &worker, const AttemptId &attempt, const Turn &turn) -> void;
    auto stopAttempt(const Worker &worker, const AttemptId &attempt, const Turn &turn) -> void;

    [[nodiscard]] auto mayPlace() const noexcept -> bool;
    [[nodiscard]] auto current(std::string_view worker, const AttemptId &attempt) -> JobEntry *;
    [[nodiscard]] auto concerns(ShardId shard, Epoch epoch) const noexcept -> bool;
    auto logJob(std::string_view event, const JobEntry &entry) const -> void;
    auto change(JobEntry &entry, const Turn &turn) -> void;
    auto change(JobEntry &entry, DurableEffect effect, const Turn &turn) -> void;

    ShardTenure m_tenure;
    const ShardSettings &m_settings;
    const PlacementPolicy &m_policy;
    JobTable m_jobs;
    JobQueue m_queue;
    WorkerTable m_workers;
    Journal m_journal;
    SnapshotKeeper m_snapshots;
    SizeEstimator m_sizes;
    ShardCounters m_counters;
    std::set<std::string, std::less<>> m_unschedulable; ///< reviewed when the listed workers change
    std::vector<PlacementCandidate> m_candidates;
    std::uint64_t m_lastSubmission = 0;
    bool m_acceptBatch = true;
    bool m_draining = false;
    bool m_fenced = false;
    bool m_writesHeld = false;
    TimePoint m_lastTick;
};
}
