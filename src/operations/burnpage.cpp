#include "burdockspur/operations/burnpage.hpp"

#include "burdockspur/operations/burnreport.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace Burdockspur
{
namespace
{
constexpr std::string_view head = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>
body { font: 15px/1.45 sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 0.5em 0 1.5em; }
td, th { border-bottom: 1px solid #ccc; padding: 0.25em 0.8em; text-align: right; }
td:first-child, th:first-child { text-align: left; }
.over { color: #b00020; font-weight: bold; }
svg { background: #f6f6f6; }
</style></head><body>
)";

[[nodiscard]] auto htmlEscaped(std::string_view text) -> std::string
{
    std::string result;
    for (const char character : text) {
        switch (character) {
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '&':
            result += "&amp;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

[[nodiscard]] auto decimalText(double value, int places) -> std::string
{
    std::array<char, 64> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::fixed, places);
    return {buffer.data(), end.ptr};
}

[[nodiscard]] auto cell(std::string_view text, bool isOver = false) -> std::string
{
    return std::string(isOver ? "<td class=\"over\">" : "<td>").append(text).append("</td>");
}

[[nodiscard]] auto bar(double x, double height, double bottom, std::string_view colour) -> std::string
{
    constexpr double width = 9.0;
    return "<rect x=\"" + decimalText(x, 1) + "\" y=\"" + decimalText(bottom - height, 1) + "\" width=\"" + decimalText(width, 1) + "\" height=\""
        + decimalText(height, 1) + "\" fill=\"" + std::string(colour) + "\"/>";
}

/// @brief Bar chart with the requests of each period; the bad ones are red.
[[nodiscard]] auto requestPlot(const ServiceBurn &service) -> std::string
{
    constexpr double step = 11.0;
    constexpr double height = 110.0;
    constexpr double bottom = 120.0;
    std::uint64_t maximum = 1;
    for (const auto &count : service.m_periods) {
        maximum = std::max(maximum, count.m_requests);
    }
    std::string svg = "<svg width=\"" + decimalText(step * static_cast<double>(service.m_periods.size()) + step, 0) + "\" height=\"125\" role=\"img\">";
    double x = step / 2;
    for (const auto &count : service.m_periods) {
        const auto scaled = [maximum](std::uint64_t value) {
            return height * static_cast<double>(value) / static_cast<double>(maximum);
        };
        svg += bar(x, scaled(count.m_requests), bottom, "#8fb3d9") + bar(x, scaled(count.bad()), bottom, "#b00020");
        x += step;
    }
    return svg + "</svg><p>Requests per minute, oldest on the left; maximum " + std::to_string(maximum) + ". Red: slow or failed.</p>\n";
}

[[nodiscard]] auto levelTable(const ServiceBurn &service) -> std::string
{
    const double shortRate = service.burnRate(service.m_short);
    const double longRate = service.burnRate(service.m_long);
    return "<table><tr><th>objective</th><th>latency target</th><th>requests</th><th>slow</th><th>failed</th><th>burn, short</th><th>burn, long</th>"
           "<th>budget left</th></tr><tr>"
        + cell(decimalText(service.m_objectivePercent, 3) + " %") + cell(std::to_string(service.m_latencyTargetMs) + " ms")
        + cell(std::to_string(service.m_long.m_requests)) + cell(std::to_string(service.m_long.m_slow)) + cell(std::to_string(service.m_long.m_failed))
        + cell(decimalText(shortRate, 2), shortRate > 1.0) + cell(decimalText(longRate, 2), longRate > 1.0)
        + cell(decimalText(service.budgetLeftPercent(), 1) + " %", longRate > 1.0) + "</tr></table>\n";
}

[[nodiscard]] auto causeTable(const ServiceBurn &service) -> std::string
{
    if (service.m_causes.empty()) {
        return "<p>No slow or failed requests.</p>\n";
    }
    std::string table = "<table><tr><th>cause</th><th>name</th><th>slow</th><th>failed</th></tr>";
    for (const auto &cause : service.m_causes) {
        table += "<tr>" + cell(htmlEscaped(cause.m_kind)) + cell(htmlEscaped(cause.m_name)) + cell(std::to_string(cause.m_count.m_slow))
            + cell(std::to_string(cause.m_count.m_failed)) + "</tr>";
    }
    return table + "</table>\n";
}
}

auto renderBurnPage(const BurnReport &report, std::string_view source) -> std::string
{
    constexpr std::int64_t millisecondsPerMinute = 60'000;
    std::string page(head);
    page += "<h1>Service-level burn</h1><p>From " + htmlEscaped(source) + ". Short window "
        + std::to_string(report.m_shortWindow.count() / millisecondsPerMinute) + " min, long window "
        + std::to_string(report.m_longWindow.count() / millisecondsPerMinute) + " min. A burn rate of 1 uses up the error budget exactly.</p>\n";
    for (const auto &service : report.m_services) {
        page += "<h2>" + htmlEscaped(service.m_service) + "</h2>\n" + levelTable(service) + requestPlot(service) + causeTable(service);
    }
    return page + "</body></html>\n";
}
}
