#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Burdockspur
{
/// @brief The demands of counted tasks: what is usual, what is large, and which large shapes were seen recently.
///
/// The share of a worker is that of its scarcer resource, processors or memory, relative to the mean worker.
class DemandShapes
{
public:
    /// @param largeFactor see LookAheadLimits::m_largeFactor
    explicit DemandShapes(double largeFactor) noexcept;

    /// @brief Records the capacity of the mean worker.
    auto setMeanWorker(const Resources &meanWorker) noexcept -> void;

    /// @brief Records tasks that were seen waiting for the first time or were placed.
    auto record(const Resources &demand, double tasks, TimePoint now) -> void;

    /// @brief True if a task needs much more than the usual share of a worker.
    [[nodiscard]] auto isLarge(const Resources &demand) const noexcept -> bool;

    /// @brief How much recent large work fits on a worker, but would not beside a further task.
    /// @param free free resources of the worker
    /// @param demand of the task
    /// @returns 0 if the task takes room from no large work; at most 1
    [[nodiscard]] auto lossOf(const Resources &free, const Resources &demand) const noexcept -> double;

    /// @brief Room that a task leaves, as the sum of the shares of processors and memory of the mean worker.
    [[nodiscard]] auto restOf(const Resources &free, const Resources &demand) const noexcept -> double;

    [[nodiscard]] auto shapeCount() const noexcept -> std::size_t
    {
        return m_shapes.size();
    }

private:
    struct Shape {
        Resources m_demand; ///< the largest of the shape
        double m_weight = 0;
    };

    [[nodiscard]] auto shareOf(const Resources &demand) const noexcept -> double;

    double m_largeFactor;
    Resources m_meanWorker;
    double m_meanShare = 0; ///< of a worker, by task; 0 before the first one
    std::vector<Shape> m_shapes;
    double m_totalWeight = 0;
    TimePoint m_decayedAt;
};
}
