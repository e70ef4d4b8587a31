#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/placementgroup.hpp"

#include <optional>

namespace Burdockspur
{
/// @brief Position of a pass of placement over the waiting groups, which takes several rounds when a round runs out of tries.
///
/// The next round resumes where the last one stopped, so that groups that fit nowhere do not keep the later ones from being tried. When better ranked
/// groups have come meanwhile, every second round begins at the front instead: the pass over a long backlog takes longer than urgent work may wait. It
/// then tries all groups in their order, because what has become free belongs to the best of them, not to the newest.
class PlacementPass
{
public:
    /// @brief Begins a round.
    /// @param hasBetterRanked true if groups that the pass has left behind have got new tasks
    /// @returns true if the round begins at the front; the round after it resumes
    auto beginRound(bool hasBetterRanked) noexcept -> bool;

    /// @brief Records that the round ran out of tries at a group.
    auto interrupt(const PlacementGroup &group) -> void;

    /// @brief Begins a new pass with the next round.
    auto reset() noexcept -> void;

    /// @brief True between two rounds of a pass.
    [[nodiscard]] auto isOpen() const noexcept -> bool
    {
        return m_position.has_value();
    }

    /// @brief True for a group that an earlier round of the pass has tried.
    [[nodiscard]] auto hasTried(const PlacementGroup &group) const noexcept -> bool
    {
        return m_position && group.sortKey() < m_position->sortKey();
    }

private:
    std::optional<PlacementPosition> m_position; ///< where the next round begins; at the front if empty
    bool m_wantsFront = false; ///< better ranked groups have come since the last round that began at the front
    bool m_isAtFront = false; ///< the present round has begun at the front
    bool m_hasReturned = false; ///< the last round had begun at the front although the pass was open
};
}
