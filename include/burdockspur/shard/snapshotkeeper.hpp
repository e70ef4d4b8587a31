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
/// @brief Replaces old journal rows by snapshots: object first, then the row that names it, then deletion.
///
/// A snapshot may hold changes that are not yet in the journal. That is harmless: later rows replace the
/// records again, and nothing outside depends on a change before its own row is durable.
class SnapshotKeeper
{
public:
    /// @brief Current records of all jobs of the shard.
    using RecordsOf = std::function<std::vector<JobRecord>()>;

    SnapshotKeeper(ShardId shard, Epoch epoch, std::string_view host, const ShardSettings &settings, std::uint64_t epochVersion);

    /// @brief Continues from a recovered shard.
    auto recover(const ShardContent &content) -> void;

    /// @brief Begins a snapshot when enough rows were written since the last one; repeats what is due.
    /// @param lastSequence last durable journal row
    auto tick(std::uint64_t lastSequence, const RecordsOf &recordsOf, TimePoint now, RandomSource &random, ShardCommands &commands) -> void;

    auto onStored(const SnapshotStored &answer, TimePoint now, RandomSource &random) -> void;
    [[nodiscard]] auto onWritten(const RowWritten &answer, TimePoint now, RandomSource &random, ShardCommands &commands) -> ConditionalWrite::Verdict;
    [[nodiscard]] auto onRead(const RowRead &answer, TimePoint now, RandomSource &random, ShardCommands &commands) -> ConditionalWrite::Verdict;

    /// @param lastSequence last durable journal row
    [[nodiscard]] auto deadline(std::uint64_t lastSequence) const noexcept -> TimePoint;

private:
    auto put(std::uint64_t lastSequence, const RecordsOf &recordsOf, TimePoint now, ShardCommands &commands) -> void;
    auto appendWrite(TimePoint now, RandomSource &random, ShardCommands &commands) -> void;
    auto settle(ConditionalWrite::Verdict verdict, const RowStamp &stamp, ShardCommands &commands) -> ConditionalWrite::Verdict;
    [[nodiscard]] auto isDue(std::uint64_t lastSequence) const noexcept -> bool;
    [[nodiscard]] auto lastDeleted() const noexcept -> std::uint64_t;

    ShardId m_shard;
    Epoch m_epoch;
    std::string m_host;
    const ShardSettings &m_settings;
    std::uint64_t m_epochVersion;
    ConditionalWrite m_write;
    bool m_storing = false;
    std::uint64_t m_firstRow = 1; ///< first journal row that was not deleted
    std::uint64_t m_sequence = 0; ///< of the snapshot in force
    std::uint64_t m_version = 0; ///< of the snapshot row
    std::uint64_t m_nextSequence = 0; ///< of the snapshot being made
    std::uint64_t m_tries = 0;
    std::string m_object; ///< of the snapshot in force
    std::string m_nextObject; ///< of the snapshot being made
    TimePoint m_storeAt = TimePoint::min(); ///< earliest time of the next object, or loss of its answer
};
}
