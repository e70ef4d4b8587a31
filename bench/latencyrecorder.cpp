#include "latencyrecorder.hpp"

#include <algorithm>
#include <cmath>

namespace Burdockspur::Bench
{
auto LatencyRecorder::record(Duration latency) -> void
{
    m_samples.push_back(latency);
    m_sorted = false;
}

auto LatencyRecorder::merge(const LatencyRecorder &other) -> void
{
    m_samples.insert(m_samples.end(), other.m_samples.begin(), other.m_samples.end());
    m_sorted = false;
}

auto LatencyRecorder::quantileMs(double share) const -> double
{
    if (m_samples.empty()) {
        return 0.0;
    }
    if (!m_sorted) {
        std::ranges::sort(m_samples);
        m_sorted = true;
    }
    const auto last = static_cast<double>(m_samples.size() - 1);
    const auto index = static_cast<std::size_t>(std::llround(share * last));
    return std::chrono::duration<double, std::milli>(m_samples[index]).count();
}
}
