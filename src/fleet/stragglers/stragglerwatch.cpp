#include "burdockspur/fleet/stragglers/stragglerwatch.hpp"

#include "burdockspur/contract/taskjob.hpp"
#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/fleetworker.hpp"
#include "burdockspur/fleet/stragglers/durationmodel.hpp"
#include "burdockspur/fleet/stragglers/stragglersituation.hpp"

#include <algorithm>
#include <chrono>

namespace Burdockspur
{
namespace
{
/// A worker with an unanswered report counts as lost for the purpose of copies after this time without a report. It is longer than the time in which a
/// worker answers again whose connections were reset.
constexpr Milliseconds minSilence{1'000};

/// @brief Progress of a run since a time at which its progress was known.
struct Progress {
    Duration m_observed{0};
    double m_gainedPercent = 0;
};

/// @brief Progress of a run until its worker's last report; empty until a report has listed it.
[[nodiscard]] auto progressOf(const FleetWorker &worker, const TaskRun &run) noexcept -> std::optional<Progress>
{
    if (run.m_stage != RunStage::Running || run.m_firstListedAt == TimePoint{}) {
        return std::nullopt;
    }
    // A start that was confirmed by its answer tells when the run began. Otherwise only two reports show its speed.
    const bool isBeginningKnown = run.m_isUndisturbed && run.m_unansweredStarts == 0 && run.m_confirmedAt < run.m_firstListedAt;
    return isBeginningKnown ? Progress{worker.m_lastReportAt - run.m_confirmedAt, run.m_percent}
                            : Progress{worker.m_lastReportAt - run.m_firstListedAt, run.m_percent - run.m_firstPercent};
}

[[nodiscard]] auto isSilent(const FleetWorker &worker, TimePoint now) noexcept -> bool
{
    return worker.m_unansweredReports > 0 && now - worker.m_lastReportAt >= minSilence;
}

/// @brief What is known of a run and of the durations of such runs, without its job.
[[nodiscard]] auto situationOf(const FleetWorker &worker, const TaskRun &run, const DurationModel &durations, TimePoint now) -> StragglerSituation
{
    const auto &job = *run.m_job;
    const auto progress = progressOf(worker, run).value_or(Progress{});
    StragglerSituation situation;
    situation.m_observed = progress.m_observed;
    situation.m_gainedPercent = progress.m_gainedPercent;
    situation.m_percent = run.m_percent;
    situation.m_sinceReport = now - worker.m_lastReportAt;
    situation.m_leaseLeft = isSilent(worker, now) ? std::optional(worker.m_workerLease.latestExpiry() - now) : std::nullopt;
    situation.m_siblings = job.m_stepDurations.forecastFor(run.m_task);
    situation.m_learned = situation.m_siblings ? std::nullopt : durations.forecast(DurationKey::of(job.job(), run.m_task.m_step));
    situation.m_estimate = job.stepOf(run.m_task).m_estimate;
    return situation;
}

/// @brief Declared duration of the longest chain of steps that follow a step.
[[nodiscard]] auto declaredAfter(const TaskJob &job, std::uint32_t step) -> Milliseconds
{
    std::vector<Milliseconds> ends(job.m_steps.size(), Milliseconds{-1});
    ends[step] = Milliseconds{0};
    Milliseconds longest{0};
    for (std::size_t number = step + 1; number < job.m_steps.size(); ++number) {
        // -1 marks a step that does not depend on the given one; a step depends on earlier ones only.
        for (const auto earlier : job.m_steps[number].m_after) {
            if (ends[earlier].count() >= 0) {
                ends[number] = std::max(ends[number], ends[earlier] + job.m_steps[number].m_estimate);
            }
        }
        longest = std::max(longest, ends[number]);
    }
    return longest;
}
}

auto StragglerWatch::mayBeCopied(const TaskStep &step) noexcept -> bool
{
    return step.m_isSpeculative && !step.m_isServing && !step.m_isGang && !step.m_sameRack && !step.m_isFilling;
}

auto StragglerWatch::worthOf(const FleetWorker &worker, const TaskRun &run, const JobQueuePolicy &policy, const DurationModel &durations, TimePoint now) const
    -> std::optional<CopyWorth>
{
    const auto &job = *run.m_job;
    const auto *const task = job.taskAt(run.m_task);
    // One copy for each run: a second one would meet what has ended the first.
    const bool isSingle = task != nullptr && task->roleOf(run.m_run) == RunRole::Original && task->m_copy.m_run <= run.m_run;
    const bool mayRun = run.m_stage == RunStage::Running || (run.m_stage == RunStage::Unconfirmed && isSilent(worker, now));
    if (!isSingle || !mayRun || run.m_isStopRequested || isFinal(job.progress().m_phase)) {
        return std::nullopt;
    }
    auto situation = situationOf(worker, run, durations, now);
    situation.m_age = now - job.acceptedAt();
    situation.m_declaredObjective = job.deadline() - job.acceptedAt();
    situation.m_target = job.job().m_policy.m_target;
    situation.m_declaredAfter = declaredAfter(job.job(), run.m_task.m_step);
    situation.m_failures = task->m_failures;
    situation.m_maxAttempts = policy.m_maxAttempts;
    return m_policy.worthOf(situation);
}

auto StragglerWatch::isNoFaster(const FleetWorker &worker,
                                const TaskRun &copy,
                                const FleetWorker &originalWorker,
                                const TaskRun &original,
                                const DurationModel &durations,
                                TimePoint now) const -> bool
{
    return m_policy.isNoFaster(situationOf(worker, copy, durations, now), situationOf(originalWorker, original, durations, now));
}

auto StragglerWatch::observe(const FleetWorker &worker, const TaskRun &run, const JobQueuePolicy &policy, const DurationModel &durations, TimePoint now) -> bool
{
    auto &job = *run.m_job;
    const auto &step = job.stepOf(run.m_task);
    if (!mayBeCopied(step)) {
        return false;
    }
    constexpr double whole = 100.0;
    if (const auto progress = progressOf(worker, run); progress && progress->m_gainedPercent > 0 && !run.m_isCopy) {
        job.m_stepDurations.record(run.m_task, step.m_count, std::chrono::duration_cast<Duration>(progress->m_observed * (whole / progress->m_gainedPercent)));
    }
    if (run.m_isCopy) {
        return false;
    }
    const auto name = run.m_task.text();
    const auto worth = worthOf(worker, run, policy, durations, now);
    if (!worth) {
        dropCandidate(name);
        return false;
    }
    return m_candidates.insert_or_assign(name, CopyCandidate{run.m_task, run.m_run, worker.m_record.m_id, run.m_priority, *worth}).second;
}

auto StragglerWatch::candidates() const -> std::vector<CopyCandidate>
{
    std::vector<CopyCandidate> candidates;
    candidates.reserve(m_candidates.size());
    for (const auto &[name, candidate] : m_candidates) {
        candidates.push_back(candidate);
    }
    std::ranges::sort(candidates, [](const CopyCandidate &left, const CopyCandidate &right) {
        return left.isBefore(right);
    });
    return candidates;
}

auto StragglerWatch::dropCandidate(std::string_view task) -> void
{
    if (const auto candidate = m_candidates.find(task); candidate != m_candidates.end()) {
        m_candidates.erase(candidate);
    }
}

auto StragglerWatch::addCopy(const std::string &task, CopyRecord copy, bool isNew) -> void
{
    dropCandidate(task);
    m_copies.insert_or_assign(task, std::move(copy));
    m_counters.m_started += isNew ? 1 : 0;
}

auto StragglerWatch::endCopy(std::string_view task) -> void
{
    if (const auto copy = m_copies.find(task); copy != m_copies.end()) {
        m_copies.erase(copy);
    }
}

auto StragglerWatch::recordWaste(const TaskRun &run, TimePoint now) noexcept -> void
{
    constexpr double millisPerCore = 1000.0;
    if (run.m_confirmedAt != TimePoint{}) {
        m_counters.m_wastedCoreSeconds += static_cast<double>(run.m_cpuMillis) / millisPerCore * std::chrono::duration<double>(now - run.m_confirmedAt).count();
    }
}

auto StragglerWatch::clear() noexcept -> void
{
    m_candidates.clear();
    m_copies.clear();
}
}
