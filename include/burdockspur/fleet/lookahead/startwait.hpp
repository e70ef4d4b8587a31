#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/lookahead/jobsizes.hpp"

namespace Burdockspur
{
/// @brief Time from the acceptance of a job to its first run.
struct StartWait {
    JobSize m_size = JobSize::Rest;
    Duration m_wait{0};
};
}
