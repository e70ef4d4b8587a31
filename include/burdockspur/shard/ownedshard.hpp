#pragma once

#include "burdockspur/shard/shardclaim.hpp"
#include "burdockspur/shard/shardscheduler.hpp"

#include <memory>

namespace Burdockspur
{
/// @brief A shard as one scheduler sees it: its claim, and its jobs while this scheduler owns it.
struct OwnedShard {
    OwnedShard(ShardId shard, std::string_view host, const ShardSettings &settings)
        : m_claim(shard, host, settings)
    {
    }

    ShardClaim m_claim;
    std::unique_ptr<ShardScheduler> m_scheduler; ///< present once the content was recovered
    TimePoint m_recoverAt = TimePoint::max(); ///< when recovery is begun or repeated
    TimePoint m_handoverEnd = TimePoint::max(); ///< when a handover releases the shard although changes still wait
    ShardCounters m_counted; ///< counters that the metrics have
};
}
