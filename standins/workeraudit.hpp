#pragma once

#include "standins/executionjournal.hpp"
#include "standins/duplicatedetector.hpp"
#include "standins/workercounts.hpp"

#include "burdockspur/contract/attempt.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstdint>
#include <string_view>

namespace Burdockspur::Standins
{
struct WorkerSpec;

/// @brief Names a task's attempt under its lease.
struct AuditedAttempt {
    std::string_view m_task;
    AttemptNumber m_attempt = 0;
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
};

/// @brief Records what a worker really did; it survives the worker's crashes and judges nothing by the worker's own state.
class WorkerAudit
{
public:
    explicit WorkerAudit(const WorkerSpec &spec);

    /// @brief Relates the worker's clock to the wall clock; called before each call of the worker.
    /// @param now time on the worker's clock
    /// @param wallMs milliseconds since the Unix epoch
    auto setTime(TimePoint now, std::int64_t wallMs) noexcept -> void;

    auto taskStarted(TimePoint time, const AuditedAttempt &attempt, bool leaving) -> void;
    auto taskEnded(TimePoint time, const AuditedAttempt &attempt, std::string_view state) -> void;
    auto taskTombstoned(TimePoint time, const AuditedAttempt &attempt) -> void;
    auto requestStarted(TimePoint time, std::string_view request, std::string_view key, bool leaving) -> void;
    auto requestEnded(TimePoint time, std::string_view request, std::string_view key, std::string_view state) -> void;
    auto requestTombstoned(TimePoint time, std::string_view request) -> void;

    /// @brief Records an event of the whole worker, e.g. `paused` and `resumed`.
    auto workerEvent(TimePoint time, std::string_view event) -> void;

    /// @brief Updates the peaks of assigned resources and running requests.
    auto observe(const Resources &used, std::size_t slots) noexcept -> void;

    /// @brief The counts, for the server's own entries as well.
    [[nodiscard]] auto counts() noexcept -> WorkerCounts &
    {
        return m_counts;
    }

    /// @brief The events, oldest first.
    [[nodiscard]] auto journal() const noexcept -> const ExecutionJournal &
    {
        return m_journal;
    }

private:
    [[nodiscard]] auto entryAt(TimePoint time, std::string_view event) const -> JournalEntry;
    auto append(TimePoint time, std::string_view event, const AuditedAttempt &attempt, std::string_view state) -> void;

    WorkerCounts m_counts;
    ExecutionJournal m_journal;
    DuplicateDetector m_requests;
    DuplicateDetector m_keys;
    DuplicateDetector m_attempts;
    DuplicateDetector m_tombstones;
    TimePoint m_time;
    std::int64_t m_wallMs = 0;
};
}
