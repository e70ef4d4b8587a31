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
/// @brief Number of shards that a scheduler owns, and its share of all shards.
struct ClaimBalance {
    std::size_t m_owned = 0; ///< shards that this scheduler owns or is claiming
    std::size_t m_share = 1; ///< shards divided by schedulers, rounded up
    bool m_mayClaim = true; ///< false while the scheduler is draining
};

/// @brief Acquires, keeps and releases the ownership of one shard by conditional writes of its owner row.
///
/// Each heartbeat rewrites the owner row. The row `shard/<n>/epoch` is written only by a takeover. Journal writes are
/// conditional on the version of the epoch row, so a takeover makes them fail, but a heartbeat does not.
class ShardClaim
{
public:
    /// @brief Change of the ownership that an answer of the store caused.
    enum class Change : std::uint8_t {
        None,
        Acquired,
        Lost,
        Released,
    };

    ShardClaim(ShardId shard, std::string_view host, const ShardSettings &settings);

    /// @brief Appends the store commands that are due: reads while another scheduler owns the shard, heartbeats while this
    /// one does.
    auto tick(const ClaimBalance &balance, TimePoint now, RandomSource &random, ShardCommands &commands) -> void;

    [[nodiscard]] auto onWritten(const RowWritten &answer, TimePoint now, RandomSource &random) -> Change;
    [[nodiscard]] auto onRead(const RowRead &answer, TimePoint now, RandomSource &random) -> Change;

    /// @brief Reads the owner row at the next tick; called when a worker has reported a higher epoch.
    auto requestCheck() noexcept -> void;

    /// @brief Releases the shard at the next tick, so that another scheduler can claim it without waiting for the takeover
    /// time.
    auto release() noexcept -> void;

    /// @brief Delays this scheduler's next claim, so that another one takes the shard that was handed over.
    auto delayClaim(TimePoint until) noexcept -> void;

    /// @brief Gives up the shard without a write; called when the journal was fenced.
    auto relinquish(TimePoint now) noexcept -> void;

    /// @brief True while this scheduler is the owner, by its last confirmed write.
    [[nodiscard]] auto isOwner() const noexcept -> bool
    {
        return m_state == State::Owning || m_state == State::Releasing;
    }

    /// @brief True while the write of a takeover is in progress.
    [[nodiscard]] auto isClaiming() const noexcept -> bool
    {
        return m_state == State::Claiming;
    }

    /// @brief True when the ownership was confirmed within the owner lease, or the store has failed since.
    ///
    /// After a pause of the process this is false until the store has answered, so that a former owner sends no lease
    /// renewals. A failure of the store does not end the ownership.
    [[nodiscard]] auto mayAct(TimePoint now) const noexcept -> bool;

    /// @brief True while this owner's last heartbeat failed or was lost and none has been confirmed since.
    [[nodiscard]] auto isHeartbeatLate() const noexcept -> bool
    {
        return isOwner() && m_storeFailed;
    }

    /// @brief True when the store has failed since the last confirmed write.
    [[nodiscard]] auto hasStoreFailed() const noexcept -> bool
    {
        return m_storeFailed;
    }

    /// @brief Version of the epoch row, the condition of journal writes.
    [[nodiscard]] auto epochVersion() const noexcept -> std::uint64_t
    {
        return m_epochVersion;
    }

    /// @brief Content of the owner row, as last read or written.
    [[nodiscard]] auto ownership() const noexcept -> const ShardOwnership &
    {
        return m_ownership;
    }

    /// @brief Time at which tick() next has work to do.
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
    auto sendHeartbeat(const ClaimBalance &balance, TimePoint now, RandomSource &random) -> void;
    auto beginRelease(const ClaimBalance &balance, TimePoint now, RandomSource &random) -> void;
    auto waitForWrite(const ClaimBalance &balance, TimePoint now, RandomSource &random) -> void;
    auto beginWrite(ShardOwnership next, RandomSource &random) -> void;
    auto appendWrite(TimePoint now, RandomSource &random, ShardCommands &commands) -> void;
    auto appendRead(TimePoint now, ShardCommands &commands) -> void;
    auto applyWriteState(ConditionalWrite::WriteState writeState, const RowStamp &stamp, TimePoint now) -> Change;
    auto onCommitted(const RowStamp &stamp, TimePoint now) -> Change;
    auto onRejected(TimePoint now) -> Change;
    auto updateFromRead(const RowRead &answer, TimePoint now) -> Change;
    auto startWatching(TimePoint now) noexcept -> void;
    auto scheduleRead(bool changed, TimePoint now) noexcept -> void;
    [[nodiscard]] auto claimDelay(const ClaimBalance &balance) const noexcept -> Duration;

    ShardId m_shard;
    std::string m_host;
    const ShardSettings &m_settings;
    State m_state = State::Watching;
    ConditionalWrite m_write;
    ShardOwnership m_ownership;
    ShardOwnership m_next; ///< content of the owner row that is being written
    std::uint64_t m_version = 0; ///< version of the owner row
    std::uint64_t m_epochVersion = 0;
    bool m_hasReadRow = false; ///< the row was read since the claim entered the state Watching
    bool m_readAtOnce = false;
    bool m_releaseRequested = false;
    bool m_isAligned = false; ///< reads are timed shortly after the owner's heartbeats
    bool m_storeFailed = false; ///< the store has failed since the last confirmed write
    Duration m_jitter{0};
    TimePoint m_unchangedSince; ///< when the current version of the row was first read
    TimePoint m_observedAt; ///< last successful read of the watched row
    TimePoint m_failingSince = TimePoint::max(); ///< since when reads of the watched row have failed
    Duration m_outageGrace{0}; ///< extra time for the owner's first heartbeat after a long outage of the store
    TimePoint m_confirmedAt; ///< when the last confirmed write was begun
    TimePoint m_writeBegunAt;
    TimePoint m_nextRead = TimePoint::min();
    TimePoint m_nextHeartbeat;
    TimePoint m_earliestClaim = TimePoint::min(); ///< earliest time of a claim
    TimePoint m_claimAt = TimePoint::max(); ///< time of the next claim, when nothing changes until then
};
}
