#include "burdockspur/operations/logwriter.hpp"

#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <thread>
#include <utility>
#include <vector>

#include <poll.h>
#include <unistd.h>

namespace Burdockspur
{
namespace
{
/// Lines that may wait: those of a second at the usual limit of the log's volume.
constexpr std::size_t maxWaitingLines = 2'048;
/// Time in which lines are gathered; also how long the last line of a killed process may be missing.
constexpr Milliseconds gatherTime{20};
constexpr std::chrono::hours idleWait{1};
/// A descriptor that does not block is tried again after this time at the latest.
constexpr int writablePollMs = 100;
/// A pipe takes a write of this size as a whole (PIPE_BUF), so that a reader gets whole lines.
constexpr std::size_t maxWriteBytes = 4'096;

/// @brief The first lines of a text that fit into one write; at least one line.
[[nodiscard]] auto firstWrite(std::string_view lines) noexcept -> std::string_view
{
    if (lines.size() <= maxWriteBytes) {
        return lines;
    }
    const auto end = lines.rfind('\n', maxWriteBytes - 1);
    return lines.substr(0, end == std::string_view::npos ? std::min(lines.find('\n'), lines.size() - 1) + 1 : end + 1);
}
}

LogWriter::LogWriter(int descriptor)
    : Duty("log")
    , m_descriptor(descriptor)
    , m_lines(maxWaitingLines)
{
}

LogWriter::~LogWriter()
{
    stop();
}

auto LogWriter::add(std::string &&line) -> void
{
    if (!m_lines.tryPush(std::move(line))) {
        ++m_dropped;
    }
}

auto LogWriter::requestStop() -> void
{
    m_lines.close();
}

auto LogWriter::run() -> void
{
    std::vector<std::string> lines;
    std::string text;
    for (bool isClosed = false; !isClosed;) {
        m_lines.takeUntil(Clock::now() + idleWait, lines);
        isClosed = m_lines.isClosed();
        if (!isClosed) {
            std::this_thread::sleep_for(gatherTime);
        }
        m_lines.drain(lines);
        for (const auto &line : lines) {
            text += line;
        }
        write(text);
        lines.clear();
        text.clear();
        if (const auto dropped = isClosed ? 0 : m_dropped.exchange(0); dropped > 0) {
            logEvent(LogLevel::Warning, "log_dropped", {{"lines", dropped}});
        }
    }
}

auto LogWriter::write(std::string_view lines) const -> void
{
    for (auto left = lines; !left.empty();) {
        const auto part = firstWrite(left);
        const auto count = ::write(m_descriptor, part.data(), part.size());
        if (count < 0 && errno == EAGAIN) {
            pollfd entry{m_descriptor, POLLOUT, 0};
            static_cast<void>(::poll(&entry, 1, writablePollMs));
        } else if (count < 0 && errno != EINTR) {
            // The reader is gone.
            return;
        }
        left.remove_prefix(count < 0 ? 0 : static_cast<std::size_t>(count));
    }
}
}
