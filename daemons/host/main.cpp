#include "burdockspur/core/processsignals.hpp"
#include "burdockspur/fleet/fleethost.hpp"
#include "burdockspur/fleet/fleetsettings.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/operations/programstart.hpp"
#include "burdockspur/operations/signalwatcher.hpp"
#include "platform/platform.hpp"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <QTimer>

#include <iostream>
#include <span>
#include <vector>

using namespace Burdockspur;

namespace
{
constexpr int exitCannotListen = 1;

constexpr ProgramDescription description{
    "burdockspur-host",
    "[--settings FILE]",
    "Entry host: takes jobs of callers over HTTP and, on one host at a time, schedules them on the workers.\n"
    "Without --settings, the file that the platform names in the environment is read.\n"
    "Exit codes: 0 after a complete drain, 1 a port cannot be opened, 2 wrong usage or settings.",
    daemonFlags,
};

/// @brief Adds the platform's settings file to a command line without arguments.
[[nodiscard]] auto argumentsWithSettings(std::span<char *const> arguments, std::string &flag) -> std::vector<char *>
{
    std::vector<char *> all(arguments.begin(), arguments.end());
    const auto path = Platform::settingsPath();
    if (all.size() <= 1 && !path.empty()) {
        flag = "--settings=" + path;
        all.push_back(flag.data());
    }
    return all;
}

/// @brief Reads the settings file again and logs whether a restart would accept it; a running process keeps its settings.
auto checkChangedSettings(std::span<char *const> arguments) -> void
{
    const auto path = arguments.size() > 1 ? std::string(settingsFlag()) : std::string();
    const auto settings = loadSettings<FleetSettings>(path, fleetSettingsTable(), fleetSettingsChecks());
    logEvent(settings ? LogLevel::Info : LogLevel::Error,
             "settings_checked",
             {{"file", path}, {"valid", settings.has_value()}, {"reason", settings ? std::string() : settings.error().m_message}});
}

/// @brief Begins the drain, again and again while a duty cannot take the order.
auto requestDrain(FleetHost &host) -> void
{
    constexpr int retryMs = 50;
    if (!host.beginDrain()) {
        QTimer::singleShot(retryMs, [&host] {
            requestDrain(host);
        });
    }
}

/// @brief Runs the host until it has drained.
[[nodiscard]] auto serve(FleetHost &host) -> int
{
    if (const auto started = host.start(); !started) {
        logEvent(LogLevel::Error, "start_failed", {{"code", errorName(started.error().m_code)}, {"reason", started.error().m_message}});
        return exitCannotListen;
    }
    QSocketNotifier drained(host.drainedDescriptor(), QSocketNotifier::Read);
    QObject::connect(&drained, &QSocketNotifier::activated, &drained, [&drained] {
        drained.setEnabled(false);
        QCoreApplication::exit(0);
    });
    return QCoreApplication::exec();
}
}

auto main(int argc, char **argv) -> int
{
    const ProcessSignals signals;
    std::string flag;
    const auto arguments = argumentsWithSettings(std::span(argv, static_cast<std::size_t>(argc)), flag);
    const auto settings = startProgram<FleetSettings>(signals, description, fleetSettingsTable(), arguments, std::cout, std::cerr, fleetSettingsChecks());
    if (!settings) {
        return settings.error();
    }
    if (const auto logging = configureLogging(description.m_name, settings->m_hostName, settings->m_logLevel, LogOutput::StandardOutput); !logging) {
        std::cerr << "log.level: " << logging.error().m_message << '\n';
        return exitBadUsage;
    }
    limitLogVolume(static_cast<std::uint32_t>(settings->m_logLines));
    const QCoreApplication application(argc, argv);
    const Platform::TablePlatform platform(settings->m_rowBytes);
    logEvent(LogLevel::Info, "started", {{"version", BURDOCKSPUR_VERSION}, {"zone", settings->m_zone}, {"callers", settings->m_callersEndpoint}});
    FleetHost host(*settings, platform);
    const SignalWatcher watcher(
        signals,
        [&host](int) {
            requestDrain(host);
        },
        [&arguments] {
            checkChangedSettings(arguments);
        });
    const int code = serve(host);
    logEvent(LogLevel::Info, "ended", {{"code", code}});
    return code;
}
