#pragma once

#include "burdockspur/core/clock.hpp"

namespace Burdockspur
{
/// @brief Why a running task is worth a copy.
struct CopyWorth {
    Duration m_remaining{0}; ///< projected time until the run ends
    Duration m_copyTakes{0}; ///< expected time until a copy ends
    bool m_makesObjective = false; ///< with the copy the job meets its objective; otherwise it ends before it has lost all of its worth
};
}
