#pragma once

#include "burdockspur/fleet/placementgroup.hpp"
#include "burdockspur/fleet/taskkinds.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace Burdockspur
{
/// @brief Hands out the groups of one round of placement, best first.
///
/// One heap for each kind of tasks, and for each kind the demands that found no room: a group that demands at least as much
/// is left out by a few comparisons, without a look at the workers or at its tasks.
class PlacementOrder
{
public:
    /// @param kinds outlive the order
    explicit PlacementOrder(const TaskKinds &kinds);

    auto add(const PlacementGroup &group) -> void;

    /// @brief Ends the additions.
    auto arrange() -> void;

    /// @brief The next group that may find room; nothing when there is none.
    [[nodiscard]] auto next() -> std::optional<PlacementGroup>;

    /// @brief Notes that tasks like those of a group found no room.
    auto close(const PlacementGroup &group) -> void;

private:
    [[nodiscard]] auto isClosed(const PlacementGroup &group) const noexcept -> bool;

    const TaskKinds &m_kinds;
    std::vector<std::vector<PlacementGroup>> m_groups; ///< heaps, by kind
    std::vector<std::size_t> m_heads; ///< heap of the kinds by their best group
    std::vector<std::vector<Resources>> m_closed; ///< least demands that found no room, by kind
};
}
