#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/operations/settingsfield.hpp"
#include "burdockspur/operations/settingsfile.hpp"

#include <algorithm>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief All settings of one program, as rows with member pointers.
template<typename Settings>
using SettingsTable = std::span<const SettingsField<Settings>>;

/// @brief A rule that a kind and a range cannot express, e.g. over several settings or the allowed words of a text.
///
/// @code
/// constexpr std::array<SettingsCheck<SchedulerSettings>, 1> checks{{
///     {"shard.owner_lease_ms", [](const SchedulerSettings &s) { return s.m_ownerLease < s.m_takeover; }, "less than shard.takeover_ms"},
/// }};
/// @endcode
template<typename Settings>
struct SettingsCheck {
    std::string_view m_key; ///< the setting that an operator has to change
    bool (*m_holds)(const Settings &); ///< true for valid settings
    std::string_view m_expected; ///< end of the message `KEY: expected ...`
};

/// @brief The rows of a table with the defaults of a default-constructed Settings.
template<typename Settings>
[[nodiscard]] auto describeSettings(SettingsTable<Settings> table) -> std::vector<SettingDescription>
{
    const Settings defaults{};
    std::vector<SettingDescription> rows;
    rows.reserve(table.size());
    for (const auto &field : table) {
        rows.push_back(field.describe(defaults));
    }
    return rows;
}

/// @brief Error text with one line for each check that does not hold; empty when all hold.
template<typename Settings>
[[nodiscard]] auto failedChecks(std::string_view path,
                                const Settings &settings,
                                SettingsTable<Settings> table,
                                const SettingValues &values,
                                std::span<const SettingsCheck<Settings>> checks) -> std::string
{
    const auto rows = describeSettings<Settings>(table);
    std::string lines;
    for (const auto &check : checks) {
        if (check.m_holds(settings)) {
            continue;
        }
        lines.append(lines.empty() ? "" : "\n").append(path).append(":");
        const auto row = std::ranges::find(rows, check.m_key, &SettingDescription::m_key);
        if (row != rows.end() && values[static_cast<std::size_t>(row - rows.begin())]) {
            lines.append(std::to_string(values[static_cast<std::size_t>(row - rows.begin())]->m_line)).append(":");
        }
        lines.append(" ").append(check.m_key).append(": expected ").append(check.m_expected);
    }
    return lines;
}

/// @brief Reads and validates a settings file.
///
/// @code
/// const auto settings = loadSettings<EntrySettings>("/etc/burdockspur/entry.toml", entryFields);
/// if (!settings) { std::cerr << settings.error().m_message << '\n'; return 2; }
/// @endcode
/// @param path TOML file
/// @param table the settings that the file may have
/// @param checks rules, which are checked only when each value is valid by itself
/// @returns the settings, or ErrorCode::BadSettings with one line for each error of the file
template<typename Settings>
[[nodiscard]] auto loadSettings(std::string_view path, SettingsTable<Settings> table, std::span<const SettingsCheck<Settings>> checks = {}) -> Result<Settings>
{
    auto text = readTextFile(path);
    if (!text) {
        return std::unexpected(std::move(text.error()));
    }
    const auto values = parseSettings(path, *text, describeSettings<Settings>(table));
    if (!values) {
        return std::unexpected(values.error());
    }
    Settings settings{};
    for (std::size_t i = 0; i < table.size(); ++i) {
        if ((*values)[i]) {
            table[i].assign(settings, (*values)[i]->m_value);
        }
    }
    auto failed = failedChecks<Settings>(path, settings, table, *values, checks);
    if (!failed.empty()) {
        return failure(ErrorCode::BadSettings, std::move(failed));
    }
    return settings;
}
}
