#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/guards.hpp"

#include <cstddef>
#include <cstdint>

namespace Burdockspur
{
/// @brief Times and limits of shard ownership and scheduling.
struct ShardSettings {
    Milliseconds m_takeover{3'000}; ///< time without a new heartbeat after which another scheduler takes over
    Milliseconds m_heartbeat{1'000}; ///< period of the owner's heartbeat
    Milliseconds m_ownerLease{2'500}; ///< time without a confirmed heartbeat after which an owner stops acting until the store answers or fails
    Milliseconds m_rebalance{10'000}; ///< time above the share of shards before a handover; longer than a planned host restart, so that no shard moves twice
    Milliseconds m_workerLease{15'000}; ///< time after which a worker stops the tasks of a shard, counted from its last report that a renewal answered
    Milliseconds m_renewal{4'000}; ///< period of renewals; the lease counts from the previous report, so it must exceed two periods and some lost renewals
    Milliseconds m_tick{50}; ///< period of ticks; the changes of one tick go into one journal row
    Milliseconds m_callTimeout{2'000}; ///< timeout for calls to workers
    Milliseconds m_storeTimeout{4'000}; ///< timeout for calls to the table service and the object store
    Milliseconds m_unfencedWait{60'000}; ///< extra wait before the lease of an unlisted worker counts as ended, if the new owner never reached the worker
    Milliseconds m_quarantine{60'000}; ///< time without new tasks for a worker that failed several times in a row
    std::uint32_t m_quarantineFailures = 3; ///< consecutive failures that put a worker into quarantine
    std::uint32_t m_quarantineZonePercent = 25; ///< largest part of a zone's workers in quarantine; one worker is always allowed
    std::uint32_t m_maxFailures = 5; ///< failed attempts after which a job fails
    std::size_t m_maxPendingChanges = 10'000; ///< changes that are not durable yet, beyond which submissions are refused
    std::size_t m_maxRowJobs = 200; ///< largest number of jobs in one journal row
    std::size_t m_maxRowBytes = 262'144; ///< approximate largest size of one journal row
    std::uint32_t m_rowsPerSnapshot = 100; ///< journal rows between snapshots
    std::size_t m_scanLimit = 256; ///< largest number of queued jobs in one placement pass
    std::size_t m_maxEndedJobs = 20'000; ///< ended jobs kept for queries and repeated submissions, per shard
    Guards m_guards{};
};
}
