#include "burdockspur/fleet/stragglers/durationmodel.hpp"

#include <algorithm>

namespace Burdockspur
{
auto DurationModel::recordEnd(const DurationKey &key, Duration took) -> void
{
    if (took <= Duration::zero()) {
        return;
    }
    if (m_kinds.size() >= maxKinds && !m_kinds.contains(key)) {
        m_kinds.erase(std::ranges::min_element(m_kinds, {}, [](const auto &entry) {
            return entry.second.m_lastEnd;
        }));
    }
    auto &kind = m_kinds[key];
    kind.m_samples.add(took);
    kind.m_lastEnd = ++m_ends;
}

auto DurationModel::forecast(const DurationKey &key) const -> std::optional<DurationForecast>
{
    const auto kind = m_kinds.find(key);
    return kind == m_kinds.end() || kind->second.m_samples.size() < minSamples ? std::nullopt : kind->second.m_samples.forecast();
}
}
