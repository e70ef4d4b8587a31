#pragma once

#include "standins/duplicatedetector.hpp"
#include "standins/executionjournal.hpp"
#include "standins/workercounts.hpp"

#include "burdockspur/contract/attempt.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstdint>
#include <string_view>

namespace Burdockspur::Standins
{
struct WorkerSpec;

/// @brief Identifies an attempt of a task, with the shard and epoch that it runs under.
struct AuditedAttempt {
    std::string_view m_task;
    AttemptNumber m_attempt = 0;
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
};

/// @brief Records what a worker actually did; survives crashes of the worker and does not rely on the worker's own state.
class WorkerAudit
{
public:
    explicit WorkerAudit(const WorkerSpec &spec);

    /// @brief Sets the current time on both clocks; must be called before each call of the worker.
    /// @param now time on the worker's clock
    /// @param wallMs milliseconds since the Unix epoch
    auto setTime(TimePoint now, std::int64_t wallMs) noexcept -> void;

    auto taskStarted(TimePoint time, const AuditedAttempt &attempt, bool leaving) -> void;
    auto taskEnded(TimePoint time, const AuditedAttempt &attempt, std::string_view state) -> void;
    auto taskTombstoned(TimePoint time, const AuditedAttempt &attempt) -> void;
    auto requestStarted(TimePoint time, std::string_view request, std::string_view key, bool leaving) -> void;
    auto requestEnded(TimePoint time, std::string_view request, std::string_view key, std::string_view state) -> void;
    auto requestTombstoned(TimePoint time, std::string_view request) -> void;

    /// @brief Records an event of the whole worker, e.g. `paused` or `resumed`.
    auto workerEvent(TimePoint time, std::string_view event) -> void;

    /// @brief Raises the recorded peaks to the resources assigned and the slots used now.
    auto updatePeaks(const Resources &used, std::size_t slots) noexcept -> void;

    /// @brief The counts; the server also adds its own to them.
    [[nodiscard]] auto counts() noexcept -> WorkerCounts &
    {
        return m_counts;
    }

    /// @brief The recorded events, oldest first.
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
