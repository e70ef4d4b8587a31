#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/stragglers/durationforecast.hpp"

#include <cstdint>
#include <optional>

namespace Burdockspur
{
/// @brief What is known of a running task and its job when the worth of a copy is judged.
struct StragglerSituation {
    // The run
    Duration m_observed{0}; ///< time in which m_gainedPercent was gained
    double m_gainedPercent = 0;
    double m_percent = 0; ///< latest known progress
    Duration m_sinceReport{0}; ///< age of m_percent
    std::optional<Duration> m_leaseLeft; ///< of a worker that does not answer: time until its runs count as lost; empty for one that answers

    // Durations of such runs
    std::optional<DurationForecast> m_siblings; ///< from the other tasks of the step, without this one
    std::optional<DurationForecast> m_learned; ///< see DurationModel
    Milliseconds m_estimate{0}; ///< as declared

    // The job
    Duration m_age{0}; ///< since its acceptance
    Duration m_declaredObjective{0}; ///< from its acceptance, by the declared durations; with m_target
    Duration m_target{0}; ///< part of the objective that does not depend on durations
    Duration m_declaredAfter{0}; ///< declared duration of the longest chain of steps that follow

    // The attempts
    std::uint32_t m_failures = 0;
    std::uint32_t m_maxAttempts = 0;
};
}
