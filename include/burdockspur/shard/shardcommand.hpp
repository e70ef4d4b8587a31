#pragma once

#include "burdockspur/contract/job.hpp"
#include "burdockspur/core/error.hpp"
#include "burdockspur/shard/storecommands.hpp"
#include "burdockspur/shard/workercommands.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace Burdockspur
{
/// @brief Identifies a caller's request until it is answered.
struct EntryTicket {
    std::uint64_t m_link = 0;
    std::uint64_t m_correlation = 0;

    [[nodiscard]] auto operator==(const EntryTicket &) const noexcept -> bool = default;
};

/// @brief Command: answer a request of an entry daemon.
struct AnswerRequest {
    EntryTicket m_ticket;
    Result<Job> m_result;
};

/// @brief Command: read the owner row, because a worker has reported a higher epoch.
struct CheckOwnership {
    ShardId m_shard = 0;
};

/// @brief Commands that the decision code issues.
using ShardCommand = std::variant<ReadRow,
                                  WriteOwnerRow,
                                  WriteJournalRow,
                                  PutSnapshot,
                                  WriteSnapshotRow,
                                  RemoveSnapshot,
                                  RecoverShard,
                                  RenewLease,
                                  StartAttempt,
                                  StopAttempt,
                                  CheckpointAttempt,
                                  AnswerRequest,
                                  CheckOwnership>;

/// @brief Commands in the order in which they were decided.
using ShardCommands = std::vector<ShardCommand>;
}
