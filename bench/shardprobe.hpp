#pragma once

#include "capacityprobe.hpp"

namespace Burdockspur::Bench
{
/// @brief One measured cost of a shard owner, described by a row of a table.
struct ShardCost {
    std::string_view m_name;
    std::string_view m_unit;
    std::string_view m_sizeName;
    std::span<const double> m_sizes;
    double (*m_measure)(double size) = nullptr;
};

/// @brief Measures a cost of a shard owner's decisions.
class ShardProbe : public CapacityProbe
{
public:
    explicit ShardProbe(const ShardCost &cost) : m_cost(cost)
    {
    }

    [[nodiscard]] auto name() const noexcept -> std::string_view override;
    [[nodiscard]] auto unit() const noexcept -> std::string_view override;
    [[nodiscard]] auto sizeName() const noexcept -> std::string_view override;
    [[nodiscard]] auto sizes() const noexcept -> std::span<const double> override;
    [[nodiscard]] auto measure(double size) -> double override;

private:
    const ShardCost &m_cost;
};

/// @brief Every cost of a shard owner that is measured.
[[nodiscard]] auto shardCosts() noexcept -> std::span<const ShardCost>;
}
