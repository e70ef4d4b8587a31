#pragma once

#include <span>
#include <string_view>

namespace Burdockspur::Bench
{
/// @brief A processor or memory cost of the control plane that is measured at several sizes; one row of the report.
struct MeasuredCost {
    std::string_view m_name;
    std::string_view m_unit;
    std::string_view m_sizeName; ///< unit of the sizes, e.g. `workers`
    std::span<const double> m_sizes; ///< sizes to measure, at least four
    double (*m_measure)(double size) = nullptr; ///< measures the cost at one size
};

/// @brief Costs of the request router of an entry host.
[[nodiscard]] auto routerCosts() noexcept -> std::span<const MeasuredCost>;

/// @brief Costs of a shard owner.
[[nodiscard]] auto shardCosts() noexcept -> std::span<const MeasuredCost>;

/// @brief Costs of the scheduler that owns a fleet.
[[nodiscard]] auto fleetCosts() noexcept -> std::span<const MeasuredCost>;
}
