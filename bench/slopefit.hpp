#pragma once

#include <span>

namespace Burdockspur::Bench
{
/// @brief A value measured at one size.
struct Sample {
    double m_size = 0.0;
    double m_value = 0.0;
};

/// @brief Least-squares line through samples.
class SlopeFit
{
public:
    /// @param samples at least two samples with different sizes
    explicit SlopeFit(std::span<const Sample> samples) noexcept;

    /// @brief Increase of the value per unit of size.
    [[nodiscard]] auto slope() const noexcept -> double
    {
        return m_slope;
    }

    /// @brief Value at size 0.
    [[nodiscard]] auto intercept() const noexcept -> double
    {
        return m_intercept;
    }

    /// @brief Root mean square of the differences between samples and line, in the unit of the value.
    [[nodiscard]] auto residual() const noexcept -> double
    {
        return m_residual;
    }

    /// @brief Value of the line at a size.
    [[nodiscard]] auto valueAt(double size) const noexcept -> double
    {
        return m_intercept + m_slope * size;
    }

private:
    double m_slope = 0.0;
    double m_intercept = 0.0;
    double m_residual = 0.0;
};
}
