#include "worlds.hpp"

#include "burdockspur/core/randomsource.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <map>
#include <sstream>
#include <string>

DEFINE_string(world, "shard", "kind of random run: shard, request, fault or claim");
DEFINE_uint64(seed, 1, "seed from which the seeds of all runs are derived");
DEFINE_uint64(seconds, 60, "time in seconds after which no further run begins");
DEFINE_uint64(run_seed, 0, "runs only the run with this seed");

namespace
{
using namespace Burdockspur;
using namespace Burdockspur::Testing;

std::array<char, 256> currentRun{}; ///< report of the current run, printed by the handler of SIGABRT

/// @brief Prints the run that a broken invariant aborted; the process then ends by SIGABRT.
auto onAbort(int /*signal*/) -> void
{
    std::fputs(currentRun.data(), stdout);
    std::fflush(stdout);
}

[[nodiscard]] auto commandOf(std::uint64_t seed) -> std::string
{
    return "burdockspur-soak --world=" + FLAGS_world + " --run_seed=" + std::to_string(seed);
}

/// @brief Totals over the runs of one world.
struct SoakTotal {
    std::size_t m_runs = 0;
    std::size_t m_steps = 0;
    std::size_t m_injectedFaults = 0;
    std::size_t m_failedRuns = 0;
    std::map<std::string, std::size_t> m_kinds; ///< number of violations of each kind
};

/// @brief Removes the names of faults, jobs and requests from a violation, so that the same failure in several runs counts as one kind.
[[nodiscard]] auto kindOf(std::string_view violation) -> std::string
{
    const auto prefix = violation.find(": ");
    std::istringstream words(std::string(violation.substr(prefix == std::string_view::npos ? 0 : prefix + 2)));
    std::string kind;
    for (std::string word; words >> word;) {
        const bool isInvariant = word.front() == 'I';
        const bool isName = !isInvariant && word.find_first_of("0123456789") != std::string::npos;
        kind += isName ? "" : (kind.empty() ? "" : " ") + word;
    }
    return kind;
}

auto runOnce(const WorldRow &world, std::uint64_t seed, SoakTotal &total) -> void
{
    std::snprintf(currentRun.data(),
                  currentRun.size(),
                  "failure=invariant command=\"%s\" runs=%zu steps=%zu faults=%zu\n",
                  commandOf(seed).c_str(),
                  total.m_runs,
                  total.m_steps,
                  total.m_injectedFaults);
    const WorldRun run = world.m_run(seed, Guards());
    ++total.m_runs;
    total.m_steps += run.m_steps;
    total.m_injectedFaults += run.m_injectedFaults;
    if (run.m_violations.empty()) {
        return;
    }
    if (++total.m_failedRuns == 1) {
        std::cout << "first_failure command=\"" << commandOf(seed) << "\"" << std::endl;
    }
    for (const auto &violation : run.m_violations) {
        if (total.m_kinds[kindOf(violation)]++ == 0) {
            std::cout << "failure=\"" << violation << "\" command=\"" << commandOf(seed) << "\"" << std::endl;
        }
    }
}
}

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("Runs a simulated world with random seeds, and counts the events handled and the faults injected.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto *const world = std::ranges::find(worldRows, std::string_view(FLAGS_world), &WorldRow::m_name);
    if (world == worldRows.end()) {
        std::cerr << "unknown world '" << FLAGS_world << "', expected shard, request, fault or claim\n";
        return 2;
    }
    std::signal(SIGABRT, &onAbort);
    SoakTotal total;
    if (FLAGS_run_seed != 0) {
        runOnce(*world, FLAGS_run_seed, total);
    } else {
        RandomSource seeds(FLAGS_seed);
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(FLAGS_seconds);
        while (std::chrono::steady_clock::now() < end) {
            runOnce(*world, std::max<std::uint64_t>(1, seeds.next64()), total);
        }
    }
    for (const auto &[kind, count] : total.m_kinds) {
        std::cout << "violations=" << count << " kind=\"" << kind << "\"" << std::endl;
    }
    std::cout << "world=" << FLAGS_world << " runs=" << total.m_runs << " steps=" << total.m_steps << " faults=" << total.m_injectedFaults
              << " failed_runs=" << total.m_failedRuns << std::endl;
    return total.m_failedRuns == 0 ? 0 : 1;
}
