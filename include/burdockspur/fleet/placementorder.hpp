#pragma once

#include "burdockspur/fleet/placementgroup.hpp"
#include "burdockspur/fleet/placementrefusal.hpp"
#include "burdockspur/fleet/taskkinds.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace Burdockspur
{
/// @brief Priority queue of the groups of one round of placement.
///
/// Holds one heap for each kind of tasks, and for each kind the demands for which no worker had enough free capacity. A group that
/// demands at least as much is skipped after a few comparisons, without examining its tasks or the workers.
class PlacementOrder
{
public:
    /// @param kinds must outlive the object
    explicit PlacementOrder(const TaskKinds &kinds);

    auto add(const PlacementGroup &group) -> void;

    /// @brief Builds the heaps; called once, after the last add() and before next().
    auto buildHeaps() -> void;

    /// @brief Removes and returns the best group that may still fit; nothing when none is left.
    ///
    /// The jobs of groups that are skipped get the refusal of the group that was found not to fit.
    [[nodiscard]] auto next() -> std::optional<PlacementGroup>;

    /// @brief Excludes a group for which no worker has enough free capacity, and the groups that demand at least as much and whose kind
    /// is at least as strict.
    ///
    /// @param refusal result of the search for a worker
    /// @see TaskKind::isNoStricterThan()
    auto markUnplaceable(const PlacementGroup &group, const PlacementRefusal &refusal) -> void;

private:
    /// A demand that does not fit on any worker.
    struct RefusedDemand {
        Resources m_demand;
        PlacementRefusal m_refusal;
    };

    /// @brief Refusal of an earlier group that shows that a group does not fit; nullptr if there is none.
    [[nodiscard]] auto refusalOf(const PlacementGroup &group) const noexcept -> const PlacementRefusal *;

    const TaskKinds &m_kinds;
    std::vector<std::vector<PlacementGroup>> m_groups; ///< heaps, by kind
    std::vector<std::size_t> m_kindHeap; ///< kinds with groups left, ordered by their best group
    std::vector<std::vector<RefusedDemand>> m_unplaceable; ///< smallest demands that do not fit on any worker, by kind
};
}
