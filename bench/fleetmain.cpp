#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/fleet/fleethost.hpp"
#include "burdockspur/operations/log.hpp"
#include "platform/platform.hpp"
#include "standins/fleetstandin.hpp"

#include <QCoreApplication>
#include <QTcpServer>
#include <QTimer>

#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include <unistd.h>

DEFINE_uint32(workers, 300, "workers of the stand-in");
DEFINE_uint32(tasks, 40, "tasks of each job");
DEFINE_double(jobs, 20, "jobs submitted each second");
DEFINE_uint32(seconds, 10, "length of the measurement");

namespace
{
using namespace Burdockspur;

/// Spreads the ids of the jobs over the partitions of the store.
constexpr std::uint64_t firstDigit = 0x1000'0000'0000'0000ULL;

constexpr std::string_view configuration =
    R"({"version":3,"routes":[{"name":"queue","host":"127.0.0.1","prefix":"/jobs/","service":"pool","priority":0,"max_attempts":2,)"
    R"("stretch":2.0,"target_duration_ms":300}],"services":[{"name":"pool","enforces_capacity":false}],"limits":{"max_body_bytes":262144}})";

[[nodiscard]] auto freeEndpoint() -> HttpEndpoint
{
    QTcpServer server;
    server.listen(QHostAddress::LocalHost, 0);
    return {"127.0.0.1", server.serverPort()};
}

[[nodiscard]] auto textOf(const HttpEndpoint &endpoint) -> std::string
{
    return endpoint.m_address + ":" + std::to_string(endpoint.m_port);
}

/// @brief Processor time of each thread of this process in seconds, by the name of the thread.
[[nodiscard]] auto threadSeconds() -> std::map<std::string, double>
{
    constexpr int fieldsBeforeUserTime = 11;
    std::map<std::string, double> seconds;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/task")) {
        std::ifstream file(entry.path() / "stat");
        std::string line;
        std::getline(file, line);
        const auto begin = line.find('(');
        const auto end = line.rfind(')');
        std::istringstream fields(line.substr(end + 2));
        std::string skipped;
        for (int i = 0; i < fieldsBeforeUserTime; ++i) {
            fields >> skipped;
        }
        double user = 0;
        double system = 0;
        fields >> user >> system;
        seconds[line.substr(begin + 1, end - begin - 1)] += (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    }
    return seconds;
}

[[nodiscard]] auto startCount(const FleetStandin &platform) -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[task, starts] : platform.starts()) {
        count += static_cast<std::size_t>(starts);
    }
    return count;
}
}

/// @brief Measures what a start costs the threads of one host, with the platform's stand-in in the same process.
auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("measures the processor time of each thread of a host that owns a fleet");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const QCoreApplication application(argc, argv);
    if (!configureLogging("burdockspur-fleetload", "host-1", "info", LogOutput::StandardOutput)) {
        return 1;
    }
    FleetStandin platform(FLAGS_workers);
    platform.put("op", "", "config", configuration);
    FleetSettings settings;
    settings.m_hostName = "host-1";
    settings.m_zone = "zone-a";
    const auto callers = freeEndpoint();
    settings.m_callersEndpoint = textOf(callers);
    settings.m_readyEndpoint = textOf(freeEndpoint());
    settings.m_metricsEndpoint = textOf(freeEndpoint());
    settings.m_storeEndpoint = textOf({"127.0.0.1", platform.storePort()});
    limitLogVolume(static_cast<std::uint32_t>(settings.m_logLines));
    const Platform::TablePlatform adapter(settings.m_rowBytes);
    FleetHost host(settings, adapter);
    if (const auto started = host.start(); !started) {
        std::cerr << started.error().m_message << '\n';
        return 1;
    }
    HttpClient client{HttpClientLimits{}};
    std::uint64_t submitted = 0;
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, &timer, [&] {
        ++submitted;
        HttpRequest request;
        request.m_method = "POST";
        request.m_target = "/jobs/" + hexOf(firstDigit * (submitted % 16) + submitted);
        request.m_body = R"({"spec":"text","steps":[{"count":)" + std::to_string(FLAGS_tasks) + R"(,"cpu":500,"mem_mb":64,"estimate_ms":150}]})";
        client.call(callers, std::move(request), std::chrono::seconds(5), [](HttpReply &&) {});
    });
    // The owner has taken over and has asked every worker.
    constexpr std::chrono::seconds warmUp{5};
    std::map<std::string, double> before;
    std::size_t startsBefore = 0;
    QTimer::singleShot(warmUp, [&] {
        timer.start(Milliseconds(std::max<std::int64_t>(1, std::llround(1'000.0 / FLAGS_jobs))));
    });
    QTimer::singleShot(warmUp + std::chrono::seconds(2), [&] {
        before = threadSeconds();
        startsBefore = startCount(platform);
    });
    QTimer::singleShot(warmUp + std::chrono::seconds(2 + FLAGS_seconds), [] {
        QCoreApplication::quit();
    });
    QCoreApplication::exec();
    const auto starts = startCount(platform) - startsBefore;
    std::cerr << "starts a second: " << static_cast<double>(starts) / FLAGS_seconds << '\n';
    for (const auto &[name, seconds] : threadSeconds()) {
        std::cerr << name << ": " << (seconds - before[name]) / FLAGS_seconds << " processors, " << 1e6 * (seconds - before[name]) / static_cast<double>(starts)
                  << " us a start\n";
    }
    return 0;
}
