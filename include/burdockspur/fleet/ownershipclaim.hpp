#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/fleet/waitingjobs.hpp"
#include "burdockspur/port/tablestore.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief A write that takes the ownership.
struct ClaimAttempt {
    std::uint64_t m_expectedVersion = 0; ///< of the owner's row
    FleetOwnerRow m_row; ///< to write
};

/// @brief Decides when this host claims the ownership of the fleet.
///
/// The conditional write makes a claim safe at any time; this class only keeps a living owner from being replaced. It
/// compares versions of the owner's row by this host's steady clock, and counts silence only while the store answers:
/// an owner cannot write to a store that is down.
///
/// Which host wins follows from what the hosts can carry: one that is much weaker than the best capacity known lately waits until the
/// stronger ones have had their turn.
class OwnershipClaim
{
public:
    /// @param host name of this host
    /// @param incarnation distinguishes restarts of this host
    /// @param silence time without a commit after which an owner is taken for dead
    /// @param capacity of this host
    OwnershipClaim(std::string_view host, std::string_view incarnation, Milliseconds silence, const HostCapacity &capacity);

    /// @brief Takes the owner's row as it was read.
    /// @param row nothing when it is absent
    /// @param sentAt when the read was sent
    /// @param now when it was answered
    /// @returns the claim to write now, if one is due
    [[nodiscard]] auto observe(const std::optional<TableRow> &row, TimePoint sentAt, TimePoint now) -> std::optional<ClaimAttempt>;

    /// @brief The store did not answer.
    auto observeUnreachable() noexcept -> void;

    /// @brief The last claim took effect, and its answer arrived.
    auto noteTaken() noexcept -> void
    {
        m_unansweredEpoch = 0;
    }

    /// @brief This host has given the ownership up, so others claim first.
    auto holdBack(TimePoint now) noexcept -> void;

    /// @brief The row as last read.
    [[nodiscard]] auto ownerRow() const noexcept -> const FleetOwnerRow &
    {
        return m_owner;
    }

    /// @brief The counts of waiting jobs in the row; nothing while their age is not known.
    ///
    /// The row was written after the last read that saw another version, so the counts are at most as old as that read
    /// and the age that the row tells. A row that was never seen to change may be of any age.
    [[nodiscard]] auto waitingJobs() const -> std::optional<WaitingJobs>;

private:
    /// @brief How long the row as last read must be unchanged before this host claims it.
    [[nodiscard]] auto requiredWait() const noexcept -> Milliseconds;

    /// @brief True for a row that this process has written, and does not know of.
    [[nodiscard]] auto isAnswerLost() const noexcept -> bool
    {
        return m_unansweredEpoch != 0 && m_owner.m_epoch == m_unansweredEpoch && m_owner.m_host == m_host && m_owner.m_incarnation == m_incarnation;
    }

    std::string m_host;
    std::string m_incarnation;
    Milliseconds m_silence;
    HostCapacity m_capacity;
    Epoch m_unansweredEpoch = 0; ///< of the last claim while its answer is open or lost
    TimePoint m_heldBackUntil; ///< no claim before
    std::uint64_t m_version = 0;
    std::optional<TimePoint> m_unchangedSince; ///< while the store answers
    std::optional<TimePoint> m_lastReadAt; ///< when the last read with an answer was sent
    std::optional<TimePoint> m_writtenAfter; ///< the row as it is was written after this time
    FleetOwnerRow m_owner;
};
}
