#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/operations/settingsfield.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief A value of a file and where it stands.
struct SettingEntry {
    SettingValue m_value;
    std::size_t m_line = 1;
};

/// @brief Values of a file in the order of the table's rows; nothing for an optional key that is absent.
using SettingValues = std::vector<std::optional<SettingEntry>>;

/// @brief Validates TOML text against a table.
/// @param file name for messages
/// @param text content of the file
/// @param table rows
/// @returns the values, or ErrorCode::BadSettings with one line `file:line: key: ...` for each error
[[nodiscard]] auto parseSettings(std::string_view file, std::string_view text, std::span<const SettingDescription> table) -> Result<SettingValues>;

/// @brief Reads a whole file.
/// @param path file of at most 1 MiB
/// @returns its content, or ErrorCode::BadSettings
[[nodiscard]] auto readTextFile(std::string_view path) -> Result<std::string>;

/// @brief A TOML file with every key, its description and its default; required keys are commented out.
[[nodiscard]] auto defaultSettingsText(std::span<const SettingDescription> table) -> std::string;

/// @brief A Markdown table with one line for each key.
[[nodiscard]] auto settingsMarkdown(std::span<const SettingDescription> table) -> std::string;
}
