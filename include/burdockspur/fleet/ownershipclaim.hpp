#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/fleet/formerowner.hpp"
#include "burdockspur/fleet/waitingjobs.hpp"
#include "burdockspur/operations/logthrottle.hpp"
#include "burdockspur/port/tablestore.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief The conditional write of the owner's row with which a host claims the ownership.
struct ClaimAttempt {
    std::uint64_t m_expectedVersion = 0; ///< version of the owner's row that the write requires
    FleetOwnerRow m_row; ///< row to write
    FormerOwner m_former; ///< what the present row tells of the leases of its owner
};

/// @brief Decides when this host claims the ownership of the fleet.
///
/// A claim is safe at any time because its write is conditional; this class only avoids replacing a live owner. It measures by
/// this host's steady clock how long the version of the owner's row has not changed. The measurement restarts after an outage of the
/// store, because an owner cannot write during one.
///
/// Strong hosts claim first: a host that is much weaker than the best recently known capacity waits longer.
class OwnershipClaim
{
public:
    /// @param host name of this host
    /// @param incarnation distinguishes restarts of this host
    /// @param ownerTimeout time without a commit after which an owner is considered dead
    /// @param capacity capacity of this host
    OwnershipClaim(std::string_view host, std::string_view incarnation, Milliseconds ownerTimeout, const HostCapacity &capacity);

    /// @brief Processes the owner's row that was read.
    /// @param row the row; nothing when it is absent
    /// @param sentAt time at which the read was sent
    /// @param now time at which the read was answered
    /// @returns the claim to write now, if one is due
    [[nodiscard]] auto observe(const std::optional<TableRow> &row, TimePoint sentAt, TimePoint now) -> std::optional<ClaimAttempt>;

    /// @brief Records that the store did not answer a read of the row.
    auto observeUnreachable() noexcept -> void;

    /// @brief Records that the last claim took effect and that its answer arrived.
    auto recordClaimConfirmed() noexcept -> void
    {
        m_unansweredEpoch = 0;
    }

    /// @brief Suspends claims for a while after this host has released the ownership, so that other hosts claim first.
    auto backOff(TimePoint now) noexcept -> void;

    /// @brief The owner's row as last read.
    [[nodiscard]] auto ownerRow() const noexcept -> const FleetOwnerRow &
    {
        return m_owner;
    }

    /// @brief The counts of waiting jobs in the row; nothing while their age is not known.
    ///
    /// The row was written after the last read that returned another version. The counts are therefore at most as old as that read
    /// plus the age stored in the row. The age of a row is unknown until this host has read two versions of it.
    [[nodiscard]] auto waitingJobs() const -> std::optional<WaitingJobs>;

private:
    [[nodiscard]] auto formerOwner(TimePoint now) const -> FormerOwner;
    /// @brief Time for which the last read row must stay unchanged before this host claims it.
    [[nodiscard]] auto requiredWait() const noexcept -> Milliseconds;

    /// @brief True when the row was written by a claim of this process whose answer was lost.
    [[nodiscard]] auto isAnswerLost() const noexcept -> bool
    {
        return m_unansweredEpoch != 0 && m_owner.m_epoch == m_unansweredEpoch && m_owner.m_host == m_host && m_owner.m_incarnation == m_incarnation;
    }

    std::string m_host;
    std::string m_incarnation;
    Milliseconds m_ownerTimeout;
    HostCapacity m_capacity;
    Epoch m_unansweredEpoch = 0; ///< epoch of the last claim while its answer is pending or lost; otherwise 0
    TimePoint m_backOffUntil; ///< no claims before this time
    std::uint64_t m_version = 0; ///< version of the row as last read; 0 when it was absent
    std::optional<TimePoint> m_unchangedSince; ///< first read of this version; nothing after a read without an answer
    std::optional<TimePoint> m_writtenBefore; ///< when the answer to the first read of this version arrived
    std::optional<TimePoint> m_lastReadAt; ///< time at which the last answered read was sent
    std::optional<TimePoint> m_writtenAfter; ///< earliest time at which the current row can have been written
    FleetOwnerRow m_owner;
    LogThrottle m_corruptRowLog;
};
}
