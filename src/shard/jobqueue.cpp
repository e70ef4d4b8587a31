#include "burdockspur/shard/jobqueue.hpp"

#include <algorithm>

namespace Burdockspur
{
auto JobQueue::positionOf(const JobRecord &record) noexcept -> Position
{
    return {.m_normal = !record.m_job.m_spec.m_urgent, .m_submission = record.m_submission};
}

auto JobQueue::insert(const JobRecord &record) -> void
{
    const Position position = positionOf(record);
    m_jobs.insert_or_assign(position, record.m_job.m_id);
    m_next = std::min(m_next, position);
}

auto JobQueue::erase(const JobRecord &record) -> void
{
    m_jobs.erase(positionOf(record));
}

auto JobQueue::rewind() noexcept -> void
{
    m_next = Position();
}

auto JobQueue::scan(std::size_t limit) -> std::vector<std::string>
{
    std::vector<std::string> ids;
    auto job = m_jobs.lower_bound(m_next);
    for (; job != m_jobs.end() && ids.size() < limit; ++job) {
        ids.push_back(job->second);
        m_next = {.m_normal = job->first.m_normal, .m_submission = job->first.m_submission + 1};
    }
    return ids;
}

auto JobQueue::isScanned() const noexcept -> bool
{
    return m_jobs.empty() || m_jobs.rbegin()->first < m_next;
}
}
