#include "burdockspur/shard/journal.hpp"

#include "burdockspur/core/identifiers.hpp"

#include <utility>

namespace Burdockspur
{
namespace
{
// Length of a record without its texts, roughly.
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

auto Journal::change(std::string_view job, TimePoint now) -> void
{
    const auto [entry, added] = m_open.try_emplace(std::string(job));
    if (!added) {
        return;
    }
    m_order.emplace_back(job);
    if (m_cutAt == TimePoint::max()) {
        m_cutAt = now + m_settings.m_tick;
    }
}

auto Journal::change(std::string_view job, DurableEffect effect, TimePoint now) -> void
{
    change(job, now);
    m_open.find(job)->second.push_back(std::move(effect));
    ++m_effects;
}

auto Journal::isWaiting(std::string_view job) const -> bool
{
    return m_open.contains(job) || m_inFlight.contains(job);
}

auto Journal::waiting() const noexcept -> std::size_t
{
    return m_open.size() + m_inFlight.size();
}

auto Journal::tick(const RecordOf &recordOf, TimePoint now, RandomSource &random, ShardCommands &commands) -> void
{
    if (!m_write.inProgress() && now >= m_cutAt) {
        cutRow(recordOf, now, random);
    }
    const auto need = m_write.next(now, random);
    if (need == ConditionalWrite::Need::Write) {
        commands.emplace_back(WriteJournalRow{.m_shard = m_shard,
                                              .m_epochVersion = m_epochVersion,
                                              .m_sequence = m_sequence + 1,
                                              .m_operation = std::string(m_write.operation()),
                                              .m_records = m_row});
    } else if (need == ConditionalWrite::Need::ReadBack) {
        commands.emplace_back(
            ReadRow{.m_shard = m_shard, .m_row = ShardRow::Journal, .m_sequence = m_sequence + 1, .m_operation = std::string(m_write.operation())});
    }
}

auto Journal::cutRow(const RecordOf &recordOf, TimePoint now, RandomSource &random) -> void
{
    std::size_t bytes = 0;
    m_row.clear();
    while (!m_order.empty() && m_row.size() < m_settings.m_maxRowJobs && bytes < m_settings.m_maxRowBytes) {
        auto open = m_open.extract(m_order.front());
        m_order.pop_front();
        const JobRecord &record = recordOf(open.key());
        bytes += sizeOf(record);
        m_row.push_back(record);
        m_inFlight.emplace(open.key(), JobChange{.m_job = open.key(), .m_attempt = record.m_job.m_attempt, .m_effects = std::move(open.mapped())});
    }
    // What did not fit waits for the next tick, so that a backlog does not flood a table that has just returned.
    m_cutAt = m_order.empty() ? TimePoint::max() : now + m_settings.m_tick;
    m_write.begin(m_host + "-" + hexOf(random.next64()), 0);
}

auto Journal::onWritten(const RowWritten &answer, TimePoint now, RandomSource &random) -> ConditionalWrite::Verdict
{
    return settle(m_write.onWritten(answer, now, random));
}

auto Journal::onRead(const RowRead &answer, TimePoint now, RandomSource &random) -> ConditionalWrite::Verdict
{
    return settle(m_write.onRead(answer, now, random));
}

auto Journal::settle(ConditionalWrite::Verdict verdict) -> ConditionalWrite::Verdict
{
    if (verdict == ConditionalWrite::Verdict::Committed) {
        ++m_sequence;
        for (auto &[job, change] : m_inFlight) {
            m_effects -= change.m_effects.size();
            m_durable.push_back(std::move(change));
        }
        m_inFlight.clear();
        m_row.clear();
    }
    return verdict;
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
    for (auto &[job, effects] : m_open) {
        changes.push_back({.m_job = job, .m_attempt = 0, .m_effects = std::move(effects)});
    }
    m_inFlight.clear();
    m_open.clear();
    m_order.clear();
    m_effects = 0;
    m_write.abandon();
    return changes;
}

auto Journal::deadline() const noexcept -> TimePoint
{
    return m_write.inProgress() ? m_write.deadline() : m_cutAt;
}
}
