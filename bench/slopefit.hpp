#pragma once

#include <span>

namespace Burdockspur::Bench
{
/// @brief One measured point.
struct Sample {
    double m_size = 0.0;
    double m_value = 0.0;
};

/// @brief Least-squares line through measured points.
class SlopeFit
{
public:
    /// @param samples at least two points with different sizes
    explicit SlopeFit(std::span<const Sample> samples) noexcept;

    /// @brief Growth of the value for each unit of size.
    [[nodiscard]] auto slope() const noexcept -> double
    {
        return m_slope;
    }

    /// @brief Value at size 0.
    [[nodiscard]] auto intercept() const noexcept -> double
    {
        return m_intercept;
    }

    /// @brief Root mean square of the distances between points and line, in the unit of the value.
    [[nodiscard]] auto residual() const noexcept -> double
    {
        return m_residual;
    }

    /// @brief Value of the line.
    [[nodiscard]] auto at(double size) const noexcept -> double
    {
        return m_intercept + m_slope * size;
    }

private:
    double m_slope = 0.0;
    double m_intercept = 0.0;
    double m_residual = 0.0;
};
}
