#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/resources.hpp"
#include "burdockspur/placement/decayingquantile.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Burdockspur
{
struct JobSpec;

/// @brief Learns what attempts of a job class use, and decides what a new attempt reserves.
///
/// One sample is the peak usage of one attempt. Counting each report would let a few attempts that have
/// just started, and use little yet, stand for the class. Two quantiles bound the usage of a new attempt: that
/// of the usage itself, and that of the usage in proportion to the declared size. The smaller one counts, so that
/// jobs of different sizes in one class reserve what they need when their declared sizes are consistent.
///
/// @code
/// estimator.observe(spec.m_class, report.m_usage);          // with each report
/// estimator.addAttempt(spec, peak, runTime, now);   // when the attempt completed
/// const Resources reserved = estimator.reservationFor(spec, largestWorker);
/// @endcode
class SizeEstimator
{
public:
    /// @brief Takes the usage of a running attempt; it counts for the class's highest usage at once.
    auto observe(std::string_view jobClass, const Resources &usage) -> void;

    /// @brief Takes the peak usage and the run time of an attempt that ended by itself.
    auto addAttempt(const JobSpec &spec, const Resources &peak, Milliseconds runTime, TimePoint now) -> void;

    /// @brief What a new attempt reserves.
    /// @param spec the job; accelerators are always reserved as declared
    /// @param largest an estimate above this amount would never fit and is cut to it; a declared size is not
    [[nodiscard]] auto reservationFor(const JobSpec &spec, const Resources &largest) const noexcept -> Resources;

    /// @brief The 95% quantile of the run times of a class; zero without samples.
    [[nodiscard]] auto runTimeOf(std::string_view jobClass) const noexcept -> Milliseconds;

private:
    struct History {
        DecayingQuantile m_cpuMillis;
        DecayingQuantile m_memoryMb;
        DecayingQuantile m_cpuPermille; ///< of the declared size
        DecayingQuantile m_memoryPermille; ///< of the declared size
        DecayingQuantile m_runTimeMs;
        Resources m_highest; ///< of all reports
        std::uint32_t m_samples = 0;
    };

    [[nodiscard]] auto at(std::string_view jobClass) -> History *;

    std::map<std::string, History, std::less<>> m_classes;
};
}
