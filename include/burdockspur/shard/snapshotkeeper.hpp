#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/shard/conditionalwrite.hpp"
#include "burdockspur/shard/jobrecord.hpp"
#include "burdockspur/shard/shardcommand.hpp"
#include "burdockspur/shard/shardsettings.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief Replaces old journal rows by snapshots.
///
/// First the object is stored. Then one transaction writes the snapshot row that names the object and deletes journal
/// rows that it contains. A snapshot may contain changes that are not in the journal yet. That is harmless: later rows
/// replace these records, and no effect of a change leaves the scheduler before its journal row is durable.
class SnapshotKeeper
{
public:
    /// @brief Returns the current records of all jobs of the shard.
    using RecordsOf = std::function<std::vector<JobRecord>()>;

    /// @param shard shard whose journal is replaced
    /// @param epoch epoch of the ownership, part of the object names
    /// @param host prefix of the operation ids
    /// @param settings kept by reference
    /// @param epochVersion version of the epoch row, the condition of every write
    SnapshotKeeper(ShardId shard, Epoch epoch, std::string_view host, const ShardSettings &settings, std::uint64_t epochVersion);

    /// @brief Sets the snapshot in force, after a recovery.
    auto recover(const ShardContent &content) -> void;

    /// @brief Begins a snapshot when enough rows were written since the last one, and repeats commands that are due.
    /// @param lastSequence sequence number of the last durable journal row
    auto tick(std::uint64_t lastSequence, const RecordsOf &recordsOf, TimePoint now, RandomSource &random, ShardCommands &commands) -> void;

    auto onStored(const SnapshotStored &answer, TimePoint now, RandomSource &random) -> void;
    [[nodiscard]] auto onWritten(const RowWritten &answer, TimePoint now, RandomSource &random, ShardCommands &commands) -> ConditionalWrite::WriteState;
    [[nodiscard]] auto onRead(const RowRead &answer, TimePoint now, RandomSource &random, ShardCommands &commands) -> ConditionalWrite::WriteState;

    /// @brief Time at which tick() next has work to do.
    /// @param lastSequence sequence number of the last durable journal row
    [[nodiscard]] auto deadline(std::uint64_t lastSequence) const noexcept -> TimePoint;

private:
    auto storeObject(std::uint64_t lastSequence, const RecordsOf &recordsOf, TimePoint now, ShardCommands &commands) -> void;
    auto appendWrite(TimePoint now, RandomSource &random, ShardCommands &commands) -> void;
    auto applyWriteState(ConditionalWrite::WriteState writeState, const RowStamp &stamp, ShardCommands &commands) -> ConditionalWrite::WriteState;
    [[nodiscard]] auto isDue(std::uint64_t lastSequence) const noexcept -> bool;
    [[nodiscard]] auto lastDeleted() const noexcept -> std::uint64_t;

    ShardId m_shard;
    Epoch m_epoch;
    std::string m_host;
    const ShardSettings &m_settings;
    std::uint64_t m_epochVersion;
    ConditionalWrite m_write;
    bool m_storing = false; ///< an object was sent to the object store and is not answered yet
    std::uint64_t m_firstRow = 1; ///< first journal row that was not deleted
    std::uint64_t m_sequence = 0; ///< last journal row in the snapshot in force
    std::uint64_t m_version = 0; ///< version of the snapshot row
    std::uint64_t m_nextSequence = 0; ///< last journal row in the snapshot in progress
    std::uint64_t m_objectAttempts = 0; ///< objects sent in this epoch
    std::string m_object; ///< object of the snapshot in force
    std::string m_nextObject; ///< object of the snapshot in progress
    TimePoint m_storeAt = TimePoint::min(); ///< earliest time to send the next object, or when the awaited answer counts as lost
};
}
