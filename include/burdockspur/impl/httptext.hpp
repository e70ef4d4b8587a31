#pragma once

#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief True when two texts are equal apart from the case of ASCII letters.
[[nodiscard]] auto equalsIgnoringCase(std::string_view left, std::string_view right) noexcept -> bool;

/// @brief True for a non-empty HTTP token, as methods and field names are.
[[nodiscard]] auto isToken(std::string_view text) noexcept -> bool;

/// @brief True for a text without control characters, which could end a line of a header.
[[nodiscard]] auto isSafeValue(std::string_view text) noexcept -> bool;

/// @brief True for a field that the link layer writes itself: Content-Length, Transfer-Encoding, Connection, Host.
[[nodiscard]] auto isFramingField(std::string_view name) noexcept -> bool;

/// @brief Usual reason phrase of a status.
[[nodiscard]] auto reasonPhrase(int status) noexcept -> std::string_view;

/// @brief Text as a JSON string, with quotes.
[[nodiscard]] auto jsonQuoted(std::string_view text) -> std::string;
}
