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

/// @brief Destination of log lines.
enum class LogOutput : std::uint8_t {
    StandardError,
    /// Written by a separate thread, so that a slow reader never blocks the program: lines are dropped and counted while the
    /// buffer is full.
    StandardOutput,
};

/// @brief Sets up logging with one line for each event.
/// @param program value of `program` in each line
/// @param host value of `host` in each line
/// @param level lowest level written: `debug`, `info`, `warning` or `error`
/// @param output destination of the lines
/// @returns ErrorCode::BadSettings for an unknown level
[[nodiscard]] auto configureLogging(std::string_view program, std::string_view host, std::string_view level, LogOutput output = LogOutput::StandardError)
    -> Result<void>;

/// @brief Limits the number of lines per second below the warning level; 0 for no limit.
///
/// Suppressed lines are counted; an event `log_suppressed` reports their number before the first line of a later second.
auto limitLogVolume(std::uint32_t linesPerSecond) noexcept -> void;

/// @brief True for a level that configureLogging() accepts.
[[nodiscard]] auto isLogLevel(std::string_view name) noexcept -> bool;

/// @brief Writes one event; does nothing before configureLogging().
///
/// @code
/// logEvent(LogLevel::Info, "job_accepted", {{"job", job.m_id}, {"shard", shard}});
/// @endcode
/// @param level severity
/// @param event stable name in lower case with underscores
/// @param fields key-value pairs; values with spaces, quotes or line breaks are quoted and escaped
auto logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) -> void;

/// @brief Formats an event and its pairs as in a log line.
/// @returns e.g. `event=start job=j1 reason="no capacity"`
[[nodiscard]] auto formatLogLine(std::string_view event, std::initializer_list<LogField> fields) -> std::string;
}
