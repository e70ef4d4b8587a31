#include "slopefit.hpp"

#include <cmath>

namespace Burdockspur::Bench
{
SlopeFit::SlopeFit(std::span<const Sample> samples) noexcept
{
    const auto count = static_cast<double>(samples.size());
    double sizeSum = 0.0;
    double valueSum = 0.0;
    for (const Sample &sample : samples) {
        sizeSum += sample.m_size;
        valueSum += sample.m_value;
    }
    double covariance = 0.0;
    double variance = 0.0;
    for (const Sample &sample : samples) {
        covariance += (sample.m_size - sizeSum / count) * (sample.m_value - valueSum / count);
        variance += (sample.m_size - sizeSum / count) * (sample.m_size - sizeSum / count);
    }
    m_slope = variance > 0.0 ? covariance / variance : 0.0;
    m_intercept = (valueSum - m_slope * sizeSum) / count;
    double squares = 0.0;
    for (const Sample &sample : samples) {
        squares += std::pow(sample.m_value - valueAt(sample.m_size), 2);
    }
    m_residual = std::sqrt(squares / count);
}
}
