#pragma once

#include "burdockspur/contract/shardownership.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/shard/conditionalwrite.hpp"
#include "burdockspur/shard/shardcommand.hpp"
#include "burdockspur/shard/shardsettings.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief What a claim has to know about the other shards of its scheduler.
struct ClaimBalance {
    std::size_t m_owned = 0; ///< shards that this scheduler owns or is claiming
    std::size_t m_share = 1; ///< shards divided by schedulers, rounded up
    bool m_mayClaim = true; ///< false while the scheduler drains
};

/// @brief Ownership of one shard, decided by conditional writes of its owner row.
///
/// The owner row is rewritten by each heartbeat. The row `shard/<n>/epoch` is written only by a takeover;
/// journal writes are conditional on its version, so they lose to a takeover but not to a heartbeat.
class ShardClaim
{
public:
    /// @brief What an answer of the store changed.
    enum class Change : std::uint8_t {
        None,
        Acquired,
        Lost,
        Released,
    };

    ShardClaim(ShardId shard, std::string_view host, const ShardSettings &settings);

    /// @brief Sends what is due: reads while another scheduler owns the shard, heartbeats while this one does.
    auto tick(const ClaimBalance &balance, TimePoint now, RandomSource &random, ShardCommands &commands) -> void;

    [[nodiscard]] auto onWritten(const RowWritten &answer, TimePoint now, RandomSource &random) -> Change;
    [[nodiscard]] auto onRead(const RowRead &answer, TimePoint now, RandomSource &random) -> Change;

    /// @brief Reads the owner row at the next tick, because somebody has seen a higher epoch.
    auto doubt() noexcept -> void;

    /// @brief Gives the shard up at the next tick, so that another scheduler takes it at once.
    auto release() noexcept -> void;

    /// @brief Claims the shard no earlier than this time, so that another scheduler takes what was handed over.
    auto holdOff(TimePoint until) noexcept -> void;

    /// @brief Gives the shard up without a write, because the journal was fenced.
    auto relinquish(TimePoint now) noexcept -> void;

    /// @brief True while this scheduler is the owner, as far as it knows.
    [[nodiscard]] auto isOwner() const noexcept -> bool
    {
        return m_state == State::Owning || m_state == State::Releasing;
    }

    /// @brief True while a takeover is being written.
    [[nodiscard]] auto isClaiming() const noexcept -> bool
    {
        return m_state == State::Claiming;
    }

    /// @brief True when the ownership was confirmed within the owner lease, or the store has failed since.
    ///
    /// After a pause of the process this is false until the store has answered, so that a former owner
    /// sends no lease renewal. A store that fails does not end ownership.
    [[nodiscard]] auto mayAct(TimePoint now) const noexcept -> bool;

    /// @brief True while an owner's heartbeat was refused or lost and has not been confirmed since.
    [[nodiscard]] auto isHeartbeatLate() const noexcept -> bool
    {
        return isOwner() && m_storeFailed;
    }

    /// @brief True when the store failed since the last confirmed write.
    [[nodiscard]] auto hasStoreFailed() const noexcept -> bool
    {
        return m_storeFailed;
    }

    /// @brief Version of the epoch row, the condition of journal writes.
    [[nodiscard]] auto epochVersion() const noexcept -> std::uint64_t
    {
        return m_epochVersion;
    }

    /// @brief The owner row as last seen or written.
    [[nodiscard]] auto ownership() const noexcept -> const ShardOwnership &
    {
        return m_ownership;
    }

    /// @brief Time of the next tick that has something to do.
    [[nodiscard]] auto deadline() const noexcept -> TimePoint;

private:
    enum class State : std::uint8_t {
        Watching,
        Claiming,
        Owning,
        Releasing,
    };

    using TickMember = void (ShardClaim::*)(const ClaimBalance &, TimePoint, RandomSource &);

    auto watch(const ClaimBalance &balance, TimePoint now, RandomSource &random) -> void;
    auto heartbeat(const ClaimBalance &balance, TimePoint now, RandomSource &random) -> void;
    auto beginRelease(const ClaimBalance &balance, TimePoint now, RandomSource &random) -> void;
    auto idle(const ClaimBalance &balance, TimePoint now, RandomSource &random) -> void;
    auto begin(ShardOwnership next, RandomSource &random) -> void;
    auto appendWrite(TimePoint now, RandomSource &random, ShardCommands &commands) -> void;
    auto appendRead(TimePoint now, ShardCommands &commands) -> void;
    auto settle(ConditionalWrite::Verdict verdict, const RowStamp &stamp, TimePoint now) -> Change;
    auto committed(const RowStamp &stamp, TimePoint now) -> Change;
    auto rejected(TimePoint now) -> Change;
    auto observe(const RowRead &answer, TimePoint now) -> Change;
    auto startWatching(TimePoint now) noexcept -> void;
    auto scheduleRead(bool changed, TimePoint now) noexcept -> void;
    [[nodiscard]] auto claimDelay(const ClaimBalance &balance) const noexcept -> Duration;

    ShardId m_shard;
    std::string m_host;
    const ShardSettings &m_settings;
    State m_state = State::Watching;
    ConditionalWrite m_write;
    ShardOwnership m_ownership;
    ShardOwnership m_next; ///< content of the write in progress
    std::uint64_t m_version = 0; ///< of the owner row
    std::uint64_t m_epochVersion = 0;
    bool m_seen = false; ///< the row was read since the claim began to watch
    bool m_readAtOnce = false;
    bool m_releaseRequested = false;
    bool m_isAligned = false; ///< reads follow the owner's heartbeats closely
    bool m_storeFailed = false; ///< the store failed since the last confirmation
    Duration m_jitter{0};
    TimePoint m_unchangedSince;
    TimePoint m_observedAt; ///< last successful read of the watched row
    TimePoint m_failingSince = TimePoint::max(); ///< reads of the watched row fail
    Duration m_grace{0}; ///< extra time for the owner's first heartbeat after a long failure
    TimePoint m_confirmedAt; ///< when the last confirmed write was begun
    TimePoint m_begunAt;
    TimePoint m_nextRead = TimePoint::min();
    TimePoint m_nextHeartbeat;
    TimePoint m_notBefore = TimePoint::min(); ///< earliest time of a claim
    TimePoint m_claimAt = TimePoint::max();
};
}
