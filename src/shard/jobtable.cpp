#include "burdockspur/shard/jobtable.hpp"

#include "burdockspur/core/invariant.hpp"

namespace Burdockspur
{
auto JobTable::put(const JobRecord &record) -> JobEntry &
{
    const auto [entry, added] = m_entries.try_emplace(record.m_job.m_id);
    const JobState state = record.m_job.m_state;
    if (added) {
        ++m_counts[static_cast<std::size_t>(entry->second.m_record.m_job.m_state)];
    }
    setState(entry->second, state);
    entry->second.m_record = record;
    if (added && isTerminal(state)) {
        m_ended.push_back(record.m_job.m_id);
    }
    return entry->second;
}

auto JobTable::find(std::string_view id) -> JobEntry *
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

auto JobTable::find(std::string_view id) const -> const JobEntry *
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

auto JobTable::at(std::string_view id) const -> const JobEntry &
{
    const auto found = m_entries.find(id);
    requireInvariant(found != m_entries.end(), "job_exists", id);
    return found->second;
}

auto JobTable::setState(JobEntry &entry, JobState state) -> void
{
    --m_counts[static_cast<std::size_t>(entry.m_record.m_job.m_state)];
    ++m_counts[static_cast<std::size_t>(state)];
    if (isTerminal(state) && !isTerminal(entry.m_record.m_job.m_state) && !entry.m_record.m_job.m_id.empty()) {
        m_ended.push_back(entry.m_record.m_job.m_id);
    }
    entry.m_record.m_job.m_state = state;
}

auto JobTable::setDue(JobEntry &entry, TimePoint due) -> void
{
    if (entry.m_due != TimePoint::max()) {
        m_timers.erase({entry.m_due, entry.m_record.m_job.m_id});
    }
    entry.m_due = due;
    if (due != TimePoint::max()) {
        m_timers.emplace(due, entry.m_record.m_job.m_id);
    }
}

auto JobTable::dueJobs(TimePoint now) const -> std::vector<std::string>
{
    std::vector<std::string> ids;
    for (const auto &[due, id] : m_timers) {
        if (due > now) {
            break;
        }
        ids.push_back(id);
    }
    return ids;
}

auto JobTable::deadline() const noexcept -> TimePoint
{
    return m_timers.empty() ? TimePoint::max() : m_timers.begin()->first;
}

auto JobTable::trimEnded(std::size_t maxEnded, const std::function<bool(std::string_view)> &isNeeded) -> void
{
    while (m_ended.size() > maxEnded && !isNeeded(m_ended.front())) {
        const auto entry = m_entries.find(m_ended.front());
        m_ended.pop_front();
        if (entry != m_entries.end() && isTerminal(entry->second.m_record.m_job.m_state)) {
            --m_counts[static_cast<std::size_t>(entry->second.m_record.m_job.m_state)];
            m_entries.erase(entry);
        }
    }
}

auto JobTable::list(const JobState *state, std::string_view after, std::size_t limit, std::vector<Job> &jobs) const -> void
{
    for (auto entry = m_entries.upper_bound(after); entry != m_entries.end() && jobs.size() < limit; ++entry) {
        const Job &job = entry->second.m_record.m_job;
        if (state == nullptr || job.m_state == *state) {
            jobs.push_back(job);
        }
    }
}

auto JobTable::records() const -> std::vector<JobRecord>
{
    std::vector<JobRecord> records;
    records.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        records.push_back(entry.m_record);
    }
    return records;
}
}
