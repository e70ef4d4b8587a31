#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/fleetcandidaterow.hpp"
#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/fleet/knowncapacity.hpp"
#include "burdockspur/port/tablestore.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Decides when an owner hands over to a much stronger host, and keeps the best capacity recently known.
class HandOver
{
public:
    /// @param host name of this host
    /// @param capacity capacity of this host
    HandOver(std::string_view host, const HostCapacity &capacity);

    /// @brief Starts with a new ownership of this host.
    /// @param row the row that its claim wrote
    /// @param now time at which the claim was answered
    auto begin(const FleetOwnerRow &row, TimePoint now) -> void;

    /// @brief Whether the candidate's row is to be read now.
    ///
    /// A result of true starts the interval until the next check.
    [[nodiscard]] auto isCheckDue(TimePoint now) -> bool;

    /// @brief Processes the candidate's row that was read.
    /// @param row the row; nothing when it is absent
    /// @param now time at which the read was answered
    /// @returns the host to hand over to now, if there is one
    [[nodiscard]] auto observeCandidate(const std::optional<TableRow> &row, TimePoint now) -> std::optional<FleetCandidateRow>;

    /// @brief The best capacity of recent owners and candidates.
    [[nodiscard]] auto best(TimePoint now) const noexcept -> KnownCapacity;

private:
    std::string m_host;
    HostCapacity m_capacity;
    KnownCapacity m_best;
    TimePoint m_bestAt; ///< time to which the age in m_best refers
    TimePoint m_beganAt; ///< start of the ownership
    std::optional<TimePoint> m_lastCheckAt;
    Epoch m_epoch = 0; ///< epoch of the ownership
};
}
