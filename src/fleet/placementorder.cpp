#include "burdockspur/fleet/placementorder.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Reversed comparison, because the standard heaps have their largest element at the front and the smallest key goes first.
[[nodiscard]] auto isAfter(const PlacementGroup &left, const PlacementGroup &right) noexcept -> bool
{
    return left.sortKey() > right.sortKey();
}
}

PlacementOrder::PlacementOrder(const TaskKinds &kinds)
    : m_kinds(kinds)
    , m_groups(kinds.size())
    , m_unplaceable(kinds.size())
{
}

auto PlacementOrder::add(const PlacementGroup &group) -> void
{
    m_groups[group.m_step->m_kind].push_back(group);
}

auto PlacementOrder::buildHeaps() -> void
{
    for (std::size_t kind = 0; kind < m_groups.size(); ++kind) {
        if (!m_groups[kind].empty()) {
            std::ranges::make_heap(m_groups[kind], isAfter);
            m_kindHeap.push_back(kind);
        }
    }
    std::ranges::make_heap(m_kindHeap, isAfter, [this](std::size_t kind) -> const PlacementGroup & {
        return m_groups[kind].front();
    });
}

auto PlacementOrder::next() -> std::optional<PlacementGroup>
{
    const auto best = [this](std::size_t kind) -> const PlacementGroup & {
        return m_groups[kind].front();
    };
    while (!m_kindHeap.empty()) {
        std::ranges::pop_heap(m_kindHeap, isAfter, best);
        const std::size_t kind = m_kindHeap.back();
        auto &groups = m_groups[kind];
        const PlacementGroup group = groups.front();
        std::ranges::pop_heap(groups, isAfter);
        groups.pop_back();
        if (groups.empty()) {
            m_kindHeap.pop_back();
        } else {
            std::ranges::push_heap(m_kindHeap, isAfter, best);
        }
        const auto *const refusal = refusalOf(group);
        if (refusal == nullptr) {
            return group;
        }
        group.m_job->m_refusal = *refusal;
    }
    return std::nullopt;
}

auto PlacementOrder::markUnplaceable(const PlacementGroup &group, const PlacementRefusal &refusal) -> void
{
    const auto &demand = group.demand();
    const auto &refusedKind = m_kinds.kind(group.m_step->m_kind);
    for (std::size_t kind = 0; kind < m_unplaceable.size(); ++kind) {
        if (!m_groups[kind].empty() && refusedKind.isNoStricterThan(m_kinds.kind(kind))) {
            std::erase_if(m_unplaceable[kind], [&demand](const RefusedDemand &known) {
                return demand.fitsInto(known.m_demand);
            });
            m_unplaceable[kind].push_back({demand, refusal});
        }
    }
}

auto PlacementOrder::refusalOf(const PlacementGroup &group) const noexcept -> const PlacementRefusal *
{
    const auto &refused = m_unplaceable[group.m_step->m_kind];
    const auto found = std::ranges::find_if(refused, [&group](const RefusedDemand &known) {
        return known.m_demand.fitsInto(group.demand());
    });
    return found == refused.end() ? nullptr : &found->m_refusal;
}
}
