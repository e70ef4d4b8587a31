#include "burdockspur/core/processsignals.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/operations/programstart.hpp"
#include "burdockspur/operations/signalwatcher.hpp"
#include "burdockspur/shard/schedulerdaemon.hpp"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <QTimer>

#include <iostream>
#include <memory>
#include <span>

namespace
{
using namespace Burdockspur;

constexpr ProgramDescription description{
    "burdockspur-scheduler", "--settings FILE", "Owns shards of jobs: queue, placement, worker leases, journal and recovery.", daemonFlags};
constexpr int exitCannotListen = 1;

auto requestDrain(SchedulerDaemon &daemon) -> void
{
    constexpr int retryMs = 50;
    if (!daemon.beginDrain()) {
        QTimer::singleShot(retryMs, [&daemon] {
            requestDrain(daemon);
        });
    }
}
}

auto main(int argc, char **argv) -> int
{
    const ProcessSignals signals;
    const auto settings = startProgram<SchedulerSettings>(
        signals, description, schedulerFields(), std::span(argv, static_cast<std::size_t>(argc)), std::cout, std::cerr, schedulerChecks());
    if (!settings) {
        return settings.error();
    }
    if (const auto logging = configureLogging("burdockspur-scheduler", settings->m_host, settings->m_logLevel); !logging) {
        std::cerr << logging.error().m_message << '\n';
        return exitBadUsage;
    }
    const QCoreApplication application(argc, argv);
    std::unique_ptr<SchedulerDaemon> daemon;
    const SignalWatcher watcher(signals, [&daemon](int) {
        requestDrain(*daemon);
    });
    daemon = std::make_unique<SchedulerDaemon>(*settings);
    const auto ports = daemon->start();
    if (!ports) {
        std::cerr << ports.error().m_message << '\n';
        return exitCannotListen;
    }
    const QSocketNotifier drained(daemon->drainedDescriptor(), QSocketNotifier::Read);
    QObject::connect(&drained, &QSocketNotifier::activated, &application, &QCoreApplication::quit);
    std::cout << "ready frame_port=" << ports->m_frames << " admin_port=" << ports->m_admin << std::endl;
    return QCoreApplication::exec();
}
