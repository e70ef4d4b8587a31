#include "burdockspur/fleet/jobchanges.hpp"

#include "burdockspur/fleet/fleetjob.hpp"

namespace Burdockspur
{
auto JobChanges::removeJob(FleetJob &job) -> void
{
    m_dirtyJobs.erase(job.changeNumber());
    std::erase(m_staleBacklogs, &job);
    m_waiting.erase(&job);
    m_awaitingDueTime.erase(&job);
}

auto JobChanges::clear() noexcept -> void
{
    m_dirtyJobs.clear();
    m_staleBacklogs.clear();
    m_waiting.clear();
    m_awaitingDueTime.clear();
}
}
