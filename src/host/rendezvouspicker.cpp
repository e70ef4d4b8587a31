#include "burdockspur/host/rendezvouspicker.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/host/targettable.hpp"

#include <algorithm>

namespace Burdockspur
{
auto RendezvousPicker::pick(const TargetTable &table, const PickCriteria &criteria, RandomSource & /*random*/) const -> Target *
{
    const auto affinity = hashOf(criteria.m_affinity);
    Target *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto group : {table.local(), table.remote()}) {
        for (Target *const target : group) {
            const auto &name = target->m_record.m_name;
            const auto score = hashOf(name, affinity);
            const bool better = best == nullptr || score > bestScore || (score == bestScore && name < best->m_record.m_name);
            if (better && std::ranges::find(criteria.m_excluded, name) == criteria.m_excluded.end()) {
                best = target;
                bestScore = score;
            }
        }
    }
    return best;
}
}
