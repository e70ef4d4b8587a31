#include "burdockspur/fleet/placementorder.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Heaps hold their largest at the front, so the order is reversed.
[[nodiscard]] auto isAfter(const PlacementGroup &left, const PlacementGroup &right) noexcept -> bool
{
    return left.order() > right.order();
}
}

PlacementOrder::PlacementOrder(const TaskKinds &kinds)
    : m_kinds(kinds)
    , m_groups(kinds.size())
    , m_closed(kinds.size())
{
}

auto PlacementOrder::add(const PlacementGroup &group) -> void
{
    m_groups[group.m_step->m_kind].push_back(group);
}

auto PlacementOrder::arrange() -> void
{
    for (std::size_t kind = 0; kind < m_groups.size(); ++kind) {
        if (!m_groups[kind].empty()) {
            std::ranges::make_heap(m_groups[kind], isAfter);
            m_heads.push_back(kind);
        }
    }
    std::ranges::make_heap(m_heads, isAfter, [this](std::size_t kind) -> const PlacementGroup & {
        return m_groups[kind].front();
    });
}

auto PlacementOrder::next() -> std::optional<PlacementGroup>
{
    const auto best = [this](std::size_t kind) -> const PlacementGroup & {
        return m_groups[kind].front();
    };
    while (!m_heads.empty()) {
        std::ranges::pop_heap(m_heads, isAfter, best);
        const std::size_t kind = m_heads.back();
        auto &groups = m_groups[kind];
        const PlacementGroup group = groups.front();
        std::ranges::pop_heap(groups, isAfter);
        groups.pop_back();
        if (groups.empty()) {
            m_heads.pop_back();
        } else {
            std::ranges::push_heap(m_heads, isAfter, best);
        }
        if (!isClosed(group)) {
            return group;
        }
    }
    return std::nullopt;
}

auto PlacementOrder::close(const PlacementGroup &group) -> void
{
    const auto &demand = group.demand();
    const auto &refused = m_kinds.kind(group.m_step->m_kind);
    for (std::size_t kind = 0; kind < m_closed.size(); ++kind) {
        if (!m_groups[kind].empty() && refused.isNoStricterThan(m_kinds.kind(kind))) {
            std::erase_if(m_closed[kind], [&demand](const Resources &known) {
                return demand.fitsInto(known);
            });
            m_closed[kind].push_back(demand);
        }
    }
}

auto PlacementOrder::isClosed(const PlacementGroup &group) const noexcept -> bool
{
    return std::ranges::any_of(m_closed[group.m_step->m_kind], [&group](const Resources &known) {
        return known.fitsInto(group.demand());
    });
}
}
