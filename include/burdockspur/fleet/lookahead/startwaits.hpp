#pragma once

#include "burdockspur/fleet/lookahead/startwait.hpp"

#include <utility>
#include <vector>

namespace Burdockspur
{
class FleetJob;

/// @brief Collects the waits of jobs for their first run, by size, until the metrics take them.
class StartWaits
{
public:
    /// @brief Records the first run of a job that a worker has confirmed.
    auto record(const FleetJob &job, TimePoint now) -> void;

    /// @brief Removes and returns the waits that were recorded since the last call.
    [[nodiscard]] auto take() -> std::vector<StartWait>
    {
        return std::exchange(m_waits, {});
    }

private:
    JobSizes m_sizes;
    std::vector<StartWait> m_waits;
};
}
