#include "burdockspur/fleet/headroomtrend.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Variance of a sample: noise of 10 to 20% of a headroom between 1 and 3, plus errors of the learned interference.
constexpr double sampleVariance = 0.08;
/// Growth of the slope's variance per second: loads that swing by half within about ten seconds change the slope by about 0.1 per
/// second.
constexpr double slopeDriftVariance = 0.03;
/// Initial variance of the slope, for a load that swings by at most half within about ten seconds.
constexpr double priorSlopeVariance = 0.1;
/// After a longer time without samples the estimate is no longer valid.
constexpr Milliseconds longestGap{3'000};

[[nodiscard]] auto seconds(TimePoint::duration time) noexcept -> double
{
    return std::chrono::duration<double>(time).count();
}
}

auto HeadroomTrend::add(double headroom, TimePoint now) noexcept -> void
{
    if (m_lastSampleAt == TimePoint{} || now - m_lastSampleAt > longestGap) {
        *this = {};
        m_level = headroom;
        m_levelVariance = sampleVariance;
        m_slopeVariance = priorSlopeVariance;
        m_lastSampleAt = now;
        return;
    }
    const double elapsed = std::max(0.0, seconds(now - m_lastSampleAt));
    m_lastSampleAt = now;
    m_level += m_slope * elapsed;
    m_levelVariance += 2 * elapsed * m_covariance + elapsed * elapsed * m_slopeVariance + slopeDriftVariance * elapsed * elapsed * elapsed / 3;
    m_covariance += elapsed * m_slopeVariance + slopeDriftVariance * elapsed * elapsed / 2;
    m_slopeVariance += slopeDriftVariance * elapsed;
    const double error = headroom - m_level;
    const double variance = m_levelVariance + sampleVariance;
    const double levelGain = m_levelVariance / variance;
    const double slopeGain = m_covariance / variance;
    m_level += levelGain * error;
    m_slope += slopeGain * error;
    m_slopeVariance -= slopeGain * m_covariance;
    m_covariance -= slopeGain * m_levelVariance;
    m_levelVariance -= levelGain * m_levelVariance;
}

auto HeadroomTrend::at(TimePoint when, double fallback) const noexcept -> double
{
    if (m_lastSampleAt == TimePoint{} || when - m_lastSampleAt > longestGap) {
        return fallback;
    }
    return m_level + m_slope * seconds(when - m_lastSampleAt);
}
}
