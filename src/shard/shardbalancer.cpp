#include "burdockspur/shard/shardbalancer.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
constexpr std::uint32_t maxDoublings = 6; // waits at most 640 s by default, so that a scheduler that has returned gets its share in time
}

ShardBalancer::ShardBalancer(Milliseconds period) noexcept
    : m_period(period)
{
}

auto ShardBalancer::choose(std::span<const BalancedShard> owned, std::size_t shards, std::size_t schedulers, TimePoint now) -> std::optional<ShardId>
{
    const std::size_t count = std::max<std::size_t>(schedulers, 1);
    const std::size_t share = (shards + count - 1) / count;
    const bool isSteady = std::ranges::all_of(owned, [](const BalancedShard &shard) {
        return shard.m_isRecovered && !shard.m_storeFailed;
    });
    if (m_handover || owned.size() <= share || !isSteady) {
        m_due = TimePoint::max();
        return std::nullopt;
    }
    if (m_due == TimePoint::max()) {
        m_due = now + m_period * (std::int64_t(1) << std::min(m_failedHandovers, maxDoublings));
    }
    if (now < m_due) {
        return std::nullopt;
    }
    // The next owner reads every job of the shard, so the smallest shard is handed over fastest.
    m_handover = std::ranges::min_element(owned, {}, &BalancedShard::m_jobs)->m_shard;
    m_due = TimePoint::max();
    return m_handover;
}

auto ShardBalancer::endHandover(bool foundNewOwner) noexcept -> void
{
    m_handover.reset();
    m_failedHandovers = foundNewOwner ? 0 : m_failedHandovers + 1;
}

auto ShardBalancer::onSchedulersChanged() noexcept -> void
{
    m_failedHandovers = 0;
    m_due = TimePoint::max();
}
}
