#include "burdockspur/shard/journal.hpp"

#include "burdockspur/core/identifiers.hpp"

#include <utility>

namespace Burdockspur
{
namespace
{
// Approximate size in bytes of an encoded record without its payload, result and reason.
constexpr std::size_t recordOverhead = 160;

[[nodiscard]] auto sizeOf(const JobRecord &record) noexcept -> std::size_t
{
    return recordOverhead + record.m_job.m_spec.m_payload.size() + record.m_job.m_result.size() + record.m_job.m_reason.size();
}
}

Journal::Journal(ShardId shard, std::string_view host, const ShardSettings &settings, std::uint64_t epochVersion)
    : m_shard(shard)
    , m_host(host)
    , m_settings(settings)
    , m_epochVersion(epochVersion)
    , m_write(settings.m_storeTimeout, settings.m_guards)
{
}

auto Journal::setLastSequence(std::uint64_t sequence) noexcept -> void
{
    m_sequence = sequence;
}

auto Journal::recordChange(std::string_view job, TimePoint now) -> void
{
    const auto [entry, added] = m_unwritten.try_emplace(std::string(job));
    if (!added) {
        return;
    }
    m_order.emplace_back(job);
    if (m_nextRowAt == TimePoint::max()) {
        m_nextRowAt = now + m_settings.m_tick;
    }
}

auto Journal::recordChange(std::string_view job, DurableEffect effect, TimePoint now) -> void
{
    recordChange(job, now);
    m_unwritten.find(job)->second.push_back(std::move(effect));
    ++m_effects;
}

auto Journal::isPending(std::string_view job) const -> bool
{
    return m_unwritten.contains(job) || m_inFlight.contains(job);
}

auto Journal::pendingChanges() const noexcept -> std::size_t
{
    return m_unwritten.size() + m_inFlight.size();
}

auto Journal::tick(const RecordOf &recordOf, TimePoint now, RandomSource &random, ShardCommands &commands) -> void
{
    if (!m_write.inProgress() && now >= m_nextRowAt) {
        buildRow(recordOf, now, random);
    }
    const auto action = m_write.next(now, random);
    if (action == ConditionalWrite::Action::Write) {
        commands.emplace_back(WriteJournalRow{.m_shard = m_shard,
                                              .m_epochVersion = m_epochVersion,
                                              .m_sequence = m_sequence + 1,
                                              .m_operation = std::string(m_write.operation()),
                                              .m_records = m_rowRecords});
    } else if (action == ConditionalWrite::Action::ReadBack) {
        commands.emplace_back(
            ReadRow{.m_shard = m_shard, .m_row = ShardRow::Journal, .m_sequence = m_sequence + 1, .m_operation = std::string(m_write.operation())});
    }
}

auto Journal::buildRow(const RecordOf &recordOf, TimePoint now, RandomSource &random) -> void
{
    std::size_t bytes = 0;
    m_rowRecords.clear();
    while (!m_order.empty() && m_rowRecords.size() < m_settings.m_maxRowJobs && bytes < m_settings.m_maxRowBytes) {
        auto unwritten = m_unwritten.extract(m_order.front());
        m_order.pop_front();
        const JobRecord &record = recordOf(unwritten.key());
        bytes += sizeOf(record);
        m_rowRecords.push_back(record);
        m_inFlight.emplace(unwritten.key(),
                           JobChange{.m_job = unwritten.key(), .m_attempt = record.m_job.m_attempt, .m_effects = std::move(unwritten.mapped())});
    }
    // Changes that did not fit wait for the next tick, so that a backlog does not overload a table that has just recovered.
    m_nextRowAt = m_order.empty() ? TimePoint::max() : now + m_settings.m_tick;
    m_write.begin(m_host + "-" + hexOf(random.next64()), 0);
}

auto Journal::onWritten(const RowWritten &answer, TimePoint now, RandomSource &random) -> ConditionalWrite::WriteState
{
    return applyWriteState(m_write.onWritten(answer, now, random));
}

auto Journal::onRead(const RowRead &answer, TimePoint now, RandomSource &random) -> ConditionalWrite::WriteState
{
    return applyWriteState(m_write.onRead(answer, now, random));
}

auto Journal::applyWriteState(ConditionalWrite::WriteState writeState) -> ConditionalWrite::WriteState
{
    if (writeState == ConditionalWrite::WriteState::Committed) {
        ++m_sequence;
        for (auto &[job, change] : m_inFlight) {
            m_effects -= change.m_effects.size();
            m_durable.push_back(std::move(change));
        }
        m_inFlight.clear();
        m_rowRecords.clear();
    }
    return writeState;
}

auto Journal::takeDurable() -> std::vector<JobChange>
{
    return std::exchange(m_durable, {});
}

auto Journal::takeAll() -> std::vector<JobChange>
{
    std::vector<JobChange> changes = takeDurable();
    for (auto &[job, change] : m_inFlight) {
        changes.push_back(std::move(change));
    }
    for (auto &[job, effects] : m_unwritten) {
        changes.push_back({.m_job = job, .m_attempt = 0, .m_effects = std::move(effects)});
    }
    m_inFlight.clear();
    m_unwritten.clear();
    m_order.clear();
    m_effects = 0;
    m_write.abandon();
    return changes;
}

auto Journal::deadline() const noexcept -> TimePoint
{
    return m_write.inProgress() ? m_write.deadline() : m_nextRowAt;
}
}
