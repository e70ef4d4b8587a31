#pragma once

#include "burdockspur/contract/attempt.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/identifiers.hpp"

#include <string>
#include <vector>

namespace Burdockspur
{
/// @brief Renewal of a shard's lease on a worker; it fences lower epochs and keeps the shard's tasks running.
struct LeaseRenewal {
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
    std::string m_owner;
    Milliseconds m_ttl{0};
    std::vector<AttemptId> m_acknowledged; ///< ended attempts whose ends are durable
};

/// @brief A worker's answer to a renewal.
struct LeaseReport {
    Epoch m_epoch = 0;
    std::vector<AttemptReport> m_attempts; ///< every attempt of the shard that is not yet acknowledged
    Resources m_usage; ///< of the whole worker, lagging
    Milliseconds m_usageLag{0};
    bool m_leaving = false;
};
}
