#pragma once

#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief True when two texts are equal, ignoring the case of ASCII letters.
[[nodiscard]] auto equalsIgnoringCase(std::string_view left, std::string_view right) noexcept -> bool;

/// @brief True for a non-empty HTTP token, the syntax of methods and field names (RFC 9110, 5.6.2).
[[nodiscard]] auto isToken(std::string_view text) noexcept -> bool;

/// @brief True for a text without control characters except tabs; others, such as CR and LF, could inject header fields.
[[nodiscard]] auto isSafeValue(std::string_view text) noexcept -> bool;

/// @brief True for a field that only the client and server may write: Content-Length, Transfer-Encoding, Connection, Host.
[[nodiscard]] auto isFramingField(std::string_view name) noexcept -> bool;

/// @brief Standard reason phrase of a status code, or `Status` for an unlisted code.
[[nodiscard]] auto reasonPhrase(int status) noexcept -> std::string_view;

/// @brief Formats a text as a JSON string literal, with quotes.
[[nodiscard]] auto jsonQuoted(std::string_view text) -> std::string;
}
