#pragma once

#include <span>
#include <string_view>

namespace Burdockspur::Bench
{
/// @brief Measures one cost at different sizes.
class CapacityProbe
{
public:
    CapacityProbe() = default;
    virtual ~CapacityProbe() = default;
    CapacityProbe(const CapacityProbe &) = delete;
    CapacityProbe(CapacityProbe &&) = delete;
    auto operator=(const CapacityProbe &) -> CapacityProbe & = delete;
    auto operator=(CapacityProbe &&) -> CapacityProbe & = delete;

    /// @brief What is measured, e.g. `router: CPU of a request`.
    [[nodiscard]] virtual auto name() const noexcept -> std::string_view = 0;

    /// @brief Unit of the value.
    [[nodiscard]] virtual auto unit() const noexcept -> std::string_view = 0;

    /// @brief What the size counts, e.g. `workers`.
    [[nodiscard]] virtual auto sizeName() const noexcept -> std::string_view = 0;

    /// @brief Sizes to measure, at least four.
    [[nodiscard]] virtual auto sizes() const noexcept -> std::span<const double> = 0;

    /// @brief Measures at one size.
    [[nodiscard]] virtual auto measure(double size) -> double = 0;
};
}
