#pragma once

#include "burdockspur/contract/shardownership.hpp"
#include "burdockspur/core/error.hpp"
#include "burdockspur/shard/storeevents.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Content of the owner row and of the epoch row.
struct OwnerRow {
    ShardOwnership m_ownership;
    std::string m_operation;
};

/// @brief Content of the snapshot row.
struct SnapshotRow {
    std::uint64_t m_sequence = 0; ///< last journal row in the snapshot
    std::string m_object;
    std::string m_operation;
};

/// @brief Key of a shard's row, e.g. `shard/3/owner` or `shard/3/journal/0000000000000017`.
/// @param sequence sequence number of a journal row; ignored for other rows
[[nodiscard]] auto shardRowKey(ShardId shard, ShardRow row, std::uint64_t sequence) -> std::string;

/// @brief Key of the epoch row, which only takeovers write.
[[nodiscard]] auto shardEpochKey(ShardId shard) -> std::string;

/// @brief Common prefix of the keys of all journal rows of a shard.
[[nodiscard]] auto shardJournalPrefix(ShardId shard) -> std::string;

/// @brief Sequence number in the key of a journal row, or 0 when the key contains none.
[[nodiscard]] auto journalSequenceOf(std::string_view key) noexcept -> std::uint64_t;

[[nodiscard]] auto encodeOwnerRow(const OwnerRow &row) -> std::string;
[[nodiscard]] auto decodeOwnerRow(std::string_view text) -> Result<OwnerRow>;
[[nodiscard]] auto encodeSnapshotRow(const SnapshotRow &row) -> std::string;
[[nodiscard]] auto decodeSnapshotRow(std::string_view text) -> Result<SnapshotRow>;
}
