#pragma once

#include "burdockspur/contract/configuration.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/error.hpp"
#include "burdockspur/operations/configurationdocument.hpp"
#include "burdockspur/port/tablestore.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Burdockspur
{
/// @brief Key of the table row with the configuration.
inline constexpr std::string_view configurationKey = "config";

/// @brief Replaces the configuration row by a compare-and-set write and determines its result.
///
/// It reads the row, makes the new document, and writes it on condition that the row still has the expected version.
/// After an unknown result it reads the row back: the row lists the ids of its latest changes, so a change that took
/// effect is recognised even after later changes. While the row still has the expected version, the same conditional
/// write is repeated: the first write may still arrive, and only one of the two can take effect.
class ConfigurationChange : public std::enable_shared_from_this<ConfigurationChange>
{
public:
    /// @brief Makes the new configuration from the current one, which is empty before the first change.
    using Edit = std::function<Result<Configuration>(const std::optional<Configuration> &)>;

    /// @brief Called with the new configuration, or with the reason why it is not in force.
    using DoneCallback = std::function<void(Result<Configuration> &&)>;

    /// @brief Limits of reading the row back after an unknown result.
    struct ReadBackLimits {
        int m_attempts = 10;
        Milliseconds m_pause{500}; ///< pause before each read
    };

    ConfigurationChange(
        TableStore &store, ConfigVersion expectedVersion, Edit edit, std::string id, const ReadBackLimits &readBackLimits, DoneCallback callback);

    /// @brief Starts the change; the callback runs exactly once, after this call has returned, unless the object is destroyed
    /// before.
    auto begin() -> void;

private:
    auto handleCurrentRows(Result<std::vector<TableRow>> &&rows) -> void;
    auto applyEdit(const std::optional<ConfigurationDocument> &current) -> void;
    auto write() -> void;
    auto handleCommitResult(CommitResult &&result) -> void;
    auto readBackLater() -> void;
    auto readBack() -> void;
    auto handleReadBackRows(Result<std::vector<TableRow>> &&rows) -> void;
    auto resolveOutcome(const std::optional<TableRow> &row) -> void;
    auto finish(Result<Configuration> &&result) -> void;
    [[nodiscard]] auto conflictError(ConfigVersion current) const -> std::unexpected<Error>;

    TableStore *m_store;
    ConfigVersion m_expectedVersion;
    Edit m_edit;
    std::string m_id;
    ReadBackLimits m_readBackLimits; ///< m_attempts counts down
    DoneCallback m_callback;
    ConfigurationDocument m_document;
    bool m_hasUnknownWrite = false; ///< a write may have taken effect or may still arrive
};
}
