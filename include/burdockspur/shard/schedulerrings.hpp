#pragma once

#include "burdockspur/core/boundedring.hpp"
#include "burdockspur/shard/shardinput.hpp"

#include <cstddef>

namespace Burdockspur
{
/// @brief The rings between the duties of the scheduler.
struct SchedulerRings {
    static constexpr std::size_t capacity = 8'192;

    BoundedRing<ShardInput> m_shards{capacity};
    BoundedRing<StoreCommand> m_platform{capacity};
    BoundedRing<WorkerCommand> m_workers{capacity};
    BoundedRing<EntryAnswer> m_entries{capacity};
    BoundedRing<ConfigVersion> m_versions{64}; ///< configuration versions in messages of peers, for the configuration watcher
};
}
