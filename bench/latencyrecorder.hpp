#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <vector>

namespace Burdockspur::Bench
{
/// @brief Keeps every latency of a run, for exact quantiles.
class LatencyRecorder
{
public:
    auto record(Duration latency) -> void;

    /// @brief Adds the samples of another recorder.
    auto merge(const LatencyRecorder &other) -> void;

    /// @brief Latency that a share of the samples does not exceed.
    /// @param share from 0 to 1
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
