#pragma once

#include "burdockspur/contract/configuration.hpp"
#include "burdockspur/link/peermessage.hpp"
#include "burdockspur/machine/hostrecord.hpp"
#include "burdockspur/shard/shardevent.hpp"

#include <variant>

namespace Burdockspur
{
/// @brief A request of an entry daemon.
struct EntryRequest {
    EntryTicket m_ticket;
    PeerMessage::Body m_body;
};

/// @brief Requests a graceful shutdown.
struct SchedulerDrainRequested {
};

/// @brief Messages in the ring that the `shards` thread reads.
using ShardInput = std::variant<EntryRequest,
                                RowWritten,
                                RowRead,
                                SnapshotStored,
                                ShardRecovered,
                                LeaseAnswered,
                                StartAnswered,
                                StopAnswered,
                                CheckpointAnswered,
                                Configuration,
                                HostListing,
                                SchedulerDrainRequested>;

/// @brief Commands in the ring that the `platform` thread reads.
using StoreCommand = std::variant<ReadRow, WriteOwnerRow, WriteJournalRow, PutSnapshot, WriteSnapshotRow, RemoveSnapshot, RecoverShard>;

/// @brief Commands in the ring that the `workers` thread reads.
using WorkerCommand = std::variant<RenewLease, StartAttempt, StopAttempt, CheckpointAttempt>;

/// @brief Message in the ring that the `entries` thread reads and sends to entry daemons.
struct EntryAnswer {
    std::uint64_t m_link = 0; ///< receiver; 0 for all links
    PeerMessage m_message;
};
}
