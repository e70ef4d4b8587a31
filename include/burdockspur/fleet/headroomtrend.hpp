#pragma once

#include "burdockspur/core/clock.hpp"

namespace Burdockspur
{
/// @brief Estimates and extrapolates the headroom that the tasks of one serving job would have without filling tasks beside them.
///
/// All tasks of a job carry the same load, so the samples of all workers feed one Kalman filter with a level and a slope
/// (constant-velocity model). Single samples are too noisy to show the slope.
class HeadroomTrend
{
public:
    /// @brief Adds a sample.
    /// @param headroom measured headroom plus the headroom lost to filling tasks; see FillInterferenceModel
    auto add(double headroom, TimePoint now) noexcept -> void;

    /// @brief Expected headroom at a time.
    /// @param fallback returned when the last sample is missing or more than 3 s older
    [[nodiscard]] auto at(TimePoint when, double fallback) const noexcept -> double;

private:
    double m_level = 0;
    double m_slope = 0; ///< per second
    double m_levelVariance = 0;
    double m_covariance = 0;
    double m_slopeVariance = 0;
    TimePoint m_lastSampleAt;
};
}
