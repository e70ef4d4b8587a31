#include "measuredcost.hpp"
#include "slopefit.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <vector>

DEFINE_string(only, "", "measure only costs whose name contains this");
DEFINE_uint32(repetitions, 5, "measurements of each point, of which the median is reported");

namespace
{
using namespace Burdockspur::Bench;

[[nodiscard]] auto medianOf(const MeasuredCost &cost, double size) -> double
{
    std::vector<double> values;
    for (std::uint32_t i = 0; i < std::max(1U, FLAGS_repetitions); ++i) {
        values.push_back(cost.m_measure(size));
    }
    std::ranges::sort(values);
    return values[values.size() / 2];
}

auto printRow(const MeasuredCost &cost) -> void
{
    std::vector<Sample> samples;
    std::cout << "| " << cost.m_name << " | " << cost.m_unit << " | ";
    for (const double size : cost.m_sizes) {
        samples.push_back({.m_size = size, .m_value = medianOf(cost, size)});
        std::cout << size << ": " << samples.back().m_value << "; ";
    }
    const SlopeFit fit(samples);
    std::cout << "| " << fit.slope() << " per " << cost.m_sizeName << " | " << fit.intercept() << " | " << fit.residual() << " |" << std::endl;
}
}

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("measures the costs of the control plane at several sizes and fits a line");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::cout << "| cost | unit | measured (size: value) | slope | at size 0 | residual |\n|---|---|---|---|---|---|\n";
    for (const auto table : {routerCosts(), shardCosts(), fleetCosts()}) {
        for (const MeasuredCost &cost : table) {
            if (cost.m_name.find(FLAGS_only) != std::string_view::npos) {
                printRow(cost);
            }
        }
    }
    return 0;
}
