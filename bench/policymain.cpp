#include "policyplot.hpp"
#include "policysimulation.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <future>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(size, "", "simulate only this fleet: Trentside, Stjörnuhvel or target");
DEFINE_string(scenario, "", "simulate only this scenario");
DEFINE_string(policy, "", "simulate only this policy");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint32(seeds, 3, "number of seeds, each run in a thread of its own");
DEFINE_string(plots, "", "directory for SVG plots; none when empty");

namespace
{
using namespace Burdockspur::Bench;

constexpr std::array<std::string_view, 6> policies{"alone", "random", "leastloaded", "bestfit", "bestfitspread", "scored"};

[[nodiscard]] auto isSelected(std::string_view selection, std::string_view name) -> bool
{
    return selection.empty() || selection == name;
}

/// @brief Prints the mean over the seeds and half the range between the lowest and the highest value.
auto printCell(const std::vector<PolicyResult> &results, double (*valueOf)(const PolicyResult &), int digits) -> void
{
    double sum = 0.0;
    double lowest = valueOf(results.front());
    double highest = lowest;
    for (const auto &result : results) {
        const double value = valueOf(result);
        sum += value;
        lowest = std::min(lowest, value);
        highest = std::max(highest, value);
    }
    std::cout << " | " << std::fixed << std::setprecision(digits) << sum / static_cast<double>(results.size()) << " ±" << (highest - lowest) / 2.0;
}

struct Column {
    double (*m_valueOf)(const PolicyResult &);
    int m_digits = 1;
};

constexpr std::array<Column, 8> columns{{
    {[](const PolicyResult &result) {
         return result.m_p50;
     },
     1},
    {[](const PolicyResult &result) {
         return result.m_p99;
     },
     1},
    {[](const PolicyResult &result) {
         return result.m_p999;
     },
     1},
    {[](const PolicyResult &result) {
         return 100.0 * result.m_withinTarget;
     },
     2},
    {[](const PolicyResult &result) {
         return result.m_batchWork;
     },
     1},
    {[](const PolicyResult &result) {
         return static_cast<double>(result.m_evictions);
     },
     0},
    {[](const PolicyResult &result) {
         return result.m_wastedWork;
     },
     2},
    {[](const PolicyResult &result) {
         return result.m_placementMicros;
     },
     1},
}};

auto runRow(const FleetSize &size, const PolicyScenario &scenario, std::string_view policy) -> std::vector<PolicyResult>
{
    std::vector<std::future<PolicyResult>> runs;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
        runs.push_back(std::async(std::launch::async, [=] {
            return PolicySimulation(size, scenario, policy, seed).run();
        }));
    }
    std::vector<PolicyResult> results;
    results.reserve(runs.size());
    for (auto &run : runs) {
        results.push_back(run.get());
    }
    std::cout << "| " << scenario.m_name << " | " << policy;
    for (const auto &column : columns) {
        printCell(results, column.m_valueOf, column.m_digits);
    }
    std::cout << " |" << std::endl;
    return results;
}

auto runSize(const FleetSize &size) -> void
{
    std::cout << "\n### " << size.m_name
              << "\n\n| scenario | policy | p50 ms | p99 ms | p99.9 ms | within target % | batch core hours | evictions | wasted core "
              << "hours | µs per placement |\n|---|---|---|---|---|---|---|---|---|---|\n";
    PolicyPlot plot(size.m_name);
    for (const auto &scenario : policyScenarios) {
        if (!isSelected(FLAGS_scenario, scenario.m_name)) {
            continue;
        }
        for (const auto policy : policies) {
            if (isSelected(FLAGS_policy, policy)) {
                plot.add(scenario.m_name, policy, runRow(size, scenario, policy));
            }
        }
    }
    if (!FLAGS_plots.empty() && !plot.write(FLAGS_plots)) {
        std::cerr << "cannot write a plot to " << FLAGS_plots << "\n";
    }
}
}

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("compares placement policies in simulated fleets");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const auto &size : fleetSizes) {
        if (isSelected(FLAGS_size, size.m_name)) {
            runSize(size);
        }
    }
    return 0;
}
