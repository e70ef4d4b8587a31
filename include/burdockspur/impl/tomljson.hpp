#pragma once

#include "burdockspur/core/error.hpp"

#include <QJsonObject>

#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Converts a TOML document to JSON; dates and times become texts.
/// @param file name for messages
/// @param text content of the document
/// @returns the object, or ErrorCode::BadSettings with a message that names the file and the line
[[nodiscard]] auto jsonFromToml(std::string_view file, std::string_view text) -> Result<QJsonObject>;

/// @brief Converts a JSON object to a TOML document; null values are left out.
[[nodiscard]] auto tomlFromJson(const QJsonObject &object) -> std::string;
}
