#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/operations/settingsfield.hpp"
#include "burdockspur/operations/settingsfile.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief The settings of one program, as rows with member pointers.
template<typename Settings>
using SettingsTable = std::span<const SettingsField<Settings>>;

/// @brief The rows with the defaults of a default-constructed Settings.
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

/// @brief Reads and validates a settings file.
///
/// @code
/// const auto settings = loadSettings<EntrySettings>("/etc/burdockspur/entry.toml", entryFields);
/// if (!settings) { std::cerr << settings.error().m_message << '\n'; return 2; }
/// @endcode
/// @param path TOML file
/// @param table rows
/// @returns the settings, or ErrorCode::BadSettings with one line for each error of the file
template<typename Settings>
[[nodiscard]] auto loadSettings(std::string_view path, SettingsTable<Settings> table) -> Result<Settings>
{
    const auto rows = describeSettings<Settings>(table);
    auto text = readTextFile(path);
    if (!text) {
        return std::unexpected(std::move(text.error()));
    }
    const auto values = parseSettings(path, *text, rows);
    if (!values) {
        return std::unexpected(values.error());
    }
    Settings settings{};
    for (std::size_t i = 0; i < table.size(); ++i) {
        if ((*values)[i]) {
            table[i].assign(settings, *(*values)[i]);
        }
    }
    return settings;
}
}
