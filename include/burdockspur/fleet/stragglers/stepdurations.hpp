#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/stragglers/durationforecast.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Burdockspur
{
struct TaskId;

/// @brief Durations of the tasks of a job, by step: measured once a run has succeeded, projected from its progress before.
class StepDurations
{
public:
    /// Durations of other tasks of a step without which no forecast is made.
    static constexpr std::size_t minSiblings = 3;

    /// @brief Records the duration of a task, or its projection; replaces an earlier one.
    /// @param count number of tasks of the step
    auto record(const TaskId &task, std::uint32_t count, Duration duration) -> void;

    /// @brief Forecast from the other tasks of the step of a task; empty while too few are known.
    [[nodiscard]] auto forecastFor(const TaskId &task) const -> std::optional<DurationForecast>;

    /// @brief Forgets the steps of the occurrences before one. An occurrence that is still open is then measured anew.
    auto forgetBefore(std::uint32_t occurrence) -> void;

private:
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<float>> m_millis; ///< by occurrence and step; by index of the task, 0 if unknown
};
}
