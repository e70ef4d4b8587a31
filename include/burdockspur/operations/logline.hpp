#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Burdockspur
{
/// @brief One line that logEvent() has written, read back.
class LogLine
{
public:
    /// @brief Reads a line; what stands before its first `ts=` is left out, e.g. the prefix of a log collector.
    /// @returns nothing for a line without a time or an event
    [[nodiscard]] static auto parse(std::string_view text) -> std::optional<LogLine>;

    /// @brief Value of a field without its quotes; empty when the line does not have it.
    [[nodiscard]] auto value(std::string_view key) const noexcept -> std::string_view;

    /// @brief UTC in milliseconds, as text whose order is that of time.
    [[nodiscard]] auto time() const noexcept -> std::string_view
    {
        return value("ts");
    }

    [[nodiscard]] auto event() const noexcept -> std::string_view
    {
        return value("event");
    }

    /// @brief The line as it was written, without a prefix.
    [[nodiscard]] auto text() const noexcept -> std::string_view
    {
        return m_text;
    }

private:
    std::string m_text;
    std::vector<std::pair<std::string, std::string>> m_fields;
};
}
