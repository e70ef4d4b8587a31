#include "burdockspur/shard/snapshotkeeper.hpp"

#include "burdockspur/core/identifiers.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
constexpr Milliseconds retryDelay{2'000};
constexpr std::uint64_t maxDeletes = 120; // rows in one transaction; each deletion counts as a write of the table, so transactions must stay small
}

SnapshotKeeper::SnapshotKeeper(ShardId shard, Epoch epoch, std::string_view host, const ShardSettings &settings, std::uint64_t epochVersion)
    : m_shard(shard)
    , m_epoch(epoch)
    , m_host(host)
    , m_settings(settings)
    , m_epochVersion(epochVersion)
    , m_write(settings.m_storeTimeout, settings.m_guards)
{
}

auto SnapshotKeeper::recover(const ShardContent &content) -> void
{
    m_firstRow = content.m_firstSequence;
    m_sequence = content.m_snapshotSequence;
    m_version = content.m_snapshotVersion;
    m_object = content.m_snapshotObject;
}

auto SnapshotKeeper::tick(std::uint64_t lastSequence, const RecordsOf &recordsOf, TimePoint now, RandomSource &random, ShardCommands &commands) -> void
{
    if (m_write.inProgress()) {
        appendWrite(now, random, commands);
    } else if ((m_storing || isDue(lastSequence)) && now >= m_storeAt) {
        storeObject(lastSequence, recordsOf, now, commands);
    }
}

auto SnapshotKeeper::isDue(std::uint64_t lastSequence) const noexcept -> bool
{
    return lastSequence >= m_sequence + m_settings.m_rowsPerSnapshot;
}

auto SnapshotKeeper::storeObject(std::uint64_t lastSequence, const RecordsOf &recordsOf, TimePoint now, ShardCommands &commands) -> void
{
    if (!m_nextObject.empty()) {
        // The previous object failed or its answer was lost, so no snapshot row names it.
        commands.emplace_back(RemoveSnapshot{.m_shard = m_shard, .m_object = m_nextObject});
    }
    m_storing = true;
    m_storeAt = now + m_settings.m_storeTimeout + retryDelay;
    m_nextSequence = lastSequence;
    // The epoch and the count in the name prevent a former owner or a delayed request from replacing an object in use.
    m_nextObject =
        "shard-" + std::to_string(m_shard) + "-" + std::to_string(lastSequence) + "-" + std::to_string(m_epoch) + "-" + std::to_string(++m_objectAttempts);
    commands.emplace_back(PutSnapshot{.m_shard = m_shard, .m_sequence = lastSequence, .m_object = m_nextObject, .m_records = recordsOf()});
}

auto SnapshotKeeper::onStored(const SnapshotStored &answer, TimePoint now, RandomSource &random) -> void
{
    if (!m_storing || answer.m_object != m_nextObject) {
        return;
    }
    m_storing = false;
    m_storeAt = now + retryDelay;
    if (answer.m_succeeded) {
        m_write.begin(m_host + "-" + hexOf(random.next64()), m_version);
    }
}

auto SnapshotKeeper::lastDeleted() const noexcept -> std::uint64_t
{
    return std::min(m_nextSequence, m_firstRow + maxDeletes - 1);
}

auto SnapshotKeeper::appendWrite(TimePoint now, RandomSource &random, ShardCommands &commands) -> void
{
    const auto action = m_write.next(now, random);
    if (action == ConditionalWrite::Action::Write) {
        commands.emplace_back(WriteSnapshotRow{.m_shard = m_shard,
                                               .m_epochVersion = m_epochVersion,
                                               .m_version = m_version,
                                               .m_sequence = m_nextSequence,
                                               .m_firstDeleted = m_firstRow,
                                               .m_lastDeleted = lastDeleted(),
                                               .m_object = m_nextObject,
                                               .m_operation = std::string(m_write.operation())});
    } else if (action == ConditionalWrite::Action::ReadBack) {
        commands.emplace_back(ReadRow{.m_shard = m_shard, .m_row = ShardRow::Snapshot, .m_sequence = 0, .m_operation = std::string(m_write.operation())});
    }
}

auto SnapshotKeeper::onWritten(const RowWritten &answer, TimePoint now, RandomSource &random, ShardCommands &commands) -> ConditionalWrite::WriteState
{
    return applyWriteState(m_write.onWritten(answer, now, random), answer.m_stamp, commands);
}

auto SnapshotKeeper::onRead(const RowRead &answer, TimePoint now, RandomSource &random, ShardCommands &commands) -> ConditionalWrite::WriteState
{
    return applyWriteState(m_write.onRead(answer, now, random), answer.m_stamp, commands);
}

auto SnapshotKeeper::applyWriteState(ConditionalWrite::WriteState writeState, const RowStamp &stamp, ShardCommands &commands) -> ConditionalWrite::WriteState
{
    if (writeState == ConditionalWrite::WriteState::Committed) {
        if (!m_object.empty()) {
            commands.emplace_back(RemoveSnapshot{.m_shard = m_shard, .m_object = m_object});
        }
        m_firstRow = lastDeleted() + 1;
        m_sequence = m_nextSequence;
        m_version = stamp.m_version;
        m_object = std::move(m_nextObject);
        m_nextObject.clear();
    }
    return writeState;
}

auto SnapshotKeeper::deadline(std::uint64_t lastSequence) const noexcept -> TimePoint
{
    if (m_write.inProgress()) {
        return m_write.deadline();
    }
    return m_storing || isDue(lastSequence) ? m_storeAt : TimePoint::max();
}
}
