#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace Burdockspur
{
class InterferenceModel;

/// @brief Thresholds, times and bounds of the reaction to interference.
struct ReactionSettings {
    double m_startRatio = 1.0; ///< tail latency divided by its target, above which the reaction starts
    double m_endRatio = 0.92; ///< below it the reaction ends
    double m_releaseRatio = 0.97; ///< a class is released earlier if the ratio is expected to stay below this
    double m_lagFactor = 1.5; ///< the wait between two actions on a worker is the lag times this factor
    Milliseconds m_leastWait{10'000}; ///< the wait is never shorter
    std::int32_t m_firstPercent = 50; ///< share of the processor time that a throttled class keeps
    std::int32_t m_secondPercent = 25; ///< after a second throttle, before an eviction
    Milliseconds m_window{600'000}; ///< window in which evictions are counted
    std::size_t m_workerEvictions = 3; ///< most evictions of one worker in the window
    std::size_t m_shardEvictions = 20; ///< most evictions of the shard in the window
};

/// @brief What to do on a worker.
struct Reaction {
    enum class Kind : std::uint8_t {
        None,
        Throttle, ///< the class gets m_percent of its processor time
        Release, ///< the class gets all of its processor time again
        Evict, ///< one task of the class is checkpointed and stopped
    };

    Kind m_kind = Kind::None;
    std::string m_class;
    std::int32_t m_percent = 100;
};

/// @brief Reacts to tail latency above its target: throttles, then evicts, the most harmful class of a worker.
///
/// Waits longer than the lag of the measurements between two actions on one worker, because a measurement
/// made before an action says nothing about its effect.
class InterferenceController
{
public:
    /// @param settings thresholds and bounds
    explicit InterferenceController(const ReactionSettings &settings);

    /// @brief Decides about one worker.
    /// @param worker name
    /// @param ratio latest tail latency divided by its target; the worst service of the worker; smoothed over several
    /// @param lag age of the measurement
    /// @param model names the class with the largest learned effect
    /// @param now current time
    [[nodiscard]] auto react(std::string_view worker, double ratio, Duration lag, const InterferenceModel &model, TimePoint now) -> Reaction;

    /// @brief Share of processor time that a class has on a worker, in percent.
    [[nodiscard]] auto percentOf(std::string_view worker, std::string_view jobClass) const noexcept -> std::int32_t;

    /// @brief Evictions ordered since the start.
    [[nodiscard]] auto evictions() const noexcept -> std::uint64_t
    {
        return m_evicted;
    }

    auto removeWorker(std::string_view worker) -> void;

private:
    struct State {
        double m_ratio = 0.0; ///< smoothed; 0 before the first measurement
        TimePoint m_next = TimePoint::min(); ///< no action before
        std::map<std::string, std::int32_t, std::less<>> m_percents; ///< throttled classes
        std::deque<TimePoint> m_evictions;
    };

    [[nodiscard]] auto tighten(State &state, std::string_view jobClass, TimePoint now) -> Reaction;
    [[nodiscard]] auto mayEvict(State &state, TimePoint now) -> bool;
    [[nodiscard]] auto relax(std::string_view worker, State &state, const InterferenceModel &model, TimePoint now) const -> Reaction;

    ReactionSettings m_settings;
    std::map<std::string, State, std::less<>> m_workers;
    std::deque<TimePoint> m_evictions; ///< of the shard
    std::uint64_t m_evicted = 0;
};
}
