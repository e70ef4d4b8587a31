#pragma once

#include "burdockspur/contract/shardownership.hpp"
#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace Burdockspur
{
/// @brief State of an owned shard that the balancer needs.
struct BalancedShard {
    ShardId m_shard = 0;
    bool m_isRecovered = false; ///< the content was read and callers are served
    bool m_storeFailed = false; ///< the table service failed since the last confirmed heartbeat
    std::size_t m_jobs = 0; ///< number of jobs that the next owner has to read
};

/// @brief Decides when a scheduler that owns more than its share hands over a shard, and which one.
///
/// At most one handover is in progress. A scheduler that does not run any more may still be in the host list, so a
/// handover may find no new owner. Each such handover doubles the wait before the next one, because it leaves the
/// shard without an owner for some seconds to no avail.
///
/// @code
/// ShardBalancer balancer(settings.m_rebalance);
/// if (const auto shard = balancer.choose(owned, shards, schedulers, now)) { drain(*shard); }
/// @endcode
class ShardBalancer
{
public:
    /// @param period how long the scheduler must own more than its share, without interruption, before a handover
    explicit ShardBalancer(Milliseconds period) noexcept;

    /// @brief Returns the shard to hand over now, if any.
    /// @param owned every shard that this scheduler owns or claims
    /// @param shards number of shards in the configuration
    /// @param schedulers number of live schedulers
    [[nodiscard]] auto choose(std::span<const BalancedShard> owned, std::size_t shards, std::size_t schedulers, TimePoint now) -> std::optional<ShardId>;

    /// @brief Ends the handover in progress.
    /// @param foundNewOwner true when another scheduler owns the shard now
    auto endHandover(bool foundNewOwner) noexcept -> void;

    /// @brief Resets the wait after failed handovers; called when the set of live schedulers has changed.
    auto onSchedulersChanged() noexcept -> void;

    /// @brief Shard that is being handed over, if any.
    [[nodiscard]] auto shardInHandover() const noexcept -> std::optional<ShardId>
    {
        return m_handover;
    }

    /// @brief Time at which choose() may return a shard, if nothing changes until then.
    [[nodiscard]] auto deadline() const noexcept -> TimePoint
    {
        return m_due;
    }

private:
    Milliseconds m_period;
    std::uint32_t m_failedHandovers = 0; ///< consecutive handovers that found no new owner
    std::optional<ShardId> m_handover;
    TimePoint m_due = TimePoint::max(); ///< end of the wait before a handover; TimePoint::max() when none is planned
};
}
