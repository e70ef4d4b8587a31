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

/// @brief Thresholds, wait times and bounds of InterferenceController.
struct ReactionSettings {
    double m_startRatio = 1.0; ///< ratio of tail latency to target above which classes are throttled
    double m_endRatio = 0.92; ///< ratio below which throttled classes are released
    double m_releaseRatio = 0.97; ///< a class is released above m_endRatio if the ratio is expected to stay below this
    double m_lagFactor = 1.5; ///< two actions on a worker are at least the lag times this factor apart
    Milliseconds m_leastWait{10'000}; ///< lower bound of the time between two actions on a worker
    std::int32_t m_firstPercent = 50; ///< share of its processor time that a class keeps after the first throttle
    std::int32_t m_secondPercent = 25; ///< the same after the second throttle; an eviction may follow
    Milliseconds m_window{600'000}; ///< period over which evictions are counted
    std::size_t m_workerEvictions = 3; ///< bound on the evictions of one worker in the window
    std::size_t m_shardEvictions = 20; ///< bound on the evictions of the shard in the window
};

/// @brief An action on a worker.
struct Reaction {
    enum class Kind : std::uint8_t {
        None,
        Throttle, ///< limits the class to m_percent of its processor time
        Release, ///< restores the full processor time of the class
        Evict, ///< checkpoints and stops one task of the class
    };

    Kind m_kind = Kind::None;
    std::string m_class;
    std::int32_t m_percent = 100;
};

/// @brief Throttles, then evicts, the class with the largest effect on a worker whose tail latency is above its target.
///
/// Two actions on one worker are further apart than the lag of the measurements, because a measurement taken before an action does not
/// show its effect.
class InterferenceController
{
public:
    /// @param settings thresholds and bounds
    explicit InterferenceController(const ReactionSettings &settings);

    /// @brief Decides on an action for one worker after a measurement.
    /// @param worker name of the worker
    /// @param ratio latest ratio of tail latency to target of the worker's worst service; smoothed here over several calls
    /// @param lag age of the measurement
    /// @param model provides the class with the largest learned effect
    /// @param now current time
    [[nodiscard]] auto react(std::string_view worker, double ratio, Duration lag, const InterferenceModel &model, TimePoint now) -> Reaction;

    /// @brief Share of its processor time that a class may use on a worker, in percent.
    [[nodiscard]] auto percentOf(std::string_view worker, std::string_view jobClass) const noexcept -> std::int32_t;

    /// @brief Number of evictions since the start.
    [[nodiscard]] auto evictions() const noexcept -> std::uint64_t
    {
        return m_evicted;
    }

    auto removeWorker(std::string_view worker) -> void;

private:
    struct State {
        double m_ratio = 0.0; ///< smoothed; 0 before the first measurement
        TimePoint m_nextActionAt = TimePoint::min(); ///< earliest time of the next action
        std::map<std::string, std::int32_t, std::less<>> m_percents; ///< by throttled class
        std::deque<TimePoint> m_evictions; ///< times of the evictions in the window
    };

    [[nodiscard]] auto throttleOrEvict(State &state, std::string_view jobClass, TimePoint now) -> Reaction;
    [[nodiscard]] auto mayEvict(State &state, TimePoint now) -> bool;
    [[nodiscard]] auto releaseClass(std::string_view worker, State &state, const InterferenceModel &model, TimePoint now) const -> Reaction;

    ReactionSettings m_settings;
    std::map<std::string, State, std::less<>> m_workers;
    std::deque<TimePoint> m_evictions; ///< the same for the whole shard
    std::uint64_t m_evicted = 0; ///< see evictions()
};
}
