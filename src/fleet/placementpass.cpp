#include "burdockspur/fleet/placementpass.hpp"

namespace Burdockspur
{
auto PlacementPass::beginRound(bool hasBetterRanked) noexcept -> bool
{
    m_wantsFront = m_wantsFront || hasBetterRanked;
    m_isAtFront = !m_position || (m_wantsFront && !m_hasReturned);
    m_wantsFront = m_wantsFront && !m_isAtFront;
    return m_isAtFront;
}

auto PlacementPass::interrupt(const PlacementGroup &group) -> void
{
    m_hasReturned = m_isAtFront && m_position;
    // A round from the front that has not come as far as the rounds before it does not set the pass back.
    if (!m_isAtFront || !hasTried(group)) {
        m_position = PlacementPosition{group.m_rank, group.m_job->job().m_id, group.m_step->m_occurrence, group.m_step->m_step};
    }
}

auto PlacementPass::reset() noexcept -> void
{
    *this = {};
}
}
