#pragma once

#include "burdockspur/contract/configuration.hpp"
#include "burdockspur/core/error.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief The configuration as JSON text, with the ids of the changes that led to it.
///
/// The table row has the member `changes` in addition, which operators neither write nor see, and is
/// compressed: every daemon reads it each second, and control may use 7 KB/s of a daemon.
///
/// @code
/// {"shards": 16, "preset_in_force": "ordinary",
///  "presets": [{"name": "ordinary", "tail_weight": 1, "batch_weight": 1, "eviction_weight": 1, "accept_batch": true}],
///  "services": [{"name": "routes", "cpu_millis": 500, "memory_mb": 256, "accelerators": 0, "latency_target_ms": 50, "objective_percent": 99.9}],
///  "teams": [{"team": "renders", "cpu_millis": 64000, "memory_mb": 100000, "accelerators": 4, "weight": 1}]}
/// @endcode
struct ConfigurationDocument {
    Configuration m_configuration;
    std::vector<std::string> m_changes; ///< newest first

    /// @brief Parses and validates a text.
    /// @param text JSON of at most 256 KiB, or the bytes of a row
    /// @param version version of the row; 0 for a document that is not yet stored
    /// @returns the document, or ErrorCode::BadRequest with one line `path: found ..., expected ...` for each error
    [[nodiscard]] static auto parse(std::string_view text, ConfigVersion version) -> Result<ConfigurationDocument>;

    /// @brief Text for operators, without the ids of the changes; the version is not part of it.
    [[nodiscard]] static auto textOf(const Configuration &configuration) -> std::string;

    /// @brief Bytes of the table row; parse() reads them too.
    [[nodiscard]] auto rowBytes() const -> std::string;
};
}
