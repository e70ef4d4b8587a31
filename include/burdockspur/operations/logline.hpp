#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Burdockspur
{
/// @brief One parsed log line that logEvent() has written.
class LogLine
{
public:
    /// @brief Parses a line; skips everything before its first `ts=`, e.g. the prefix of a log collector.
    /// @returns the line, or std::nullopt for a line without a time or an event
    [[nodiscard]] static auto parse(std::string_view text) -> std::optional<LogLine>;

    /// @brief Unquoted value of a field; empty when the line does not have the field.
    [[nodiscard]] auto value(std::string_view key) const noexcept -> std::string_view;

    /// @brief UTC time in milliseconds, as text that sorts by time.
    [[nodiscard]] auto time() const noexcept -> std::string_view
    {
        return value("ts");
    }

    [[nodiscard]] auto event() const noexcept -> std::string_view
    {
        return value("event");
    }

    /// @brief The line as it was written, without the prefix of a collector.
    [[nodiscard]] auto text() const noexcept -> std::string_view
    {
        return m_text;
    }

private:
    std::string m_text;
    std::vector<std::pair<std::string, std::string>> m_fields;
};
}
