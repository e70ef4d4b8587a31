#include "standins/standinprogram.hpp"

#include "burdockspur/core/processsignals.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/operations/signalwatcher.hpp"

#include <QCoreApplication>

#include <iostream>

namespace Burdockspur::Standins
{
namespace
{
/// @brief Waits until the ring is closed, then prints its lines.
/// @returns false when the duty reported an error
[[nodiscard]] auto printReady(ReadyRing &ready) -> bool
{
    constexpr auto waitPeriod = std::chrono::minutes(1);
    std::vector<Result<std::string>> lines;
    while (!ready.isClosed()) {
        ready.takeUntil(Clock::now() + waitPeriod, lines);
    }
    ready.drain(lines);
    bool succeeded = true;
    for (const auto &line : lines) {
        succeeded = succeeded && line;
        (line ? std::cout : std::cerr) << (line ? *line : line.error().m_message) << '\n';
    }
    std::cout.flush();
    return succeeded;
}
}

auto parseStandinFlags(const ProgramDescription &description, std::span<char *const> arguments) -> std::optional<int>
{
    const auto options = ProgramOptions::parse(description, arguments);
    if (!options) {
        std::cerr << description.m_name << ": " << options.error().m_message << '\n';
        return exitBadUsage;
    }
    if (options->has("help") || options->has("version")) {
        std::cout << (options->has("help") ? helpText(description) : versionText(description));
        return 0;
    }
    if (!options->positional().empty()) {
        std::cerr << description.m_name << ": unexpected argument '" << options->positional().front() << "', expected only flags\n";
        return exitBadUsage;
    }
    if (const auto logging = configureLogging(description.m_name, "standin", "warning"); !logging) {
        std::cerr << description.m_name << ": " << logging.error().m_message << '\n';
        return exitBadUsage;
    }
    return std::nullopt;
}

auto runStandin(const ProcessSignals &signals, Duty &duty, ReadyRing &ready) -> int
{
    const SignalWatcher watcher(signals, [](int) {
        QCoreApplication::quit();
    });
    duty.start();
    int code = 1;
    if (printReady(ready)) {
        code = QCoreApplication::exec();
    }
    duty.stop();
    return code;
}
}
