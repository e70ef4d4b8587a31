#include "burdockspur/core/invariant.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/shard/shardscheduler.hpp"

#include <array>

namespace Burdockspur
{
auto ShardScheduler::onEvent(const RowWritten &event, const Turn &turn) -> void
{
    if (event.m_row == ShardRow::Journal) {
        settleWrite(event.m_row, m_journal.onWritten(event, turn.m_now, turn.m_random), turn);
    } else if (event.m_row == ShardRow::Snapshot) {
        settleWrite(event.m_row, m_snapshots.onWritten(event, turn.m_now, turn.m_random, turn.m_commands), turn);
    }
}

auto ShardScheduler::onEvent(const RowRead &event, const Turn &turn) -> void
{
    if (event.m_row == ShardRow::Journal) {
        settleWrite(event.m_row, m_journal.onRead(event, turn.m_now, turn.m_random), turn);
    } else if (event.m_row == ShardRow::Snapshot) {
        settleWrite(event.m_row, m_snapshots.onRead(event, turn.m_now, turn.m_random, turn.m_commands), turn);
    }
}

auto ShardScheduler::onEvent(const SnapshotStored &event, const Turn &turn) -> void
{
    m_snapshots.onStored(event, turn.m_now, turn.m_random);
}

auto ShardScheduler::settleWrite(ShardRow row, ConditionalWrite::Verdict verdict, const Turn &turn) -> void
{
    if (verdict == ConditionalWrite::Verdict::Rejected) {
        // Only a higher epoch makes a condition of this owner fail.
        logEvent(LogLevel::Warning, "shard_fenced", {{"shard", m_tenure.m_shard}, {"epoch", m_tenure.m_epoch}});
        abandon(turn.m_commands);
    } else if (verdict == ConditionalWrite::Verdict::Committed && row == ShardRow::Journal) {
        ++m_counters.m_journalRows;
        releaseEffects(turn);
    }
}

auto ShardScheduler::releaseEffects(const Turn &turn) -> void
{
    using Member = void (ShardScheduler::*)(JobEntry &, const DurableEffect &, const Turn &);
    // Indexed by DurableEffect::Kind.
    static constexpr std::array<Member, 3> table{&ShardScheduler::effectAnswer, &ShardScheduler::effectStart, &ShardScheduler::effectAcknowledge};
    requireInvariant(!m_fenced, "no_effect_with_a_stale_epoch", m_tenure.m_host);
    for (const auto &change : m_journal.takeDurable()) {
        JobEntry &entry = *m_jobs.find(change.m_job);
        requireInvariant(change.m_attempt >= entry.m_durableAttempt, "attempt_numbers_grow", change.m_job);
        entry.m_durableAttempt = change.m_attempt;
        for (const auto &effect : change.m_effects) {
            (this->*table[static_cast<std::size_t>(effect.m_kind)])(entry, effect, turn);
        }
    }
}

auto ShardScheduler::effectAnswer(JobEntry &entry, const DurableEffect &effect, const Turn &turn) -> void
{
    if (isTerminal(entry.m_record.m_job.m_state) && m_journal.isWaiting(entry.m_record.m_job.m_id)) {
        // The job has ended since its row was cut; that end is in the next row.
        change(entry, effect, turn);
        return;
    }
    turn.m_commands.emplace_back(AnswerRequest{.m_ticket = effect.m_ticket, .m_result = entry.m_record.m_job});
}

auto ShardScheduler::effectStart(JobEntry &entry, const DurableEffect &effect, const Turn &turn) -> void
{
    // The job may have been cancelled or taken off the worker meanwhile.
    if (entry.m_phase == AttemptPhase::Assigning && entry.m_record.m_job.m_attempt == effect.m_attempt) {
        entry.m_phase = AttemptPhase::Starting;
        ++m_counters.m_starts;
        logJob("attempt_starting", entry);
        sendStart(entry, turn);
    }
}

auto ShardScheduler::effectAcknowledge(JobEntry &entry, const DurableEffect &effect, const Turn & /*turn*/) -> void
{
    if (Worker *const worker = m_workers.find(effect.m_worker)) {
        worker->m_ended.push_back({.m_job = entry.m_record.m_job.m_id, .m_number = effect.m_attempt});
    }
}
}
