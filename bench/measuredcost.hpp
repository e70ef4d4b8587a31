#pragma once

#include <span>
#include <string_view>

namespace Burdockspur::Bench
{
/// @brief One cost of control that is measured at several sizes; a row of a table.
struct MeasuredCost {
    std::string_view m_name;
    std::string_view m_unit;
    std::string_view m_sizeName; ///< what the size counts, e.g. `workers`
    std::span<const double> m_sizes; ///< at least four
    double (*m_measure)(double size) = nullptr; ///< value at one size
};

/// @brief Costs of an entry host's router.
[[nodiscard]] auto routerCosts() noexcept -> std::span<const MeasuredCost>;

/// @brief Costs of a shard owner.
[[nodiscard]] auto shardCosts() noexcept -> std::span<const MeasuredCost>;

/// @brief Costs of the owner of a fleet.
[[nodiscard]] auto fleetCosts() noexcept -> std::span<const MeasuredCost>;
}
