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
/// @brief Decides when an owner hands over to a much stronger host, and knows the best capacity seen lately.
class HandOver
{
public:
    /// @param host name of this host
    /// @param capacity of this host
    HandOver(std::string_view host, const HostCapacity &capacity);

    /// @brief This host has become the owner.
    /// @param row that it wrote
    /// @param now when its claim was answered
    auto begin(const FleetOwnerRow &row, TimePoint now) -> void;

    /// @brief True when the candidate's row is to be read; then not again for a while.
    [[nodiscard]] auto isLookDue(TimePoint now) -> bool;

    /// @brief Takes the candidate's row as it was read.
    /// @param row nothing when it is absent
    /// @param now when the read was answered
    /// @returns the host to hand over to now, if there is one
    [[nodiscard]] auto observeCandidate(const std::optional<TableRow> &row, TimePoint now) -> std::optional<FleetCandidateRow>;

    /// @brief The best capacity of owners and candidates lately.
    [[nodiscard]] auto best(TimePoint now) const noexcept -> KnownCapacity;

private:
    std::string m_host;
    HostCapacity m_capacity;
    KnownCapacity m_best;
    TimePoint m_bestAt; ///< when m_best was known
    TimePoint m_beganAt;
    std::optional<TimePoint> m_lastLook;
    Epoch m_epoch = 0;
};
}
