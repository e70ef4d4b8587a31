#pragma once

#include "policyresult.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur::Bench
{
/// @brief Draws two bar charts, p99 latency and finished batch work, with one bar for each policy and scenario, as SVG.
class PolicyPlot
{
public:
    explicit PolicyPlot(std::string_view fleet);

    /// @brief Adds the mean of the runs of one policy in one scenario.
    auto add(std::string_view scenario, std::string_view policy, std::span<const PolicyResult> results) -> void;

    /// @brief Writes `<directory>/<fleet>.svg`.
    /// @returns false when the file cannot be written
    [[nodiscard]] auto write(std::string_view directory) const -> bool;

private:
    struct Bar {
        std::string m_scenario;
        std::string m_policy;
        double m_p99 = 0.0;
        double m_batchWork = 0.0;
    };

    [[nodiscard]] auto renderPanel(std::string_view title, double Bar::*value, double top) const -> std::string;

    std::string m_fleet;
    std::vector<Bar> m_bars;
};
}
