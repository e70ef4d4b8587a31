#pragma once

#include <string>
#include <string_view>

namespace Burdockspur
{
struct BurnReport;

/// @brief Renders a report as a self-contained HTML page with inline plots.
/// @param report counts of one or several entry hosts
/// @param source where the counts come from, shown at the top of the page
[[nodiscard]] auto renderBurnPage(const BurnReport &report, std::string_view source) -> std::string;
}
