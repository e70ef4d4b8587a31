#include "burdockspur/fleet/fleetworker.hpp"

#include "burdockspur/core/invariant.hpp"
#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/fleetlimits.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace Burdockspur
{
namespace
{
/// Consecutive unanswered reports after which a worker counts as silent. A single one may be caused by the connection, e.g. one that was
/// silently dropped; the next report uses a new connection.
constexpr std::uint32_t silentReports = 2;

/// Time before the removal of a draining worker at which its runs are stopped, so that it can still report their ends (twice the
/// platform's bound of 200 ms, plus a call).
constexpr Milliseconds drainReserve{900};

auto adjustJobRunCount(const TaskRun &run, int change) noexcept -> void
{
    if (run.m_job != nullptr) {
        run.m_job->adjustRunCount(change);
    }
}
}

FleetWorker::FleetWorker(WorkerRecord record, const FleetLimits &limits, TimePoint inheritedLeaseEnd)
    : m_record(std::move(record))
    , m_incarnation(m_record.m_incarnation)
    , m_workerLease(limits.m_clockDrift, inheritedLeaseEnd)
{
}

auto FleetWorker::applyEntry(const WorkerRecord &entry, TimePoint now) -> void
{
    m_isListed = true;
    // An entry of another incarnation belongs to a restart that is not noticed yet, to a former incarnation, or to another writer. Its number does not
    // tell which, because wall clocks jump.
    const bool isForOther = entry.m_incarnation != m_incarnation && isDescribed() && m_answeredAt && m_isAnswering;
    if (!isForOther) {
        m_laterEntry.reset();
        replaceRecord(entry, now);
        return;
    }
    if (!m_laterEntry || m_laterEntry->m_record.m_incarnation != entry.m_incarnation) {
        logEvent(LogLevel::Info, "worker_entry_deferred", {{"worker", entry.m_id}, {"entry_incarnation", entry.m_incarnation}, {"incarnation", m_incarnation}});
    }
    m_laterEntry = LaterEntry{entry, now};
}

auto FleetWorker::applyLaterEntry() -> void
{
    if (const auto entry = std::exchange(m_laterEntry, std::nullopt)) {
        replaceRecord(entry->m_record, entry->m_receivedAt);
    }
}

auto FleetWorker::replaceRecord(const WorkerRecord &record, TimePoint receivedAt) -> void
{
    const bool wasDescribed = isDescribed();
    // A new worker already has the record, but not yet the time.
    const bool wasDraining = m_record.m_incarnation == record.m_incarnation && m_drainEndsAt != TimePoint::max();
    m_record = record;
    if (!record.m_drainRemaining) {
        m_drainEndsAt = TimePoint::max();
    } else if (!wasDraining) {
        m_drainEndsAt = receivedAt + *record.m_drainRemaining;
        logEvent(LogLevel::Info, "worker_draining", {{"worker", record.m_id}, {"left_ms", record.m_drainRemaining->count()}, {"runs", m_runs.size()}});
    }
    if (isDescribed() && !wasDescribed) {
        logEvent(LogLevel::Info, "worker_described", {{"worker", record.m_id}, {"incarnation", m_incarnation}});
    }
}

auto FleetWorker::declaredCpuOf(const TaskRun &run) noexcept -> std::int64_t &
{
    if (run.m_isServing) {
        return m_servingCpu;
    }
    return run.m_isYielding ? m_yieldingCpu : m_otherCpu;
}

auto FleetWorker::addRun(TaskRun &&run) -> TaskRun &
{
    m_reserved += run.m_reserved;
    if (!run.m_isServing) {
        m_finiteReserved += run.m_reserved;
    }
    declaredCpuOf(run) += run.m_cpuMillis;
    m_servingHeadroomsAt = {};
    const auto [entry, isNew] = m_runs.emplace(run.m_task.text(), std::move(run));
    requireInvariant(isNew, "one_run_of_a_task_on_a_worker", entry->first);
    adjustJobRunCount(entry->second, 1);
    m_mayHaveUnsentRuns = m_mayHaveUnsentRuns || entry->second.m_stage == RunStage::Unsent;
    return entry->second;
}

auto FleetWorker::recordProcessedEnds(std::uint64_t change) -> void
{
    m_endMarks.push_back({m_processedEnd, change});
}

auto FleetWorker::lastEndBefore(std::uint64_t change) const noexcept -> std::uint64_t
{
    // Both numbers ascend from mark to mark.
    const auto later = std::ranges::lower_bound(m_endMarks, change, {}, &EndMark::m_change);
    return later == m_endMarks.begin() ? 0 : std::prev(later)->m_end;
}

auto FleetWorker::markEndsDurable(std::uint64_t end) -> void
{
    m_durableEnd = std::max(m_durableEnd, end);
    while (!m_endMarks.empty() && m_endMarks.front().m_end <= m_durableEnd) {
        m_endMarks.pop_front();
    }
}

auto FleetWorker::removeRun(std::string_view task) -> void
{
    const auto entry = m_runs.find(task);
    if (entry != m_runs.end()) {
        m_reserved -= entry->second.m_reserved;
        if (!entry->second.m_isServing) {
            m_finiteReserved -= entry->second.m_reserved;
        }
        declaredCpuOf(entry->second) -= entry->second.m_cpuMillis;
        m_servingHeadroomsAt = {};
        adjustJobRunCount(entry->second, -1);
        m_runs.erase(entry);
    }
}

auto FleetWorker::removeAllRuns() -> std::map<std::string, TaskRun, std::less<>>
{
    m_reserved = {};
    m_finiteReserved = {};
    m_servingCpu = 0;
    m_yieldingCpu = 0;
    m_otherCpu = 0;
    m_servingHeadroomsAt = {};
    for (const auto &[name, run] : m_runs) {
        adjustJobRunCount(run, -1);
    }
    return std::exchange(m_runs, {});
}

auto FleetWorker::markForStop(TaskRun &run) noexcept -> void
{
    run.m_isStopRequested = true;
    m_mayHaveStops = true;
}

auto FleetWorker::findRun(std::string_view task) noexcept -> TaskRun *
{
    const auto entry = m_runs.find(task);
    return entry == m_runs.end() ? nullptr : &entry->second;
}

auto FleetWorker::freeResources() const noexcept -> Resources
{
    Resources left = m_record.m_capacity;
    left -= m_reserved;
    return left;
}

auto FleetWorker::stopFiniteRuns(const Resources &demand, Resources free, std::uint32_t firstPriority) -> std::size_t
{
    std::vector<TaskRun *> candidates;
    for (auto &[name, run] : m_runs) {
        if (run.m_isStopRequested) {
            free += run.m_reserved;
            continue;
        }
        // A run that is not sent may have been assigned earlier in the same round, which would assign it again in the next one.
        const bool isStoppable = run.m_stage != RunStage::Unsent && !run.m_isServing && !run.m_job->stepOf(run.m_task).m_isGang;
        if (isStoppable && run.m_priority >= firstPriority) {
            candidates.push_back(&run);
        }
    }
    // Copies go first, because their tasks run on. The latest runs have done the least work, which is lost.
    std::ranges::sort(candidates, std::ranges::greater{}, [](const TaskRun *run) {
        return std::pair(run->m_isCopy, run->m_assignedAt);
    });
    std::size_t stopped = 0;
    for (auto *const run : candidates) {
        if (demand.fitsInto(free)) {
            break;
        }
        free += run->m_reserved;
        markForStop(*run);
        ++stopped;
    }
    return stopped;
}

auto FleetWorker::freeFillingCpu(const FleetLimits &limits) const noexcept -> std::int64_t
{
    const auto usable = static_cast<double>(m_record.m_capacity.m_cpuMillis) * limits.m_maxFillingUse;
    return static_cast<std::int64_t>(usable - static_cast<double>(m_servingCpu) * limits.m_assumedServingUse - static_cast<double>(m_otherCpu));
}

auto FleetWorker::admitYieldingRun(TaskRun &run) noexcept -> void
{
    m_yieldingCpu -= run.m_cpuMillis;
    run.m_isYielding = false;
    run.m_paceLimit = fullPacePercent;
    m_otherCpu += run.m_cpuMillis;
    m_servingHeadroomsAt = {};
}

auto FleetWorker::updatePaceLimits(const FleetLimits &limits) noexcept -> void
{
    if (m_yieldingCpu == 0) {
        return;
    }
    const auto share = static_cast<double>(freeFillingCpu(limits)) / static_cast<double>(m_yieldingCpu);
    const auto limit = std::max(limits.m_minYieldingPace, static_cast<int>(fullPacePercent * std::clamp(share, 0.0, 1.0)));
    for (auto &[name, run] : m_runs) {
        run.m_paceLimit = run.m_isYielding ? limit : fullPacePercent;
    }
}

auto FleetWorker::countTasksOfStep(const TaskId &task) const noexcept -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::ranges::count_if(m_runs, [&task](const auto &entry) {
        const TaskId &other = entry.second.m_task;
        return other.m_step == task.m_step && other.m_occurrence == task.m_occurrence && other.m_job == task.m_job;
    }));
}

auto FleetWorker::stopRunsForRemoval(TimePoint now) noexcept -> void
{
    if (!isDraining()) {
        return;
    }
    for (auto &[name, run] : m_runs) {
        // A serving task is stopped at once, because it never ends by itself; other tasks may still end before the removal.
        if (run.m_isServing || now >= m_drainEndsAt - drainReserve) {
            markForStop(run);
        }
    }
}

auto FleetWorker::hasLapsed(TimePoint now) const noexcept -> bool
{
    // A worker without an address is in no list, so it is never asked.
    const bool isSilent = endpoint().m_port == 0 || m_unansweredReports >= silentReports;
    return isSilent && now >= m_workerLease.latestExpiry();
}

auto FleetWorker::acceptsTasks(const FleetLimits &limits, TimePoint now) const noexcept -> bool
{
    return m_isListed && m_hasReported && isDescribed() && !isDraining() && !m_hasUnknownRuns && now - m_lastReportAt <= limits.m_reportMaxAge;
}
}
