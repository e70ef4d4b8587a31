#pragma once

#include <cstdint>
#include <string_view>

namespace Burdockspur
{
/// @brief What is known about the execution of a request.
enum class Outcome : std::uint8_t {
    Answered, ///< ran, the answer is complete
    Refused, ///< did not run and never will
    Failed, ///< ran and failed
    Unknown, ///< may have run
};

/// @brief Lower-case name of an outcome, as callers see it.
[[nodiscard]] constexpr auto outcomeName(Outcome outcome) noexcept -> std::string_view
{
    constexpr std::string_view names[] = {"answered", "refused", "failed", "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}
}
