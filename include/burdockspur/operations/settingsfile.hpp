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
/// @brief A value of a settings file and its position.
struct SettingEntry {
    SettingValue m_value;
    std::size_t m_line = 1; ///< line number in the file
};

/// @brief Values of a file in the order of the table's rows; empty for an optional key that is absent.
using SettingValues = std::vector<std::optional<SettingEntry>>;

/// @brief Parses TOML text and validates it against a settings table.
/// @param file name for messages
/// @param text content of the file
/// @param table the settings that the file may have
/// @returns the values, or ErrorCode::BadSettings with one line `file:line: key: ...` for each error
[[nodiscard]] auto parseSettings(std::string_view file, std::string_view text, std::span<const SettingDescription> table) -> Result<SettingValues>;

/// @brief Reads a whole file.
/// @param path path of a file of at most 1 MiB
/// @returns its content, or ErrorCode::BadSettings
[[nodiscard]] auto readTextFile(std::string_view path) -> Result<std::string>;

/// @brief A TOML file with every key, its description and its default; required keys are commented out.
[[nodiscard]] auto defaultSettingsText(std::span<const SettingDescription> table) -> std::string;

/// @brief A Markdown table with one row for each key.
[[nodiscard]] auto settingsMarkdown(std::span<const SettingDescription> table) -> std::string;
}
