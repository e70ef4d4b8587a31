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
/// @brief A write that offers to relieve the owner.
struct CandidateAttempt {
    std::uint64_t m_expectedVersion = 0; ///< of the candidate's row
    FleetCandidateRow m_row; ///< to write
};

/// @brief Decides when this host offers to relieve a weak owner.
///
/// Only a much stronger host does, and only while it reaches the store steadily: an owner that gives way to a host that is cut
/// from the store costs the fleet more than a slow owner.
class OwnershipCandidate
{
public:
    /// @param host name of this host
    /// @param incarnation distinguishes restarts of this host
    /// @param capacity of this host
    OwnershipCandidate(std::string_view host, std::string_view incarnation, const HostCapacity &capacity);

    /// @brief Takes the owner's row as it was read.
    /// @param row with its defaults when it is absent
    /// @param now when the read was answered
    /// @returns true when the candidate's row is to be read now
    [[nodiscard]] auto observeOwner(const FleetOwnerRow &row, TimePoint now) -> bool;

    /// @brief The store did not answer.
    auto observeUnreachable() noexcept -> void;

    /// @brief Takes the candidate's row as it was read.
    /// @param row nothing when it is absent
    /// @param now when the read was answered
    /// @returns the offer to write now, if one is due
    [[nodiscard]] auto observeCandidate(const std::optional<TableRow> &row, TimePoint now) -> std::optional<CandidateAttempt>;

    /// @brief This host has just given up or lost the ownership, so it offers nothing for a while.
    auto holdBack(TimePoint now) noexcept -> void;

    /// @brief True while the owner may hand over to this host at any moment.
    [[nodiscard]] auto isExpecting(TimePoint now) const noexcept -> bool;

private:
    [[nodiscard]] auto isOurs(const FleetCandidateRow &row) const noexcept -> bool
    {
        return row.m_host == m_host && row.m_incarnation == m_incarnation;
    }

    std::string m_host;
    std::string m_incarnation;
    HostCapacity m_capacity;
    Epoch m_ownerEpoch = 0; ///< of the owner that could be relieved; 0 for none
    std::optional<TimePoint> m_answeringSince; ///< of the store
    std::optional<TimePoint> m_lastLook; ///< at the candidate's row
    TimePoint m_heldBackUntil; ///< no offer before
    std::uint64_t m_version = 0; ///< of the candidate's row
    std::optional<TimePoint> m_unchangedSince; ///< of the candidate's row
    std::optional<TimePoint> m_offeredAt;
    Epoch m_offeredEpoch = 0;
};
}
