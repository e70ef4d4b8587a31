#include "burdockspur/host/leastloadedpicker.hpp"

#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/host/targettable.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// @brief Selects a lightly loaded, eligible worker from a group of workers.
class TargetSelector
{
public:
    TargetSelector(const PickCriteria &criteria, bool allowAvoided)
        : m_criteria(criteria)
        , m_allowAvoided(allowAvoided)
    {
    }

    [[nodiscard]] auto isEligible(const Target &target) const -> bool
    {
        return target.accepts(m_criteria.m_now) && target.hasFreeSlot() && (m_allowAvoided || !target.isAvoided(m_criteria.m_now))
            && std::ranges::find(m_criteria.m_excluded, target.m_record.m_name) == m_criteria.m_excluded.end();
    }

    [[nodiscard]] auto lessLoadedOfTwoRandom(std::span<Target *const> group, RandomSource &random) const -> Target *
    {
        const auto size = static_cast<std::uint32_t>(group.size());
        Target *const first = group[random.below(size)];
        Target *const second = group[random.below(size)];
        if (!isEligible(*first)) {
            return isEligible(*second) ? second : nullptr;
        }
        return isEligible(*second) && second->load() < first->load() ? second : first;
    }

    [[nodiscard]] auto leastLoadedOfAll(std::span<Target *const> group) const -> Target *
    {
        Target *best = nullptr;
        for (Target *const target : group) {
            if (isEligible(*target) && (best == nullptr || target->load() < best->load())) {
                best = target;
            }
        }
        return best;
    }

    [[nodiscard]] auto select(std::span<Target *const> group, RandomSource &random) const -> Target *
    {
        if (group.empty()) {
            return nullptr;
        }
        Target *const chosen = lessLoadedOfTwoRandom(group, random);
        return chosen != nullptr ? chosen : leastLoadedOfAll(group);
    }

private:
    const PickCriteria &m_criteria;
    bool m_allowAvoided;
};
}

auto LeastLoadedPicker::pick(const TargetTable &table, const PickCriteria &criteria, RandomSource &random) const -> Target *
{
    for (const bool allowAvoided : {false, true}) {
        const TargetSelector selector(criteria, allowAvoided);
        for (const auto group : {table.local(), table.remote()}) {
            if (Target *const chosen = selector.select(group, random); chosen != nullptr) {
                return chosen;
            }
        }
    }
    return nullptr;
}
}
