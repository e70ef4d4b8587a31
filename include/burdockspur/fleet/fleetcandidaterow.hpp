#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/fleet/hostcapacity.hpp"

#include <string>
#include <string_view>

namespace Burdockspur
{
/// Key of the row in which a strong host offers to relieve a weak owner.
inline constexpr std::string_view fleetCandidateKey = "owner/fleet/candidate";

/// @brief A host that offers to relieve the owner.
struct FleetCandidateRow {
    std::string m_host;
    std::string m_incarnation; ///< distinguishes restarts of a host
    HostCapacity m_capacity;
    Epoch m_epoch = 0; ///< of the owner that is to be relieved

    [[nodiscard]] auto operator==(const FleetCandidateRow &) const -> bool = default;
};

/// @brief Encodes a row's value; the format is the product's own JSON.
[[nodiscard]] auto encodeRow(const FleetCandidateRow &row) -> std::string;

/// @brief Decodes a value; ErrorCode::AnswerCorrupt for bytes that are no such row.
[[nodiscard]] auto decodeFleetCandidateRow(std::string_view value) -> Result<FleetCandidateRow>;
}
