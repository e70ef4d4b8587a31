#pragma once

#include "burdockspur/operations/burnwindow.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockspur
{
/// @brief A cause of bad requests, with their count.
struct BurnCause {
    std::string m_kind; ///< `worker`, `zone`, `preset` or `code`
    std::string m_name;
    BurnCount m_count; ///< bad requests over the long window
};

/// @brief Service level of one service over a short and a long window.
///
/// The burn rate is the share of bad requests divided by the share that the objective allows: a rate of 1 uses up the error
/// budget exactly.
struct ServiceBurn {
    std::string m_service;
    std::int64_t m_latencyTargetMs = 0; ///< 0: no target
    double m_objectivePercent = 0.0;
    BurnCount m_short;
    BurnCount m_long;
    std::vector<BurnCount> m_periods; ///< counts of the periods of the long window, oldest first
    std::vector<BurnCause> m_causes; ///< most bad requests first

    /// @brief Burn rate of a count; 0 without requests.
    [[nodiscard]] auto burnRate(const BurnCount &count) const noexcept -> double;

    /// @brief Remaining share of the error budget of the long window, in percent; negative when it is overspent.
    [[nodiscard]] auto budgetLeftPercent() const noexcept -> double;

    /// @brief Adds the counts of another entry host for the same service.
    auto merge(const ServiceBurn &other) -> void;
};

/// @brief Service levels of the configured services.
struct BurnReport {
    Milliseconds m_shortWindow{0};
    Milliseconds m_longWindow{0};
    std::vector<ServiceBurn> m_services;

    /// @brief Adds the report of another entry host.
    auto merge(const BurnReport &other) -> void;
};
}
