#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/shard/shardcounters.hpp"
#include "burdockspur/shard/storeevents.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
}

namespace Burdockspur
{
class Metrics;

/// @brief Metrics of the `shards` thread.
class SchedulerMetrics
{
public:
    static constexpr std::size_t jobStates = 7;

    explicit SchedulerMetrics(Metrics &metrics);

    /// @brief Adds the increase of a shard's counters to the metrics.
    /// @param before counters at the last call
    /// @param now current counters
    auto add(const ShardCounters &before, const ShardCounters &now) -> void;

    auto setJobs(const std::array<std::size_t, jobStates> &byState) -> void;
    auto setShards(std::size_t owned, std::size_t queued) -> void;
    auto countTakeover() -> void;
    auto countHandover() -> void;
    auto countStoreResult(CommitResult::Status status) -> void;
    auto countRingFull() -> void;
    auto observeTick(Duration duration) -> void;

private:
    struct CounterRow {
        std::uint64_t ShardCounters::*m_member;
        prometheus::Counter *m_counter;
    };

    std::array<CounterRow, 10> m_counters;
    std::array<prometheus::Gauge *, jobStates> m_jobs{};
    std::array<prometheus::Counter *, 4> m_storeResults{};
    prometheus::Gauge &m_owned;
    prometheus::Gauge &m_queued;
    prometheus::Counter &m_takeovers;
    prometheus::Counter &m_handovers;
    prometheus::Counter &m_ringFull;
    prometheus::Histogram &m_ticks;
};
}
