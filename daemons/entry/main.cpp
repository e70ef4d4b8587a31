#include "burdockspur/core/processsignals.hpp"
#include "burdockspur/host/entrydaemon.hpp"
#include "burdockspur/host/entrysettings.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/operations/programstart.hpp"
#include "burdockspur/operations/signalwatcher.hpp"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <QTimer>

#include <iostream>
#include <span>

using namespace Burdockspur;

namespace
{
constexpr int exitCannotListen = 1;
constexpr int exitDrainTimeout = 3;

constexpr ProgramDescription description{
    "burdockspur-entry",
    "--settings FILE",
    "Entry daemon: takes service requests and job commands of callers over HTTP,\nand forwards requests to workers.\n"
    "Exit codes: 0 after a complete drain, 1 a port cannot be opened, 2 wrong usage or settings,\n3 drain.timeout_ms passed with requests in progress.",
    daemonFlags,
};

/// @brief Runs the daemon until it has drained.
[[nodiscard]] auto serve(EntryDaemon &daemon, const EntrySettings &settings) -> int
{
    const auto ports = daemon.start();
    if (!ports) {
        logEvent(LogLevel::Error, "start_failed", {{"code", errorName(ports.error().m_code)}, {"reason", ports.error().m_message}});
        return exitCannotListen;
    }
    QTimer drainLimit;
    drainLimit.setSingleShot(true);
    QObject::connect(&drainLimit, &QTimer::timeout, &drainLimit, [] {
        logEvent(LogLevel::Error, "drain_timeout", {});
        QCoreApplication::exit(exitDrainTimeout);
    });
    QSocketNotifier drainBegun(daemon.drainBegunDescriptor(), QSocketNotifier::Read);
    QObject::connect(&drainBegun, &QSocketNotifier::activated, &drainBegun, [&] {
        drainBegun.setEnabled(false);
        logEvent(LogLevel::Info, "drain_begun", {{"timeout_ms", settings.m_drainTimeout.count()}});
        drainLimit.start(settings.m_drainTimeout);
    });
    QSocketNotifier drained(daemon.drainedDescriptor(), QSocketNotifier::Read);
    QObject::connect(&drained, &QSocketNotifier::activated, &drained, [&drained] {
        drained.setEnabled(false);
        QCoreApplication::exit(0);
    });
    std::cout << "ready callers_port=" << ports->m_callers << " admin_port=" << ports->m_admin << std::endl;
    logEvent(LogLevel::Info, "ready", {{"callers_port", ports->m_callers}, {"admin_port", ports->m_admin}});
    return QCoreApplication::exec();
}
}

auto main(int argc, char **argv) -> int
{
    const ProcessSignals signals;
    const auto settings = startProgram<EntrySettings>(
        signals, description, entrySettingsTable(), std::span(argv, static_cast<std::size_t>(argc)), std::cout, std::cerr, entrySettingsChecks());
    if (!settings) {
        return settings.error();
    }
    if (const auto logging = configureLogging(description.m_name, settings->m_hostName, settings->m_logLevel); !logging) {
        std::cerr << "log.level: " << logging.error().m_message << '\n';
        return exitBadUsage;
    }
    const QCoreApplication application(argc, argv);
    EntryDaemon daemon(*settings);
    const SignalWatcher watcher(signals, [&daemon](int) {
        daemon.beginDrain();
    });
    const int code = serve(daemon, *settings);
    logEvent(LogLevel::Info, "ended", {{"code", code}});
    return code;
}
