#include "burdockspur/fleet/lookahead/startwaits.hpp"

#include "burdockspur/fleet/fleetjob.hpp"

namespace Burdockspur
{
namespace
{
/// Waits beyond it are dropped if nobody takes them.
constexpr std::size_t maxWaits = 4'096;
}

auto StartWaits::record(const FleetJob &job, TimePoint now) -> void
{
    // A job with due times waits for these first.
    if (job.job().m_repeats > 0) {
        return;
    }
    const auto size = m_sizes.record(job.job().m_policy.m_name, job.totalWork());
    if (m_waits.size() < maxWaits) {
        m_waits.push_back({size, now - job.acceptedAt()});
    }
}
}
