#pragma once

#include <string>
#include <string_view>

namespace Burdockspur
{
struct BurnReport;

/// @brief A report as one HTML page with its plots inside; it loads nothing.
/// @param report of one or several entry hosts
/// @param source who was asked, shown at the top
[[nodiscard]] auto burnPage(const BurnReport &report, std::string_view source) -> std::string;
}
