#include "standins/workeraudit.hpp"

#include "standins/workerspec.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur::Standins
{
namespace
{
/// @brief Maps the final state of a task to the count of tasks that ended so.
struct EndEntry {
    std::string_view m_state;
    std::int64_t WorkerCounts::*m_count;
};

constexpr std::array<EndEntry, 5> endTable{{
    {"completed", &WorkerCounts::m_completions},
    {"failed", &WorkerCounts::m_failures},
    {"stopped", &WorkerCounts::m_stops},
    {"lapsed", &WorkerCounts::m_lapses},
    {"crashed", &WorkerCounts::m_tasksCrashed},
}};

[[nodiscard]] auto attemptName(const AuditedAttempt &attempt) -> std::string
{
    return std::to_string(attempt.m_attempt).append("/").append(attempt.m_task);
}
}

WorkerAudit::WorkerAudit(const WorkerSpec &spec)
    : m_journal(spec.m_journalCapacity)
    , m_requests(spec.m_auditCapacity)
    , m_keys(spec.m_auditCapacity)
    , m_attempts(spec.m_auditCapacity)
    , m_tombstones(spec.m_auditCapacity)
{
    m_counts.m_capacityCpuMillis = spec.m_capacity.m_cpuMillis;
    m_counts.m_capacityMemoryMb = spec.m_capacity.m_memoryMb;
    m_counts.m_capacityAccelerators = spec.m_capacity.m_accelerators;
    m_counts.m_capacitySlots = static_cast<std::int64_t>(spec.m_slots);
    m_counts.m_capacityConnections = static_cast<std::int64_t>(spec.m_connections);
}

auto WorkerAudit::setTime(TimePoint now, std::int64_t wallMs) noexcept -> void
{
    m_time = now;
    m_wallMs = wallMs;
}

auto WorkerAudit::taskStarted(TimePoint time, const AuditedAttempt &attempt, bool leaving) -> void
{
    const auto name = attemptName(attempt);
    ++m_counts.m_starts;
    m_counts.m_attemptsRepeated += m_attempts.add(name) ? 1 : 0;
    m_counts.m_startsAfterTombstone += m_tombstones.contains("task/" + name) ? 1 : 0;
    m_counts.m_startsWhileLeaving += leaving ? 1 : 0;
    append(time, "task_started", attempt, {});
}

auto WorkerAudit::taskEnded(TimePoint time, const AuditedAttempt &attempt, std::string_view state) -> void
{
    if (const auto *const entry = std::ranges::find(endTable, state, &EndEntry::m_state); entry != endTable.end()) {
        ++(m_counts.*entry->m_count);
    }
    append(time, "task_ended", attempt, state);
}

auto WorkerAudit::taskTombstoned(TimePoint time, const AuditedAttempt &attempt) -> void
{
    m_tombstones.add("task/" + attemptName(attempt));
    append(time, "task_tombstoned", attempt, {});
}

auto WorkerAudit::requestStarted(TimePoint time, std::string_view request, std::string_view key, bool leaving) -> void
{
    ++m_counts.m_requests;
    m_counts.m_requestsRepeated += m_requests.add(request) ? 1 : 0;
    m_counts.m_keysRepeated += !key.empty() && m_keys.add(key) ? 1 : 0;
    m_counts.m_startsAfterTombstone += m_tombstones.contains(std::string("request/").append(request)) ? 1 : 0;
    m_counts.m_requestsWhileLeaving += leaving ? 1 : 0;
    auto entry = entryAt(time, "request_started");
    entry.m_request = request;
    entry.m_key = key;
    m_journal.append(std::move(entry));
}

auto WorkerAudit::requestEnded(TimePoint time, std::string_view request, std::string_view key, std::string_view state) -> void
{
    auto entry = entryAt(time, "request_ended");
    entry.m_request = request;
    entry.m_key = key;
    entry.m_state = state;
    m_journal.append(std::move(entry));
}

auto WorkerAudit::requestTombstoned(TimePoint time, std::string_view request) -> void
{
    m_tombstones.add(std::string("request/").append(request));
    auto entry = entryAt(time, "request_tombstoned");
    entry.m_request = request;
    m_journal.append(std::move(entry));
}

auto WorkerAudit::workerEvent(TimePoint time, std::string_view event) -> void
{
    m_journal.append(entryAt(time, event));
}

auto WorkerAudit::updatePeaks(const Resources &used, std::size_t slots) noexcept -> void
{
    m_counts.m_peakCpuMillis = std::max(m_counts.m_peakCpuMillis, used.m_cpuMillis);
    m_counts.m_peakMemoryMb = std::max(m_counts.m_peakMemoryMb, used.m_memoryMb);
    m_counts.m_peakAccelerators = std::max(m_counts.m_peakAccelerators, used.m_accelerators);
    m_counts.m_peakSlots = std::max(m_counts.m_peakSlots, static_cast<std::int64_t>(slots));
}

auto WorkerAudit::entryAt(TimePoint time, std::string_view event) const -> JournalEntry
{
    // A busy event loop notices events late; the journal records when they were due.
    JournalEntry entry;
    entry.m_wallMs = m_wallMs - std::chrono::duration_cast<Milliseconds>(m_time - time).count();
    entry.m_event = event;
    return entry;
}

auto WorkerAudit::append(TimePoint time, std::string_view event, const AuditedAttempt &attempt, std::string_view state) -> void
{
    auto entry = entryAt(time, event);
    entry.m_state = state;
    entry.m_task = attempt.m_task;
    entry.m_attempt = attempt.m_attempt;
    entry.m_shard = attempt.m_shard;
    entry.m_epoch = attempt.m_epoch;
    m_journal.append(std::move(entry));
}
}
