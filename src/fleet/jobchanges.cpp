#include "burdockspur/fleet/jobchanges.hpp"

#include "burdockspur/fleet/fleetjob.hpp"

namespace Burdockspur
{
auto JobChanges::forget(FleetJob &job) -> void
{
    m_dirty.erase(job.changeNumber());
    std::erase(m_tasksChanged, &job);
    m_waiting.erase(&job);
    m_due.erase(&job);
}

auto JobChanges::clear() noexcept -> void
{
    m_dirty.clear();
    m_tasksChanged.clear();
    m_waiting.clear();
    m_due.clear();
}
}
