#pragma once

#include "burdockspur/core/identifiers.hpp"

#include <cstdint>
#include <string>

namespace Burdockspur
{
/// @brief Who owns a shard; the content of the owner row.
struct ShardOwnership {
    ShardId m_shard = 0;
    Epoch m_epoch = 0; ///< 0 when nobody has ever owned the shard
    std::string m_owner; ///< name of the entry host; empty after a release
    std::uint64_t m_heartbeat = 0;

    [[nodiscard]] auto operator==(const ShardOwnership &) const -> bool = default;
};
}
