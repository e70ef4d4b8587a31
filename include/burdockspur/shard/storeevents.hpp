#pragma once

#include "burdockspur/contract/shardownership.hpp"
#include "burdockspur/port/tablestore.hpp"
#include "burdockspur/shard/jobrecord.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockspur
{
/// @brief Kind of a shard's row in a store command or answer.
enum class ShardRow : std::uint8_t {
    Owner,
    Journal,
    Snapshot,
};

/// @brief Version and last operation of a row, which identify its content.
struct RowStamp {
    std::uint64_t m_version = 0; ///< 0 when the row is absent
    std::string m_operation; ///< operation id of the last write

    [[nodiscard]] auto operator==(const RowStamp &) const -> bool = default;
};

/// @brief Answer of the table service to a write of a shard's row.
struct RowWritten {
    ShardId m_shard = 0;
    ShardRow m_row = ShardRow::Owner;
    std::string m_operation;
    CommitResult::Status m_status = CommitResult::Status::Unknown;
    bool m_fenced = false; ///< Conflict: the version of the epoch row did not match
    std::uint64_t m_epochVersion = 0; ///< version of the epoch row, or 0 when the answer does not contain it
    RowStamp m_stamp; ///< Conflict: of the current row; Committed: of the new row
};

/// @brief Answer of the table service to a read of a shard's row.
struct RowRead {
    ShardId m_shard = 0;
    ShardRow m_row = ShardRow::Owner;
    std::string m_operation; ///< operation id of the write that is read back; empty for other reads
    bool m_succeeded = false;
    RowStamp m_stamp;
    ShardOwnership m_ownership; ///< content of the owner row
};

/// @brief Answer of the object store to PutSnapshot.
struct SnapshotStored {
    ShardId m_shard = 0;
    std::string m_object;
    bool m_succeeded = false;
};

/// @brief Content of a shard that a new owner has read.
struct ShardContent {
    std::vector<JobRecord> m_records; ///< in the order of the snapshot and journal; later records replace earlier ones
    std::uint64_t m_firstSequence = 1; ///< first journal row that exists, or the next one to be written when there is none
    std::uint64_t m_lastSequence = 0; ///< last journal row; 0 when none was ever written
    std::uint64_t m_snapshotSequence = 0; ///< last journal row in the snapshot; 0 without a snapshot
    std::uint64_t m_snapshotVersion = 0; ///< version of the snapshot row
    std::string m_snapshotObject; ///< name of the snapshot's object
    std::uint32_t m_reads = 0; ///< number of reads from the table and the object store
};

/// @brief Result of reading a shard's content.
struct ShardRecovered {
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
    Result<ShardContent> m_content;
};
}
