#pragma once

#include "burdockspur/contract/shardownership.hpp"
#include "burdockspur/shard/jobrecord.hpp"
#include "burdockspur/shard/storeevents.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockspur
{
/// @brief Reads the version and the operation id of a row; for the owner row, also its content.
struct ReadRow {
    ShardId m_shard = 0;
    ShardRow m_row = ShardRow::Owner;
    std::uint64_t m_sequence = 0; ///< sequence number of a journal row
    std::string m_operation; ///< copied into the answer
};

/// @brief Writes the owner row; a takeover also writes the epoch row in the same transaction.
struct WriteOwnerRow {
    ShardOwnership m_ownership;
    std::uint64_t m_version = 0; ///< required version of the owner row
    bool m_takeover = false; ///< also writes the epoch row
    std::uint64_t m_epochVersion = 0; ///< required version of the epoch row
    std::string m_operation;
};

/// @brief Writes one journal row, which must not exist yet.
struct WriteJournalRow {
    ShardId m_shard = 0;
    std::uint64_t m_epochVersion = 0; ///< required version of the epoch row
    std::uint64_t m_sequence = 0;
    std::string m_operation;
    std::vector<JobRecord> m_records;
};

/// @brief Stores the object of a snapshot.
struct PutSnapshot {
    ShardId m_shard = 0;
    std::uint64_t m_sequence = 0; ///< last journal row in the snapshot
    std::string m_object;
    std::vector<JobRecord> m_records;
};

/// @brief Makes a stored object the snapshot of the shard and deletes journal rows that it contains.
struct WriteSnapshotRow {
    ShardId m_shard = 0;
    std::uint64_t m_epochVersion = 0; ///< required version of the epoch row
    std::uint64_t m_version = 0; ///< required version of the snapshot row
    std::uint64_t m_sequence = 0;
    std::uint64_t m_firstDeleted = 0; ///< first journal row to delete
    std::uint64_t m_lastDeleted = 0; ///< last journal row to delete
    std::string m_object;
    std::string m_operation;
};

/// @brief Removes the object of a superseded snapshot; after a failure, the unused object stays in the store.
struct RemoveSnapshot {
    ShardId m_shard = 0;
    std::string m_object;
};

/// @brief Reads the snapshot and the journal after a takeover.
struct RecoverShard {
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
};
}
