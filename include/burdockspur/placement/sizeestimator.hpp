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

/// @brief Learns the resource usage of each job class and computes the reservation of a new attempt.
///
/// Each attempt contributes one sample, its peak usage. If every report were a sample, a few attempts that have just started and use
/// little yet would dominate the class. A new attempt reserves the smaller of two bounds: the quantile of the usage, and the quantile
/// of the usage in proportion to the declared size. So jobs of different sizes in one class reserve what they need if their declared
/// sizes are consistent.
///
/// @code
/// estimator.observe(spec.m_class, report.m_usage);          // with each report
/// estimator.addAttempt(spec, peak, runTime, now);   // when the attempt completed
/// const Resources reserved = estimator.reservationFor(spec, largestWorker);
/// @endcode
class SizeEstimator
{
public:
    /// @brief Raises the highest usage of a class to that of a running attempt.
    auto observe(std::string_view jobClass, const Resources &usage) -> void;

    /// @brief Adds the peak usage and the run time of an attempt that ended by itself.
    auto addAttempt(const JobSpec &spec, const Resources &peak, Milliseconds runTime, TimePoint now) -> void;

    /// @brief Computes the reservation of a new attempt.
    /// @param spec the job; accelerators are always reserved as declared
    /// @param largest capacity of the largest worker; limits estimates, which would otherwise never fit, but not declared sizes
    [[nodiscard]] auto reservationFor(const JobSpec &spec, const Resources &largest) const noexcept -> Resources;

    /// @brief 95% quantile of the run times of a class; zero without samples.
    [[nodiscard]] auto runTimeOf(std::string_view jobClass) const noexcept -> Milliseconds;

private:
    struct History {
        DecayingQuantile m_cpuMillis;
        DecayingQuantile m_memoryMb;
        DecayingQuantile m_cpuPermille; ///< usage per declared size
        DecayingQuantile m_memoryPermille; ///< usage per declared size
        DecayingQuantile m_runTimeMs;
        Resources m_highest; ///< highest usage in any report
        std::uint32_t m_samples = 0;
    };

    /// History of a class, added if necessary; nullptr when there are too many classes.
    [[nodiscard]] auto historyOf(std::string_view jobClass) -> History *;

    std::map<std::string, History, std::less<>> m_classes;
};
}
