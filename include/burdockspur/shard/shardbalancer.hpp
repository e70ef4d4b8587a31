#pragma once

#include "burdockspur/contract/shardownership.hpp"
#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace Burdockspur
{
/// @brief An owned shard as the balancer sees it.
struct BalancedShard {
    ShardId m_shard = 0;
    bool m_isRecovered = false; ///< its content was read and it serves callers
    bool m_storeFailed = false; ///< the table service failed since the last confirmed heartbeat
    std::size_t m_jobs = 0; ///< jobs that the next owner has to read
};

/// @brief Decides when a scheduler that owns more than its share hands a shard over, and which one.
///
/// At most one handover is in progress. A scheduler that has ended may stay in the host list, so a handover
/// may find no new owner. Each such handover doubles the time before the next one, because it leaves the shard
/// without an owner for some seconds in vain.
///
/// @code
/// ShardBalancer balancer(settings.m_rebalance);
/// if (const auto shard = balancer.choose(owned, shards, schedulers, now)) { drain(*shard); }
/// @endcode
class ShardBalancer
{
public:
    /// @param period time of an uninterrupted excess before a handover
    explicit ShardBalancer(Milliseconds period) noexcept;

    /// @brief Names the shard to hand over now, if any.
    /// @param owned every shard that this scheduler owns or claims
    /// @param shards number of shards in the configuration
    /// @param schedulers number of live schedulers
    [[nodiscard]] auto choose(std::span<const BalancedShard> owned, std::size_t shards, std::size_t schedulers, TimePoint now) -> std::optional<ShardId>;

    /// @brief Ends the handover in progress.
    /// @param taken another scheduler owns the shard now
    auto handoverEnded(bool taken) noexcept -> void;

    /// @brief Forgets handovers without a new owner, because the live schedulers have changed.
    auto schedulersChanged() noexcept -> void;

    /// @brief The shard that is being handed over.
    [[nodiscard]] auto handover() const noexcept -> std::optional<ShardId>
    {
        return m_handover;
    }

    /// @brief Time at which choose() may name a shard, if nothing changes until then.
    [[nodiscard]] auto deadline() const noexcept -> TimePoint
    {
        return m_due;
    }

private:
    Milliseconds m_period;
    std::uint32_t m_untaken = 0; ///< handovers in a row without a new owner
    std::optional<ShardId> m_handover;
    TimePoint m_due = TimePoint::max(); ///< end of the wait that the excess began
};
}
