#pragma once

#include "burdockspur/shard/shardclaim.hpp"
#include "burdockspur/shard/shardscheduler.hpp"

#include <memory>

namespace Burdockspur
{
/// @brief State of one shard in a scheduler daemon: its claim and, while owned, its scheduler.
struct OwnedShard {
    OwnedShard(ShardId shard, std::string_view host, const ShardSettings &settings)
        : m_claim(shard, host, settings)
    {
    }

    ShardClaim m_claim;
    std::unique_ptr<ShardScheduler> m_scheduler; ///< exists while the shard is owned, once its content was recovered
    TimePoint m_recoverAt = TimePoint::max(); ///< when the recovery is started or repeated
    TimePoint m_handoverEnd = TimePoint::max(); ///< when a handover releases the shard even with pending changes or orders
    ShardCounters m_exportedCounters; ///< counter values already added to the metrics
};
}
