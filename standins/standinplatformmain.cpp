#include "standins/platformduty.hpp"
#include "standins/standinprogram.hpp"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <array>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 0, "port");
DEFINE_double(writes_per_s, 400, "rows and objects written per second");
DEFINE_double(reads_per_s, 2'000, "read calls per second");
DEFINE_double(host_list_lag_ms, 0, "time until a change of the host list is visible");
DEFINE_uint64(seed, 1, "seed of random faults");

namespace
{
using namespace Burdockspur;
using namespace Burdockspur::Standins;

constexpr std::array<ProgramFlag, 6> flags{{
    {"address", "IP", "IP number to listen on (127.0.0.1)"},
    {"port", "PORT", "port; 0: a free one (0)"},
    {"writes_per_s", "N", "rows and objects written per second, table and objects together; 0: unlimited (400)"},
    {"reads_per_s", "N", "read calls per second, table and objects together; 0: unlimited (2000)"},
    {"host_list_lag_ms", "N", "time until a change of the host list is visible (0)"},
    {"seed", "N", "seed of the faults that strike at random (1)"},
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
    if (const auto code = parseStandinFlags(description, std::span(argv, static_cast<std::size_t>(argc)))) {
        return *code;
    }
    if (FLAGS_port > maxPort || FLAGS_writes_per_s < 0 || FLAGS_reads_per_s < 0 || FLAGS_host_list_lag_ms < 0) {
        std::cerr << "standin-platform: expected a port up to 65535, and rates and a lag not below 0\n";
        return exitBadUsage;
    }
    PlatformPlan plan;
    plan.m_address = FLAGS_address;
    plan.m_port = static_cast<std::uint16_t>(FLAGS_port);
    plan.m_seed = FLAGS_seed;
    plan.m_faults.m_writesPerSecond.m_value = FLAGS_writes_per_s;
    plan.m_faults.m_readsPerSecond.m_value = FLAGS_reads_per_s;
    plan.m_faults.m_hostListLagMs.m_value = FLAGS_host_list_lag_ms;
    const QCoreApplication application(argc, argv);
    ReadyRing ready(2);
    PlatformDuty duty(plan, ready);
    return runStandin(duty, ready);
}
