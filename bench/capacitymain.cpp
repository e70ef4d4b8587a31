#include "capacityprobe.hpp"
#include "routerprobe.hpp"
#include "shardprobe.hpp"
#include "slopefit.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <vector>

DEFINE_uint32(repetitions, 5, "measurements of each point; the median counts");

namespace
{
using namespace Burdockspur::Bench;

[[nodiscard]] auto allProbes() -> std::vector<std::unique_ptr<CapacityProbe>>
{
    std::vector<std::unique_ptr<CapacityProbe>> probes;
    probes.push_back(std::make_unique<RouterCpuProbe>());
    probes.push_back(std::make_unique<RouterWorkerMemoryProbe>());
    probes.push_back(std::make_unique<RouterRequestMemoryProbe>());
    for (const ShardCost &cost : shardCosts()) {
        probes.push_back(std::make_unique<ShardProbe>(cost));
    }
    return probes;
}

[[nodiscard]] auto medianOf(CapacityProbe &probe, double size) -> double
{
    std::vector<double> values;
    for (std::uint32_t i = 0; i < std::max(1U, FLAGS_repetitions); ++i) {
        values.push_back(probe.measure(size));
    }
    std::ranges::sort(values);
    return values[values.size() / 2];
}

auto printRow(CapacityProbe &probe) -> void
{
    std::vector<Sample> samples;
    std::cout << "| " << probe.name() << " | " << probe.unit() << " | ";
    for (const double size : probe.sizes()) {
        samples.push_back({.m_size = size, .m_value = medianOf(probe, size)});
        std::cout << size << ": " << samples.back().m_value << "; ";
    }
    const SlopeFit fit(samples);
    std::cout << "| " << fit.slope() << " per " << probe.sizeName() << " | " << fit.intercept() << " | " << fit.residual() << " |" << std::endl;
}
}

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("measures what control costs at several sizes and fits a line");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::cout << "| cost | unit | measured (size: value) | slope | at size 0 | residual |\n|---|---|---|---|---|---|\n";
    for (const auto &probe : allProbes()) {
        printRow(*probe);
    }
    return 0;
}
