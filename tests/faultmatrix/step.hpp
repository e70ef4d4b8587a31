#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace Burdockspur::FaultMatrix
{
/// @brief Protocol step at which a fault is injected.
enum class Step : std::uint8_t {
    Submit,
    Assign,
    Start,
    Renew,
    Complete,
    Evict,
    Resume,
    Cancel,
    TakeOver,
    Drain,
    Configure,
    Request,
    Settle,
};

/// @brief Names of the steps, in the order of Step.
inline constexpr std::array<std::string_view, 13> stepNames{
    "submit", "assign", "start", "renew", "complete", "evict", "resume", "cancel", "take over", "drain", "configure", "request", "settle"};

[[nodiscard]] constexpr auto stepName(Step step) noexcept -> std::string_view
{
    return stepNames[static_cast<std::size_t>(step)];
}
}
