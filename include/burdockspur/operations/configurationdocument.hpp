#pragma once

#include "burdockspur/contract/configuration.hpp"
#include "burdockspur/core/error.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief The configuration with the ids of its latest changes, encoded as JSON text or as a table row.
///
/// The row has the additional member `changes`, which operators neither write nor see. The row is compressed because
/// every daemon reads it each second, and the control traffic of a daemon is limited to 7 KB/s.
///
/// @code
/// {"shards": 16, "preset_in_force": "ordinary",
///  "presets": [{"name": "ordinary", "tail_weight": 1, "batch_weight": 1, "eviction_weight": 1, "accept_batch": true}],
///  "services": [{"name": "routes", "cpu_millis": 500, "memory_mb": 256, "accelerators": 0, "latency_target_ms": 50, "objective_percent": 99.9}],
///  "teams": [{"team": "renders", "cpu_millis": 64000, "memory_mb": 100000, "accelerators": 4, "weight": 1}]}
/// @endcode
struct ConfigurationDocument {
    Configuration m_configuration;
    std::vector<std::string> m_changeIds; ///< newest first

    /// @brief Parses and validates a document.
    /// @param text JSON of at most 256 KiB, or the bytes of a table row
    /// @param version version of the row; 0 for a document that is not yet stored
    /// @returns the document, or ErrorCode::BadRequest with one line `path: found ..., expected ...` for each error
    [[nodiscard]] static auto parse(std::string_view text, ConfigVersion version) -> Result<ConfigurationDocument>;

    /// @brief JSON text for operators, without the ids of the changes and without the version.
    [[nodiscard]] static auto textOf(const Configuration &configuration) -> std::string;

    /// @brief Bytes of the table row, which parse() can read.
    [[nodiscard]] auto rowBytes() const -> std::string;
};
}
