#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/jobrank.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Burdockspur
{
/// @brief What the waiting tasks of a step want of a worker, for the decision whether they may use reserved room.
struct RoomClaim {
    std::string_view m_job;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    std::size_t m_kind = 0; ///< see TaskKinds
    Resources m_demand; ///< of one task; no processors for a filling task
    PlacementTurn m_turn = PlacementTurn::Ranked;
    std::uint32_t m_priority = 0;
    std::uint8_t m_lateness = 0; ///< see JobRank::m_lateness
    bool m_isServing = false;
    TimePoint m_endsBy; ///< when a run that starts now has ended, by a high quantile of its duration
};
}
