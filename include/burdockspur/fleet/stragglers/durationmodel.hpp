#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/stragglers/durationforecast.hpp"
#include "burdockspur/fleet/stragglers/durationkey.hpp"
#include "burdockspur/fleet/stragglers/durationsamples.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace Burdockspur
{
/// @brief Learns how long finite runs take, by kind.
///
/// Memory is bounded: beyond maxKinds, the kind that has had no run for the longest time is forgotten.
class DurationModel
{
public:
    static constexpr std::size_t maxKinds = 1'024;

    /// Runs of a kind before which no forecast is made; the median of fewer depends on single runs.
    static constexpr std::size_t minSamples = 8;

    /// @brief Records the duration of a run that has succeeded undisturbed, see undisturbedDuration().
    /// @param took ignored unless positive
    auto recordEnd(const DurationKey &key, Duration took) -> void;

    /// @brief Expected duration of a run; empty while too few runs of its kind are known.
    [[nodiscard]] auto forecast(const DurationKey &key) const -> std::optional<DurationForecast>;

    /// @brief Number of kinds that are known.
    [[nodiscard]] auto size() const noexcept -> std::size_t
    {
        return m_kinds.size();
    }

private:
    struct Kind {
        DurationSamples m_samples;
        std::uint64_t m_lastEnd = 0; ///< number of the last end of this kind
    };

    std::map<DurationKey, Kind> m_kinds;
    std::uint64_t m_ends = 0; ///< number of ends of all kinds
};
}
