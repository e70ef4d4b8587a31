#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/fleetcandidaterow.hpp"
#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/port/tablestore.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief The conditional write of the candidate's row with which a host offers to replace the owner.
struct CandidateAttempt {
    std::uint64_t m_expectedVersion = 0; ///< version of the candidate's row that the write requires
    FleetCandidateRow m_row; ///< row to write
};

/// @brief Decides when this host offers to replace a weak owner.
///
/// A host offers only when it is much stronger than the owner and the store has answered it without interruption: a hand-over to a
/// host that cannot reach the store costs the fleet more than a slow owner.
class OwnershipCandidate
{
public:
    /// @param host name of this host
    /// @param incarnation distinguishes restarts of this host
    /// @param capacity capacity of this host
    OwnershipCandidate(std::string_view host, std::string_view incarnation, const HostCapacity &capacity);

    /// @brief Processes the owner's row that was read.
    /// @param row the row; with default values when it is absent
    /// @param now time at which the read was answered
    /// @returns true when the candidate's row is to be read now
    [[nodiscard]] auto observeOwner(const FleetOwnerRow &row, TimePoint now) -> bool;

    /// @brief Records that the store did not answer a read of the owner's row.
    auto observeUnreachable() noexcept -> void;

    /// @brief Processes the candidate's row that was read.
    /// @param row the row; nothing when it is absent
    /// @param now time at which the read was answered
    /// @returns the offer to write now, if one is due
    [[nodiscard]] auto observeCandidate(const std::optional<TableRow> &row, TimePoint now) -> std::optional<CandidateAttempt>;

    /// @brief Suspends offers for a while after this host has released or lost the ownership.
    auto backOff(TimePoint now) noexcept -> void;

    /// @brief True while an offer of this host to the current owner is valid, so that the owner may hand over at any moment.
    [[nodiscard]] auto isAwaitingHandOver(TimePoint now) const noexcept -> bool;

private:
    [[nodiscard]] auto isOwnOffer(const FleetCandidateRow &row) const noexcept -> bool
    {
        return row.m_host == m_host && row.m_incarnation == m_incarnation;
    }

    std::string m_host;
    std::string m_incarnation;
    HostCapacity m_capacity;
    Epoch m_ownerEpoch = 0; ///< epoch of the owner that this host could replace; 0 for none
    std::optional<TimePoint> m_storeAnsweringSince; ///< first answered read since the last one without an answer
    std::optional<TimePoint> m_lastCheckAt; ///< time of the last requested read of the candidate's row
    TimePoint m_backOffUntil; ///< no offers before this time
    std::uint64_t m_version = 0; ///< version of the candidate's row as last read; 0 when it was absent
    std::optional<TimePoint> m_unchangedSince; ///< first read of this version of the candidate's row
    std::optional<TimePoint> m_offeredAt; ///< time of the last offer
    Epoch m_offeredEpoch = 0; ///< epoch of the owner to which the last offer was made
};
}
