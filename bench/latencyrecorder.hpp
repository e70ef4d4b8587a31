#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <vector>

namespace Burdockspur::Bench
{
/// @brief Stores every latency of a measurement and computes exact quantiles.
class LatencyRecorder
{
public:
    auto record(Duration latency) -> void;

    /// @brief Adds the samples of another recorder.
    auto merge(const LatencyRecorder &other) -> void;

    /// @brief Latency at a quantile of the samples.
    /// @param share quantile from 0 to 1
    /// @returns milliseconds; 0 without samples
    [[nodiscard]] auto quantileMs(double share) const -> double;

    [[nodiscard]] auto count() const noexcept -> std::size_t
    {
        return m_samples.size();
    }

private:
    mutable std::vector<Duration> m_samples;
    mutable bool m_sorted = true;
};
}
