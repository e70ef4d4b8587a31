#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace Burdockspur
{
/// @brief Jobs without a started task, as the owner counted them.
struct WaitingJobs {
    std::map<std::string, std::uint32_t> m_byQueue;
    /// Every job stored before this time was known to the owner when it counted.
    TimePoint m_asOf;
};
}
