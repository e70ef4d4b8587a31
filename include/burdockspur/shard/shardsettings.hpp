#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/guards.hpp"

#include <cstddef>
#include <cstdint>

namespace Burdockspur
{
/// @brief Times and bounds of shard ownership and scheduling.
struct ShardSettings {
    Milliseconds m_takeover{3'000}; ///< an unchanged heartbeat for so long allows a takeover
    Milliseconds m_heartbeat{1'000}; ///< period of the owner's heartbeat
    Milliseconds m_ownerLease{2'500}; ///< an owner without a confirmed heartbeat for so long holds back until the store answers or fails
    Milliseconds m_rebalance{10'000}; ///< longer than a planned restart of one host, so that its shards do not move twice
    Milliseconds m_workerLease{15'000}; ///< a worker stops the tasks of a shard so long after the last report that a renewal answered
    Milliseconds m_renewal{4'000}; ///< period of lease renewals; a renewal answers a report of the one before, so the lease must outlast two and some lost ones
    Milliseconds m_tick{50}; ///< changes of one tick go into one journal row
    Milliseconds m_callTimeout{2'000}; ///< for answers of workers
    Milliseconds m_storeTimeout{4'000}; ///< for answers of the table service and the object store
    Milliseconds m_unfencedWait{60'000}; ///< extra wait before a worker that the new owner never reached and that is not listed any more counts as stopped
    Milliseconds m_quarantine{60'000}; ///< a worker that failed several times in a row gets no task for so long
    std::uint32_t m_quarantineFailures = 3; ///< consecutive failures that lead to quarantine
    std::uint32_t m_quarantineZonePercent = 25; ///< most workers of a zone in quarantine; at least one is allowed
    std::uint32_t m_maxFailures = 5; ///< failed attempts after which a job fails
    std::size_t m_maxWaitingChanges = 10'000; ///< changed jobs that wait for the store; submissions beyond are refused
    std::size_t m_maxRowJobs = 200; ///< changed jobs in one journal row
    std::size_t m_maxRowBytes = 262'144; ///< approximate size of one journal row
    std::uint32_t m_rowsPerSnapshot = 100; ///< journal rows between snapshots
    std::size_t m_scanLimit = 256; ///< queued jobs that one placement pass looks at
    std::size_t m_maxEndedJobs = 20'000; ///< ended jobs kept for queries and repeated submissions, per shard
    Guards m_guards{};
};
}
