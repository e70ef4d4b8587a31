#pragma once

#include "burdockspur/core/clock.hpp"

#include <map>
#include <string>

namespace Burdockspur
{
/// @brief What a new owner knows of the leases that the former one may have granted.
struct FormerOwner {
    TimePoint m_lastSign; ///< the last commit of the former owner was stored before this time
    /// Workers whose leases the former owner did not renew any more, and when the leases that they hold have certainly expired.
    std::map<std::string, TimePoint, std::less<>> m_silentWorkers;
};
}
