#pragma once

#include "burdockspur/core/clock.hpp"

namespace Burdockspur
{
/// @brief How long runs of a step take.
struct DurationRange {
    Milliseconds m_median{0};
    Milliseconds m_high{0}; ///< most runs end within this time
    bool m_isLearned = false; ///< false if only the declared estimate is known
};
}
