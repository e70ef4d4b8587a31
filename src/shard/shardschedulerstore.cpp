#include "burdockspur/core/invariant.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/shard/shardscheduler.hpp"

#include <array>

namespace Burdockspur
{
auto ShardScheduler::onEvent(const RowWritten &event, const CallContext &context) -> void
{
    if (event.m_row == ShardRow::Journal) {
        handleWriteState(event.m_row, m_journal.onWritten(event, context.m_now, context.m_random), context);
    } else if (event.m_row == ShardRow::Snapshot) {
        handleWriteState(event.m_row, m_snapshots.onWritten(event, context.m_now, context.m_random, context.m_commands), context);
    }
}

auto ShardScheduler::onEvent(const RowRead &event, const CallContext &context) -> void
{
    if (event.m_row == ShardRow::Journal) {
        handleWriteState(event.m_row, m_journal.onRead(event, context.m_now, context.m_random), context);
    } else if (event.m_row == ShardRow::Snapshot) {
        handleWriteState(event.m_row, m_snapshots.onRead(event, context.m_now, context.m_random, context.m_commands), context);
    }
}

auto ShardScheduler::onEvent(const SnapshotStored &event, const CallContext &context) -> void
{
    m_snapshots.onStored(event, context.m_now, context.m_random);
}

auto ShardScheduler::handleWriteState(ShardRow row, ConditionalWrite::WriteState writeState, const CallContext &context) -> void
{
    if (writeState == ConditionalWrite::WriteState::Rejected) {
        // A condition of this owner's writes fails only after another owner has taken a higher epoch.
        logEvent(LogLevel::Warning, "shard_fenced", {{"shard", m_term.m_shard}, {"epoch", m_term.m_epoch}});
        abandon(context.m_commands);
    } else if (writeState == ConditionalWrite::WriteState::Committed && row == ShardRow::Journal) {
        ++m_counters.m_journalRows;
        applyDurableEffects(context);
    }
}

auto ShardScheduler::applyDurableEffects(const CallContext &context) -> void
{
    using Member = void (ShardScheduler::*)(JobEntry &, const DurableEffect &, const CallContext &);
    // Indexed by DurableEffect::Kind.
    static constexpr std::array<Member, 3> table{&ShardScheduler::applyAnswer, &ShardScheduler::applyStart, &ShardScheduler::applyAcknowledgement};
    requireInvariant(!m_fenced, "no_effect_with_a_stale_epoch", m_term.m_host);
    for (const auto &change : m_journal.takeDurable()) {
        JobEntry &entry = *m_jobs.find(change.m_job);
        requireInvariant(change.m_attempt >= entry.m_durableAttempt, "attempt_numbers_grow", change.m_job);
        entry.m_durableAttempt = change.m_attempt;
        for (const auto &effect : change.m_effects) {
            (this->*table[static_cast<std::size_t>(effect.m_kind)])(entry, effect, context);
        }
    }
}

auto ShardScheduler::applyAnswer(JobEntry &entry, const DurableEffect &effect, const CallContext &context) -> void
{
    if (isTerminal(entry.m_record.m_job.m_state) && m_journal.isPending(entry.m_record.m_job.m_id)) {
        // The job has ended since this row was built; the answer waits for the row with the end.
        recordChange(entry, effect, context);
        return;
    }
    context.m_commands.emplace_back(AnswerRequest{.m_ticket = effect.m_ticket, .m_result = entry.m_record.m_job});
}

auto ShardScheduler::applyStart(JobEntry &entry, const DurableEffect &effect, const CallContext &context) -> void
{
    // The job may have been cancelled or evicted while the row was being written.
    if (entry.m_phase == AttemptPhase::Assigning && entry.m_record.m_job.m_attempt == effect.m_attempt) {
        entry.m_phase = AttemptPhase::Starting;
        ++m_counters.m_starts;
        logJob("attempt_starting", entry);
        sendStart(entry, context);
    }
}

auto ShardScheduler::applyAcknowledgement(JobEntry &entry, const DurableEffect &effect, const CallContext & /*context*/) -> void
{
    if (Worker *const worker = m_workers.find(effect.m_worker)) {
        worker->m_toAcknowledge.push_back({.m_job = entry.m_record.m_job.m_id, .m_number = effect.m_attempt});
    }
}
}
