#pragma once

#include "burdockspur/core/clock.hpp"

#include <optional>

namespace Burdockspur
{
struct TaskRun;

/// @brief Duration of a run that has just succeeded, if it shows what a run of its kind takes.
///
/// A run that was slowed, resumed from a checkpoint, inherited from a former owner, or of which the start is uncertain shows it not, and neither does
/// one on a worker that is not trusted.
/// @param isWorkerTrusted see WorkerHealth::isTrusted()
/// @returns time from its start order to now; empty if it shows nothing
[[nodiscard]] auto undisturbedDuration(const TaskRun &run, bool isWorkerTrusted, TimePoint now) noexcept -> std::optional<Duration>;
}
