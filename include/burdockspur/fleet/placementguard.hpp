#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Burdockspur
{
/// @brief Reason for which a worker is not considered for a waiting task.
enum class PlacementGuard : std::uint8_t {
    Unavailable, ///< the worker accepts no tasks, see FleetWorker::acceptsTasks() and ZoneEvacuation::mayStart()
    Room, ///< its free capacity is too small
    Reservation, ///< its free capacity is kept for serving tasks
    Label, ///< it lacks the required label
    Trust, ///< tasks have failed there recently, see WorkerHealth
    UnusedCpu, ///< too few of its processors are unused
    Headroom, ///< a serving task would not keep its required headroom
    StepLimit, ///< it runs TaskStep::m_maxPerWorker tasks of the step
    EarlierRun, ///< it still has an earlier run of the task
};

constexpr std::size_t placementGuardCount = 9;

/// Names in logs and metrics, in the order of PlacementGuard.
constexpr std::array<std::string_view, placementGuardCount> placementGuardNames{
    "unavailable", "room", "reservation", "label", "trust", "unused_cpu", "headroom", "step_limit", "earlier_run"};
}
