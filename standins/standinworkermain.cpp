#include "standins/standinprogram.hpp"
#include "standins/workersduty.hpp"

#include "burdockspur/core/processsignals.hpp"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <array>
#include <iostream>

DEFINE_uint32(workers, 1, "number of workers");
DEFINE_uint32(first_port, 0, "port of the first worker");
DEFINE_uint32(control_port, 0, "port for control calls");
DEFINE_string(name_prefix, "worker-", "start of the workers' names");
DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int64(cpu_millis, 16'000, "processors of a worker in thousandths of a core");
DEFINE_int64(memory_mb, 60'000, "memory of a worker in megabytes");
DEFINE_int64(accelerators, 0, "accelerators of a worker");
DEFINE_uint32(slots, 8, "requests that a worker runs at once");
DEFINE_uint32(connections, 64, "connections that a worker accepts");
DEFINE_uint64(service_time_us, 0, "default service time of requests in microseconds");
DEFINE_uint64(seed, 1, "seed of the random decisions of faults");

namespace
{
using namespace Burdockspur;
using namespace Burdockspur::Standins;

constexpr std::array<ProgramFlag, 12> flags{{
    {"workers", "N", "number of workers, 1 to 1000 (1)"},
    {"first_port", "PORT", "port of the first worker, the others follow; 0: free ports (0)"},
    {"control_port", "PORT", "port for control calls; 0: a free one (0)"},
    {"name_prefix", "TEXT", "start of the workers' names, followed by a number from 0 (worker-)"},
    {"address", "IP", "IP address to listen on (127.0.0.1)"},
    {"cpu_millis", "N", "processors of a worker in thousandths of a core (16000)"},
    {"memory_mb", "N", "memory of a worker in megabytes (60000)"},
    {"accelerators", "N", "accelerators of a worker (0)"},
    {"slots", "N", "requests that a worker runs at once (8)"},
    {"connections", "N", "connections that a worker accepts (64)"},
    {"service_time_us", "N", "service time of requests without Burdockspur-Service-Time-Us, in microseconds (0)"},
    {"seed", "N", "seed of the random decisions of faults (1)"},
}};

constexpr ProgramDescription description{"standin-worker",
                                         "[flags]",
                                         "Serves stand-ins for workers. Prints worker=<name> port=<port> for each one and control port=<port>,\n"
                                         "then runs until SIGTERM.",
                                         flags};

constexpr std::uint32_t maxWorkers = 1'000;
constexpr std::uint32_t maxPort = 65'535;

[[nodiscard]] auto optionsFromFlags() -> WorkersOptions
{
    WorkersOptions options;
    options.m_spec.m_name = FLAGS_name_prefix;
    options.m_spec.m_capacity = {FLAGS_cpu_millis, FLAGS_memory_mb, FLAGS_accelerators};
    options.m_spec.m_slots = FLAGS_slots;
    options.m_spec.m_connections = FLAGS_connections;
    options.m_spec.m_serviceTime = std::chrono::microseconds(FLAGS_service_time_us);
    options.m_workers = FLAGS_workers;
    options.m_address = FLAGS_address;
    options.m_firstPort = static_cast<std::uint16_t>(FLAGS_first_port);
    options.m_controlPort = static_cast<std::uint16_t>(FLAGS_control_port);
    options.m_seed = FLAGS_seed;
    return options;
}
}

auto main(int argc, char **argv) -> int
{
    const ProcessSignals signals;
    if (const auto code = parseStandinFlags(description, std::span(argv, static_cast<std::size_t>(argc)))) {
        return *code;
    }
    const auto options = optionsFromFlags();
    const bool hasPorts = FLAGS_control_port <= maxPort && FLAGS_first_port + options.m_workers <= maxPort + 1;
    if (options.m_workers < 1 || options.m_workers > maxWorkers || !hasPorts || !options.m_spec.m_capacity.isValid()) {
        std::cerr << "standin-worker: expected 1 to 1000 workers, ports up to 65535 and a capacity not below 0\n";
        return exitBadUsage;
    }
    const QCoreApplication application(argc, argv);
    ReadyRing ready(options.m_workers + 2);
    WorkersDuty duty(options, ready);
    return runStandin(signals, duty, ready);
}
