#pragma once

#include "burdockspur/core/clock.hpp"

#include <compare>
#include <cstdint>

namespace Burdockspur
{
/// @brief First criterion of the order of placement.
enum class PlacementTurn : std::uint8_t {
    Restart, ///< serving tasks that have run before; capacity is kept for them before other work can take it
    DelayedServing, ///< serving tasks that have waited for too long for their first run, see FleetLimits::m_servingMaxDelay
    IdleJob, ///< one task of a job that has no run and has waited for too long, whatever its rank, see FleetLimits::m_maxIdle
    Ranked,
};

/// @brief Sort key of a waiting job; the lowest rank is placed first.
struct JobRank {
    PlacementTurn m_turn = PlacementTurn::Ranked;
    std::uint32_t m_priority = 0;
    bool m_isDeferred = false; ///< serving tasks go after finite work, which frees its capacity again
    std::uint8_t m_lateness = 0; ///< 0: can meet its objective, 1: misses it, 2: misses its expiry, see FleetJob::expiry()
    double m_cost = 0; ///< remaining core seconds divided by the weight of the job
    TimePoint m_deadline;
    TimePoint m_heldBackSince; ///< set for PlacementTurn::IdleJob only

    [[nodiscard]] auto operator<=>(const JobRank &) const noexcept = default;
};
}
