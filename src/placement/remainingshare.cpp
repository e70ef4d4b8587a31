#include "burdockspur/impl/remainingshare.hpp"

#include "burdockspur/contract/job.hpp"
#include "burdockspur/shard/placementpolicy.hpp"
#include "burdockspur/shard/worker.hpp"

#include <algorithm>

namespace Burdockspur
{
auto remainingShare(const JobSpec &spec, const PlacementCandidate &candidate) noexcept -> double
{
    const Resources &capacity = candidate.m_worker->m_host.m_capacity;
    const auto share = [](std::int64_t left, std::int64_t whole) {
        return whole <= 0 ? 1.0 : static_cast<double>(left) / static_cast<double>(whole);
    };
    return std::min(share(candidate.m_free.m_cpuMillis - spec.m_demand.m_cpuMillis, capacity.m_cpuMillis),
                    share(candidate.m_free.m_memoryMb - spec.m_demand.m_memoryMb, capacity.m_memoryMb));
}
}
