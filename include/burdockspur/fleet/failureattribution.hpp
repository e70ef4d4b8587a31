#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Tells the faults of a job from those of the workers that run it.
///
/// Faults of a job on several workers do not count against any of them. Neither does a repeated fault of a serving task on the same worker,
/// because its failures go on for as long as the job is not cancelled.
class FailureAttribution
{
public:
    /// @brief Whether the failures of a step end by themselves.
    enum class Kind : std::uint8_t {
        Finite, ///< at the last attempt
        Serving, ///< never
    };

    /// @brief Records that a run of the job has failed, or makes hardly any progress.
    /// @param worker id of the worker that had the run
    /// @returns true if the worker may be the cause
    [[nodiscard]] auto recordFault(std::string_view worker, Kind kind, TimePoint now) -> bool;

    /// @brief Records that a run of the job has succeeded, so that earlier faults were not those of the job.
    auto recordSuccess() noexcept -> void
    {
        m_latestFaults.clear();
    }

private:
    std::map<std::string, TimePoint, std::less<>> m_latestFaults; ///< by worker, within the last window
};
}
