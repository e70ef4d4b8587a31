#include "burdockspur/fleet/lookahead/lookaheadplacement.hpp"

#include "burdockspur/fleet/lookahead/lookaheadlimits.hpp"
#include "burdockspur/fleet/lookahead/rundurations.hpp"
#include "burdockspur/fleet/placementgroup.hpp"
#include "burdockspur/fleet/poolcapacities.hpp"

#include <algorithm>
#include <utility>

namespace Burdockspur
{
namespace
{
/// Refused claims that are kept for the rest of a round.
constexpr std::size_t maxRefusedClaims = 32;
/// Fits are integers, in thousandths.
constexpr double thousandths = 1'000;
}

LookAheadPlacement::LookAheadPlacement(const LookAheadLimits &limits, const RunDurations &durations) noexcept
    : m_limits(limits)
    , m_durations(durations)
    , m_shapes(limits.m_largeFactor)
    , m_reservations(limits, durations)
{
}

auto LookAheadPlacement::isOn() const noexcept -> bool
{
    return m_limits.m_isOn;
}

auto LookAheadPlacement::recordNewShapes(std::span<const PlacementGroup> groups, TimePoint now) -> void
{
    TimePoint newest = m_shapesAt;
    for (const auto &group : groups) {
        const auto &step = group.m_job->job().m_steps[group.m_step->m_step];
        const bool isNew = group.m_step->m_newestSince > m_shapesAt && group.m_rank.m_turn == PlacementTurn::Ranked;
        if (isNew && !step.m_isServing && !step.m_isFilling) {
            m_shapes.record(step.m_demand, static_cast<double>(group.m_step->m_tasks.size()), now);
            newest = std::max(newest, group.m_step->m_newestSince);
        }
    }
    m_shapesAt = newest;
}

auto LookAheadPlacement::age(std::span<PlacementGroup> groups, TimePoint now) const -> void
{
    if (m_limits.m_ageAfter == Milliseconds::max()) {
        return;
    }
    for (auto &group : groups) {
        const auto &step = group.m_job->job().m_steps[group.m_step->m_step];
        const bool isLarge = !step.m_isServing && !step.m_isFilling && (step.m_isGang || m_shapes.isLarge(step.m_demand));
        if (isLarge && now - group.m_job->backlog().m_waitingSince >= m_limits.m_ageAfter) {
            group.m_rank.m_cost = 0;
        }
    }
}

auto LookAheadPlacement::beginRound(std::span<PlacementGroup> groups, PoolCapacities &pools, TimePoint now) -> void
{
    m_refused.clear();
    if (!isOn()) {
        return;
    }
    m_shapes.setMeanWorker(pools.meanWorker());
    recordNewShapes(groups, now);
    m_reservations.refresh(groups, pools, now);
    age(groups, now);
}

auto LookAheadPlacement::endRound(std::span<const PlacementGroup> groups, PoolCapacities &pools, TimePoint now) -> void
{
    if (isOn()) {
        m_reservations.plan(groups, pools, m_shapes, now);
    }
}

auto LookAheadPlacement::claimOf(const PlacementGroup &group, TimePoint now) const -> RoomClaim
{
    const auto &job = group.m_job->job();
    const auto &step = job.m_steps[group.m_step->m_step];
    RoomClaim claim{job.m_id,
                    group.m_step->m_occurrence,
                    group.m_step->m_step,
                    group.m_step->m_kind,
                    step.m_demand,
                    group.m_rank.m_turn,
                    group.m_rank.m_priority,
                    group.m_rank.m_lateness,
                    step.m_isServing,
                    TimePoint::max()};
    claim.m_demand.m_cpuMillis = step.m_isFilling ? 0 : claim.m_demand.m_cpuMillis;
    if (isOn() && !step.m_isServing && m_reservations.count() > 0) {
        claim.m_endsBy = now + m_limits.m_startDelay + m_durations.rangeOf(job, group.m_step->m_step).m_high;
    }
    return claim;
}

auto LookAheadPlacement::isKnownRefused(const RoomClaim &claim) const noexcept -> bool
{
    const auto asksNoMore = [&claim](const RoomClaim &known) {
        return known.m_kind == claim.m_kind && known.m_turn == claim.m_turn && known.m_demand.fitsInto(claim.m_demand) && known.m_endsBy <= claim.m_endsBy
            && std::pair(known.m_priority, known.m_lateness) <= std::pair(claim.m_priority, claim.m_lateness);
    };
    return std::ranges::any_of(m_refused, asksNoMore) && !m_reservations.hasReservation(claim);
}

auto LookAheadPlacement::recordRefusal(const RoomClaim &claim, const PlacementRefusal &refusal) -> void
{
    using enum PlacementGuard;
    const bool dependsOnTask = refusal.workers(StepLimit) + refusal.workers(EarlierRun) > 0;
    if (refusal.workers(LookAhead) > 0 && !dependsOnTask && m_refused.size() < maxRefusedClaims) {
        m_refused.push_back(claim);
        m_lastRefusal = refusal;
    }
}

auto LookAheadPlacement::recordAssignment(const FreeCapacity &capacity, const RoomClaim &claim, TimePoint now) -> void
{
    if (m_reservations.recordAssignment(capacity, claim, now)) {
        m_refused.clear();
    }
}

auto LookAheadPlacement::fitOf(const FreeCapacity &capacity, const RoomClaim &claim) const noexcept -> Fit
{
    const auto reserved = RoomReservations::preferenceOf(capacity, claim);
    if (!isOn() || !m_limits.m_weighsShapes) {
        // Best fit: filling up small remainders keeps large free capacities for large tasks.
        return {reserved, -capacity.m_free.m_cpuMillis};
    }
    return {reserved - static_cast<std::int64_t>(m_shapes.lossOf(capacity.m_free, claim.m_demand) * thousandths),
            -static_cast<std::int64_t>(m_shapes.restOf(capacity.m_free, claim.m_demand) * thousandths)};
}

auto LookAheadPlacement::clear() -> void
{
    m_reservations.clear();
    m_refused.clear();
}
}
