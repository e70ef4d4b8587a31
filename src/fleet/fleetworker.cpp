#include "burdockspur/fleet/fleetworker.hpp"

#include "burdockspur/core/invariant.hpp"
#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/fleetlimits.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Burdockspur
{
namespace
{
auto countRun(const TaskRun &run, int change) noexcept -> void
{
    if (run.m_job != nullptr) {
        run.m_job->countRuns(change);
    }
}
}

FleetWorker::FleetWorker(WorkerRecord record, const FleetLimits &limits, TimePoint unknownUntil)
    : m_record(std::move(record))
    , m_life(limits.m_clockDrift, unknownUntil)
{
}

auto FleetWorker::add(TaskRun &&run) -> TaskRun &
{
    m_reserved += run.m_reserved;
    (run.m_isServing ? m_servingCpu : m_otherCpu) += run.m_cpuMillis;
    m_roomsAt = {};
    const auto [entry, isNew] = m_runs.emplace(run.m_task.text(), std::move(run));
    requireInvariant(isNew, "one_run_of_a_task_on_a_worker", entry->first);
    countRun(entry->second, 1);
    m_hasRecorded = m_hasRecorded || entry->second.m_stage == RunStage::Recorded;
    return entry->second;
}

auto FleetWorker::noteEnds(std::uint64_t change) -> void
{
    m_endMarks.push_back({m_seenEnd, change});
}

auto FleetWorker::endBefore(std::uint64_t change) const noexcept -> std::uint64_t
{
    // Both numbers rise from mark to mark.
    const auto later = std::ranges::lower_bound(m_endMarks, change, {}, &EndMark::m_change);
    return later == m_endMarks.begin() ? 0 : std::prev(later)->m_end;
}

auto FleetWorker::noteDurable(std::uint64_t end) -> void
{
    m_durableEnd = std::max(m_durableEnd, end);
    while (!m_endMarks.empty() && m_endMarks.front().m_end <= m_durableEnd) {
        m_endMarks.pop_front();
    }
}

auto FleetWorker::remove(std::string_view task) -> void
{
    const auto entry = m_runs.find(task);
    if (entry != m_runs.end()) {
        m_reserved -= entry->second.m_reserved;
        (entry->second.m_isServing ? m_servingCpu : m_otherCpu) -= entry->second.m_cpuMillis;
        m_roomsAt = {};
        countRun(entry->second, -1);
        m_runs.erase(entry);
    }
}

auto FleetWorker::takeRuns() -> std::map<std::string, TaskRun, std::less<>>
{
    m_reserved = {};
    m_servingCpu = 0;
    m_otherCpu = 0;
    m_roomsAt = {};
    for (const auto &[name, run] : m_runs) {
        countRun(run, -1);
    }
    return std::exchange(m_runs, {});
}

auto FleetWorker::wantStop(TaskRun &run) noexcept -> void
{
    run.m_stopWanted = true;
    m_hasStops = true;
}

auto FleetWorker::run(std::string_view task) noexcept -> TaskRun *
{
    const auto entry = m_runs.find(task);
    return entry == m_runs.end() ? nullptr : &entry->second;
}

auto FleetWorker::free() const noexcept -> Resources
{
    Resources left = m_record.m_capacity;
    left -= m_reserved;
    return left;
}

auto FleetWorker::fillRoom(const FleetLimits &limits) const noexcept -> std::int64_t
{
    const auto usable = static_cast<double>(m_record.m_capacity.m_cpuMillis) * limits.m_fillCeiling;
    return static_cast<std::int64_t>(usable - static_cast<double>(m_servingCpu) * limits.m_servingUse - static_cast<double>(m_otherCpu));
}

auto FleetWorker::countOf(const TaskId &task) const noexcept -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::ranges::count_if(m_runs, [&task](const auto &entry) {
        const TaskId &other = entry.second.m_task;
        return other.m_step == task.m_step && other.m_occurrence == task.m_occurrence && other.m_job == task.m_job;
    }));
}

auto FleetWorker::isOpen(const FleetLimits &limits, TimePoint now) const noexcept -> bool
{
    return m_isListed && m_isTaken && !m_record.m_drainRemaining && !m_hasForeignRuns && now - m_heardAt <= limits.m_reportFresh;
}
}
