#include "burdockspur/operations/log.hpp"

#include "burdockspur/core/clock.hpp"
#include "burdockspur/operations/logwriter.hpp"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <atomic>

#include <unistd.h>

namespace Burdockspur
{
namespace
{
struct LevelEntry {
    LogLevel m_level;
    std::string_view m_name;
    log4cxx::LevelPtr (*m_native)();
};

constexpr std::array<LevelEntry, 4> levelTable{{
    {LogLevel::Debug, "debug", &log4cxx::Level::getDebug},
    {LogLevel::Info, "info", &log4cxx::Level::getInfo},
    {LogLevel::Warning, "warning", &log4cxx::Level::getWarn},
    {LogLevel::Error, "error", &log4cxx::Level::getError},
}};

std::atomic<bool> configured{false};

/// @brief Passes formatted lines to the thread that writes them.
class LogWriterAppender final : public log4cxx::AppenderSkeleton
{
public:
    explicit LogWriterAppender(const log4cxx::LayoutPtr &layout)
        : m_writer(STDOUT_FILENO)
    {
        setLayout(layout);
        m_writer.start();
    }

    auto close() -> void override
    {
        m_writer.stop();
    }

    [[nodiscard]] auto requiresLayout() const -> bool override
    {
        return true;
    }

protected:
    auto append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) -> void override
    {
        log4cxx::LogString line;
        getLayout()->format(line, event, pool);
        m_writer.add(std::move(line));
    }

private:
    LogWriter m_writer;
};

std::atomic<std::uint32_t> volumeLimit{0}; ///< lines per second below the warning level; 0: no limit
std::atomic<std::int64_t> volumeSecond{0}; ///< current second of the clock
std::atomic<std::uint32_t> volumeCount{0}; ///< lines of the current second below the warning level
std::atomic<std::uint32_t> volumeSuppressed{0}; ///< lines suppressed since the last log_suppressed event

[[nodiscard]] auto logger() -> const log4cxx::LoggerPtr &
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("burdockspur");
    return instance;
}

[[nodiscard]] auto needsQuotes(std::string_view value) noexcept -> bool
{
    return value.empty() || std::ranges::any_of(value, [](char character) {
               const auto byte = static_cast<unsigned char>(character);
               return byte <= ' ' || character == '"' || character == '=' || character == '\\' || byte == 0x7F;
           });
}

auto appendEscaped(std::string &line, char character) -> void
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
        line += '\\';
        line += character;
    } else if (character == '\n') {
        line += "\\n";
    } else if (byte < ' ' || byte == 0x7F) {
        line += "\\x";
        line += digits[byte >> 4U];
        line += digits[byte & 0xFU];
    } else {
        line += character;
    }
}

auto appendPair(std::string &line, std::string_view key, std::string_view value) -> void
{
    if (!line.empty()) {
        line += ' ';
    }
    line.append(key).append("=");
    if (!needsQuotes(value)) {
        line.append(value);
        return;
    }
    line += '"';
    for (const char character : value) {
        appendEscaped(line, character);
    }
    line += '"';
}
}

auto limitLogVolume(std::uint32_t linesPerSecond) noexcept -> void
{
    volumeLimit = linesPerSecond;
}

auto configureLogging(std::string_view program, std::string_view host, std::string_view level, LogOutput output) -> Result<void>
{
    const auto *const entry = std::ranges::find(levelTable, level, &LevelEntry::m_name);
    if (entry == levelTable.end()) {
        return failure(ErrorCode::BadSettings, "unknown log level '" + std::string(level) + "', expected debug, info, warning or error");
    }
    std::string prefix;
    appendPair(prefix, "program", program);
    appendPair(prefix, "host", host);
    // log4cxx copies the quotes of a date format literally, so the format is given in two parts. It has no lower-case form
    // of a level, so logEvent() writes the level.
    std::string pattern = "ts=%d{yyyy-MM-dd}{UTC}T%d{HH:mm:ss.SSS}{UTC}Z ";
    // A percent sign would start a conversion in the pattern.
    std::ranges::replace(prefix, '%', '_');
    pattern += prefix + " %m%n";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    log4cxx::AppenderPtr appender;
    if (output == LogOutput::StandardOutput) {
        appender = std::make_shared<LogWriterAppender>(layout);
    } else {
        appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    }
    log4cxx::Logger::getRootLogger()->removeAllAppenders();
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(entry->m_native());
    configured = true;
    return {};
}

auto isLogLevel(std::string_view name) noexcept -> bool
{
    return std::ranges::find(levelTable, name, &LevelEntry::m_name) != levelTable.end();
}

auto formatLogLine(std::string_view event, std::initializer_list<LogField> fields) -> std::string
{
    std::string line;
    appendPair(line, "event", event);
    for (const auto &field : fields) {
        appendPair(line, field.m_key, field.m_value);
    }
    return line;
}

namespace
{
/// @brief Counts a line against the limit of the current second.
/// @returns false for a line that must be suppressed
[[nodiscard]] auto admitLine(LogLevel level) -> bool
{
    const auto limit = volumeLimit.load();
    if (limit == 0 || level >= LogLevel::Warning) {
        return true;
    }
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(Clock::now().time_since_epoch()).count();
    if (volumeSecond.exchange(second) != second) {
        volumeCount = 0;
        if (const auto suppressed = volumeSuppressed.exchange(0); suppressed > 0) {
            logEvent(LogLevel::Warning, "log_suppressed", {{"lines", suppressed}});
        }
    }
    const bool admitted = volumeCount.fetch_add(1) < limit;
    volumeSuppressed += admitted ? 0 : 1;
    return admitted;
}
}

auto logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) -> void
{
    if (!configured) {
        return;
    }
    const auto native = levelTable[static_cast<std::size_t>(level)].m_native();
    if (logger()->isEnabledFor(native) && admitLine(level)) {
        std::string line;
        appendPair(line, "level", levelTable[static_cast<std::size_t>(level)].m_name);
        logger()->forcedLog(native, line + " " + formatLogLine(event, fields));
    }
}
}
