#include "policyplot.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace Burdockspur::Bench
{
namespace
{
constexpr std::array<std::pair<std::string_view, std::string_view>, 6> colours{{
    {"alone", "#999999"},
    {"random", "#e69f00"},
    {"leastloaded", "#56b4e9"},
    {"bestfit", "#d55e00"},
    {"bestfitspread", "#cc79a7"},
    {"scored", "#009e73"},
}};
constexpr double barWidth = 12.0;
constexpr double panelHeight = 180.0;
constexpr double leftMargin = 60.0;
constexpr double groupGap = 18.0;

[[nodiscard]] auto colourOf(std::string_view policy) -> std::string_view
{
    const auto found = std::ranges::find(colours, policy, [](const auto &entry) {
        return entry.first;
    });
    return found == colours.end() ? "#000000" : found->second;
}
}

PolicyPlot::PolicyPlot(std::string_view fleet)
    : m_fleet(fleet)
{
}

auto PolicyPlot::add(std::string_view scenario, std::string_view policy, std::span<const PolicyResult> results) -> void
{
    Bar bar{.m_scenario = std::string(scenario), .m_policy = std::string(policy)};
    for (const auto &result : results) {
        bar.m_p99 += result.m_p99 / static_cast<double>(results.size());
        bar.m_batchWork += result.m_batchWork / static_cast<double>(results.size());
    }
    m_bars.push_back(std::move(bar));
}

auto PolicyPlot::renderPanel(std::string_view title, double Bar::*value, double top) const -> std::string
{
    double highest = 1.0;
    for (const auto &bar : m_bars) {
        highest = std::max(highest, bar.*value);
    }
    std::ostringstream text;
    text << "<text x=\"" << leftMargin << "\" y=\"" << top - 8 << "\">" << title << " (highest " << highest << ")</text>\n";
    double x = leftMargin;
    std::string_view scenario;
    for (const auto &bar : m_bars) {
        if (bar.m_scenario != scenario) {
            x += scenario.empty() ? 0.0 : groupGap;
            scenario = bar.m_scenario;
            text << "<text x=\"" << x << "\" y=\"" << top + panelHeight + 14 << "\">" << scenario << "</text>\n";
        }
        const double length = panelHeight * (bar.*value) / highest;
        text << "<rect x=\"" << x << "\" y=\"" << top + panelHeight - length << "\" width=\"" << barWidth - 1 << "\" height=\"" << length << "\" fill=\""
             << colourOf(bar.m_policy) << "\"><title>" << bar.m_policy << " " << bar.*value << "</title></rect>\n";
        x += barWidth;
    }
    return text.str();
}

auto PolicyPlot::write(std::string_view directory) const -> bool
{
    std::ofstream file(std::string(directory) + "/" + m_fleet + ".svg");
    file << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"760\" height=\"520\" font-family=\"sans-serif\" font-size=\"12\">\n"
         << "<rect width=\"760\" height=\"520\" fill=\"white\"/>\n"
         << renderPanel("p99 of the services, ms", &Bar::m_p99, 40.0) << renderPanel("finished batch work, core hours", &Bar::m_batchWork, 280.0);
    double x = leftMargin;
    for (const auto &[policy, colour] : colours) {
        file << "<rect x=\"" << x << "\" y=\"494\" width=\"10\" height=\"10\" fill=\"" << colour << "\"/><text x=\"" << x + 14 << "\" y=\"504\">" << policy
             << "</text>\n";
        x += 110.0;
    }
    file << "</svg>\n";
    return file.flush().good();
}
}
