#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace Burdockspur
{
/// @brief Number of jobs without a started task, as counted by the owner.
struct WaitingJobs {
    std::map<std::string, std::uint32_t> m_byQueue;
    /// The count includes every job that was stored before this time.
    TimePoint m_asOf;
};
}
