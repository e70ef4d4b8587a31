#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/fleet/hostcapacity.hpp"

#include <string>
#include <string_view>

namespace Burdockspur
{
/// Key of the row in which a strong host offers to replace a weak owner.
inline constexpr std::string_view fleetCandidateKey = "owner/fleet/candidate";

/// @brief The offer of a host to replace the owner.
struct FleetCandidateRow {
    std::string m_host;
    std::string m_incarnation; ///< distinguishes restarts of a host
    HostCapacity m_capacity;
    Epoch m_epoch = 0; ///< epoch of the owner to be replaced

    [[nodiscard]] auto operator==(const FleetCandidateRow &) const -> bool = default;
};

/// @brief Encodes the value of a row as JSON.
[[nodiscard]] auto encodeRow(const FleetCandidateRow &row) -> std::string;

/// @brief Decodes the value of a candidate's row.
/// @returns ErrorCode::AnswerCorrupt when the value is not a valid row
[[nodiscard]] auto decodeFleetCandidateRow(std::string_view value) -> Result<FleetCandidateRow>;
}
