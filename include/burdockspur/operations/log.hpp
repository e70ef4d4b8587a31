#pragma once

#include "burdockspur/core/error.hpp"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Severity of a log event.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// @brief One key=value pair of a log event.
struct LogField {
    LogField(std::string_view key, std::string_view value)
        : m_key(key)
        , m_value(value)
    {
    }

    LogField(std::string_view key, std::integral auto value)
        : m_key(key)
        , m_value(std::to_string(value))
    {
    }

    std::string_view m_key;
    std::string m_value;
};

/// @brief Sets up logging to standard error, one line an event.
/// @param program value of `program` in each line
/// @param host value of `host` in each line
/// @param level lowest level written: `debug`, `info`, `warning` or `error`
/// @returns ErrorCode::BadSettings for an unknown level
[[nodiscard]] auto configureLogging(std::string_view program, std::string_view host, std::string_view level) -> Result<void>;

/// @brief True for a level that configureLogging() accepts.
[[nodiscard]] auto isLogLevel(std::string_view name) noexcept -> bool;

/// @brief Writes one event; silent before configureLogging().
///
/// @code
/// logEvent(LogLevel::Info, "job_accepted", {{"job", job.m_id}, {"shard", shard}});
/// @endcode
/// @param level severity
/// @param event stable name in lower case with underscores
/// @param fields pairs; values with spaces, quotes or line breaks are quoted and escaped
auto logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) -> void;

/// @brief Formats pairs as in a log line.
/// @returns e.g. `event=start job=j1 reason="no capacity"`
[[nodiscard]] auto formatLogLine(std::string_view event, std::initializer_list<LogField> fields) -> std::string;
}
