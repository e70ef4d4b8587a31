#include "standins/platformduty.hpp"
#include "standins/standinprogram.hpp"

#include "burdockspur/core/processsignals.hpp"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <array>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "port to listen on");
DEFINE_double(writes_per_s, 400, "rows and objects written per second");
DEFINE_double(reads_per_s, 2'000, "read calls per second");
DEFINE_double(host_list_lag_ms, 0, "time in ms until a change of the host list is visible");
DEFINE_uint64(seed, 1, "seed of the random decisions of faults");

namespace
{
using namespace Burdockspur;
using namespace Burdockspur::Standins;

constexpr std::array<ProgramFlag, 6> flags{{
    {"address", "IP", "IP address to listen on (127.0.0.1)"},
    {"port", "PORT", "port to listen on; 0: a free one (0)"},
    {"writes_per_s", "N", "rows and objects written per second, table and objects together; 0: unlimited (400)"},
    {"reads_per_s", "N", "read calls per second, table and objects together; 0: unlimited (2000)"},
    {"host_list_lag_ms", "N", "time in ms until a change of the host list is visible (0)"},
    {"seed", "N", "seed of the random decisions of faults (1)"},
}};

constexpr ProgramDescription description{"standin-platform",
                                         "[flags]",
                                         "Serves stand-ins for the table service, the object store and the host list. Prints port=<port>,\n"
                                         "then runs until SIGTERM.",
                                         flags};

constexpr std::uint32_t maxPort = 65'535;
}

auto main(int argc, char **argv) -> int
{
    const ProcessSignals signals;
    if (const auto code = parseStandinFlags(description, std::span(argv, static_cast<std::size_t>(argc)))) {
        return *code;
    }
    if (FLAGS_port > maxPort || FLAGS_writes_per_s < 0 || FLAGS_reads_per_s < 0 || FLAGS_host_list_lag_ms < 0) {
        std::cerr << "standin-platform: expected a port up to 65535, and rates and a lag not below 0\n";
        return exitBadUsage;
    }
    PlatformOptions options;
    options.m_address = FLAGS_address;
    options.m_port = static_cast<std::uint16_t>(FLAGS_port);
    options.m_seed = FLAGS_seed;
    options.m_faults.m_writesPerSecond.m_value = FLAGS_writes_per_s;
    options.m_faults.m_readsPerSecond.m_value = FLAGS_reads_per_s;
    options.m_faults.m_hostListLagMs.m_value = FLAGS_host_list_lag_ms;
    const QCoreApplication application(argc, argv);
    ReadyRing ready(2);
    PlatformDuty duty(options, ready);
    return runStandin(signals, duty, ready);
}
