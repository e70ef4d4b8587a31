#pragma once

#include "burdockspur/contract/attempt.hpp"
#include "burdockspur/contract/workerlease.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/port/workerport.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <expected>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Burdockspur::Standins
{
class WorkerAudit;
struct WorkerFaults;
struct WorkerSpec;

/// @brief Result of an order to a worker.
enum class OrderAnswer : std::uint8_t {
    Done,
    AlreadyKnown,
    StaleEpoch,
    Superseded,
    Tombstoned,
    NoLease,
    NoCapacity,
    Leaving,
    UnknownAttempt,
    BadOrder,
};

/// @brief Runs the tasks of a worker: leases, running tasks, ended attempts and tombstones.
///
/// Times are on the worker's own clock and never decrease. Call advance() before any other function.
class WorkerTasks
{
public:
    WorkerTasks(const WorkerSpec &spec, const WorkerFaults &faults, WorkerAudit &audit);

    /// @brief Ends the tasks whose work is done or whose lease has lapsed, in the order of their times.
    auto advance(TimePoint now) -> void;

    /// @brief Next time at which advance() has something to do; empty when no task runs.
    [[nodiscard]] auto nextEvent() const -> std::optional<TimePoint>;

    /// @brief Sets the incarnation named in reports, which differs after each start of the worker.
    auto setIncarnation(std::string_view incarnation) -> void;

    /// @brief Raises the epoch, grants or extends the lease if the renewal answers a recent report, and returns a new report.
    /// @returns the report, or the highest known epoch when that of the renewal is lower
    [[nodiscard]] auto renewLease(TimePoint now, const LeaseRenewal &renewal) -> std::expected<LeaseReport, Epoch>;

    /// @brief Starts an attempt; a task runs at most one attempt at a time, and each attempt runs at most once.
    [[nodiscard]] auto start(TimePoint now, const StartOrder &order) -> OrderAnswer;

    /// @brief Stops an attempt; an unknown one gets a tombstone, so that it never starts.
    [[nodiscard]] auto stop(TimePoint now, const AttemptOrder &order) -> std::expected<AttemptReport, OrderAnswer>;

    /// @brief Writes a checkpoint of a running attempt.
    /// @returns the name of the checkpoint, which contains the progress
    [[nodiscard]] auto checkpoint(TimePoint now, const AttemptOrder &order) -> std::expected<std::string, OrderAnswer>;

    /// @brief Limits the speed of a running attempt.
    [[nodiscard]] auto throttle(TimePoint now, const AttemptOrder &order, std::int64_t sharePercent) -> OrderAnswer;

    /// @brief Delays the end of running work by the length of a pause; leases are not extended.
    auto postpone(Duration pause) -> void;

    /// @brief Drops all state without reporting; the audit records the tasks that were running.
    auto crash(TimePoint now) -> void;

    /// @brief True while a batch task of a class runs; an empty name matches any class.
    [[nodiscard]] auto runsBatchOf(std::string_view taskClass) const -> bool;

    /// @brief Sum of the declared sizes of the running tasks.
    [[nodiscard]] auto assigned() const noexcept -> const Resources &
    {
        return m_assigned;
    }

    /// @brief Number of running tasks.
    [[nodiscard]] auto runningCount() const noexcept -> std::size_t
    {
        return m_running.size();
    }

    /// @brief Number of ended attempts and tombstones that are still kept.
    [[nodiscard]] auto endedCount() const noexcept -> std::size_t
    {
        return m_ended.size();
    }

private:
    struct SentReport {
        std::uint64_t m_number = 0;
        Epoch m_epoch = 0;
        TimePoint m_sent;
    };

    struct ShardLease {
        Epoch m_epoch = 0;
        Epoch m_granted = 0; ///< epoch of the latest renewal that granted a lease
        TimePoint m_expiry;
        std::uint64_t m_lastReport = 0;
        std::deque<SentReport> m_reports; ///< reports that a renewal can still answer, oldest first
    };

    struct RunningTask {
        AttemptNumber m_attempt = 0;
        ShardId m_shard = 0;
        JobKind m_kind = JobKind::Batch;
        std::string m_class;
        Resources m_demand;
        Resources m_usage;
        std::string m_checkpoint;
        std::string m_result;
        bool m_fails = false;
        Duration m_work{0}; ///< at full speed
        Duration m_done{0}; ///< part of the work that was finished at m_since
        TimePoint m_since;
        TimePoint m_started;
        std::int64_t m_sharePercent = 100;
    };

    struct EndedAttempt {
        AttemptReport m_report;
        ShardId m_shard = 0;
        bool m_acknowledged = false;
        TimePoint m_ended;
    };

    struct DueTask {
        TimePoint m_time;
        std::string m_task;
        bool m_lapsed = false;
    };

    using Running = std::map<std::string, RunningTask, std::less<>>;
    using AttemptKey = std::pair<std::string, AttemptNumber>;

    [[nodiscard]] auto dueTime(const RunningTask &task) const -> std::pair<TimePoint, bool>;
    [[nodiscard]] auto doneAt(const RunningTask &task, TimePoint now) const -> Duration;
    [[nodiscard]] auto percentAt(const RunningTask &task, TimePoint now) const -> std::int64_t;
    [[nodiscard]] auto fence(ShardId shard, Epoch epoch) -> bool;
    [[nodiscard]] auto answeredReport(const ShardLease &lease, const LeaseRenewal &renewal) const -> const SentReport *;
    [[nodiscard]] auto grant(ShardLease &lease, const LeaseRenewal &renewal, TimePoint now) const -> bool;
    [[nodiscard]] auto nextReport(ShardLease &lease, TimePoint now) const -> ReportId;
    [[nodiscard]] auto findRunning(const AttemptId &attempt) -> Running::iterator;
    [[nodiscard]] auto latestEnded(std::string_view task) const -> const EndedAttempt *;
    [[nodiscard]] auto reportOf(std::string_view name, const RunningTask &task, TimePoint now) const -> AttemptReport;
    [[nodiscard]] auto usageAt(TimePoint time) const -> Resources;
    auto end(Running::iterator position, TimePoint time, AttemptState state, std::string_view auditState) -> void;
    auto recordUsage(TimePoint now) -> void;
    auto removeExpired(TimePoint now) -> void;

    const WorkerSpec &m_spec;
    const WorkerFaults &m_faults;
    WorkerAudit &m_audit;
    std::string m_incarnation;
    std::map<ShardId, ShardLease> m_leases;
    Running m_running;
    std::map<AttemptKey, EndedAttempt> m_ended;
    std::deque<std::pair<TimePoint, AttemptKey>> m_expiringAttempts; ///< acknowledged attempts and tombstones, oldest first
    std::deque<std::pair<TimePoint, Resources>> m_usageHistory;
    Resources m_assigned;
};
}
