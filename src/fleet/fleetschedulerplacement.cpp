#include "burdockspur/fleet/fleetscheduler.hpp"
#include "burdockspur/impl/fleetschedulerparts.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <tuple>

namespace Burdockspur
{
namespace
{
/// A filling task is placed where at least this share of its processors is unused; the rest it shares.
constexpr double fillShare = 0.7;

/// Worth of a job against its work: this much for any job of a queue, the rest by its work against the mean, up to a
/// largest (the users' weights).
constexpr double fixedWorth = 0.3;
constexpr double largestWorth = 4.0;

/// A step of which a task found no room in this round.
struct Refused {
    std::string_view m_pool;
    const TaskStep *m_step;

    /// True when tasks of another step cannot find room either, so that they need not be tried.
    [[nodiscard]] auto covers(std::string_view pool, const TaskStep &step) const noexcept -> bool
    {
        // Filling tasks of another image may press less, and serving tasks may use workers that others may not.
        const bool isAlike =
            m_step->m_fills == step.m_fills && (!step.m_fills || m_step->m_image == step.m_image) && (m_step->m_isServing || !step.m_isServing);
        return isAlike && m_pool == pool && m_step->m_requiredLabel == step.m_requiredLabel && m_step->m_demand.fitsInto(step.m_demand);
    }
};

/// Serving tasks of one image suffer from the same filling images, so together they leave other workers open for those.
[[nodiscard]] auto imageAffinity(const FleetWorker &worker, ImageId image) noexcept -> int
{
    bool isEmpty = true;
    for (const auto &[name, run] : worker.m_runs) {
        if (run.m_isServing) {
            isEmpty = false;
            if (run.m_image != image) {
                return 0;
            }
        }
    }
    return isEmpty ? 1 : 2;
}

[[nodiscard]] auto hasLabel(const WorkerRecord &record, std::string_view label) noexcept -> bool
{
    return label.empty() || std::ranges::find(record.m_labels, label) != record.m_labels.end();
}
}

auto FleetScheduler::rankOf(const FleetJob &job, const JobQueuePolicy &policy, TimePoint now) const -> JobRank
{
    JobRank rank{.m_priority = policy.m_priority, .m_deadline = job.deadline()};
    rank.m_yields = std::ranges::any_of(job.job().m_steps, &TaskStep::m_isServing);
    if (rank.m_yields) {
        return rank;
    }
    const auto left = job.remaining();
    if (now + left.m_chain > job.expiry()) {
        rank.m_lateness = 2;
    } else if (now + left.m_chain > job.deadline()) {
        rank.m_lateness = 1;
    }
    const auto mean = m_meanWork.find(policy.m_name);
    const double work = mean == m_meanWork.end() || mean->second <= 0 ? 1.0 : job.wholeWork() / mean->second;
    const double worth = std::min(largestWorth, fixedWorth + (1.0 - fixedWorth) * work);
    rank.m_cost = left.m_coreSeconds / worth;
    return rank;
}

auto FleetScheduler::collectWaiting(TimePoint now) -> std::vector<WaitingTask>
{
    std::vector<WaitingTask> waiting;
    std::map<std::string, TimePoint> servingWaits;
    for (auto &[id, job] : m_activeJobs) {
        if (isFinal(job->progress().m_phase)) {
            continue;
        }
        const auto &policy = policyOf(*job);
        if (policy.m_needsAdvice) {
            // A queue may get advice after it has accepted jobs; without a ticket every start would be refused.
            continue;
        }
        const auto rank = rankOf(*job, policy, now);
        for (auto &occurrence : job->openOccurrences()) {
            for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
                if (!job->isReady(occurrence, step)) {
                    continue;
                }
                auto &tasks = occurrence.m_steps[step].m_tasks;
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    if (tasks[index].m_phase != TaskPhase::Waiting) {
                        continue;
                    }
                    auto &task = waiting.emplace_back(job, occurrence.m_number, step, index, &tasks[index], &job->job().m_steps[step], &policy, rank);
                    if (rank.m_yields) {
                        const auto name = task.id().text();
                        const auto known = m_servingWaits.find(name);
                        const TimePoint since = known == m_servingWaits.end() ? now : known->second;
                        servingWaits.emplace(name, since);
                        task.m_rank.m_yields = now - since < m_limits.m_servingPatience;
                    }
                }
            }
        }
    }
    m_servingWaits = std::move(servingWaits);
    std::ranges::sort(waiting, {}, &WaitingTask::order);
    return waiting;
}

auto FleetScheduler::placeWaiting(TimePoint now) -> void
{
    const auto waiting = collectWaiting(now);
    std::vector<Refused> refused;
    std::size_t placed = 0;
    for (std::size_t i = 0; i < waiting.size();) {
        const auto &task = waiting[i];
        if (task.m_step->m_isGang) {
            const auto isMember = [&](const WaitingTask &other) {
                return other.m_job == task.m_job && other.m_occurrence == task.m_occurrence && other.m_stepNumber == task.m_stepNumber;
            };
            const auto end = std::find_if_not(waiting.begin() + static_cast<std::ptrdiff_t>(i), waiting.end(), isMember);
            const std::span members(waiting.begin() + static_cast<std::ptrdiff_t>(i), end);
            // All members start together, so a member that is still ending holds back the others.
            if (members.size() == task.m_step->m_count && placeGang(members, now)) {
                placed += members.size();
            }
            i += members.size();
            continue;
        }
        ++i;
        const bool isHopeless = std::ranges::any_of(refused, [&task](const Refused &kind) {
            return kind.covers(task.m_policy->m_pool, *task.m_step);
        });
        if (isHopeless) {
            continue;
        }
        if (auto *const worker = chooseWorker(task, now); worker != nullptr) {
            assign(task, *worker, task.m_progress->m_run + 1, now);
            ++placed;
        } else if (task.m_step->m_maxPerWorker == 0) {
            refused.push_back({task.m_policy->m_pool, task.m_step});
        }
    }
    m_waitingCount = waiting.size() - placed;
    noteBacklog(waiting, now);
}

auto FleetScheduler::noteBacklog(std::span<const WaitingTask> waiting, TimePoint now) -> void
{
    double asked = 0;
    for (const auto &task : waiting) {
        const bool isWaiting = task.m_step->m_fills && task.m_progress->m_phase == TaskPhase::Waiting;
        asked += isWaiting ? static_cast<double>(task.m_step->m_demand.m_cpuMillis) : 0.0;
    }
    double capacity = 1.0;
    for (const auto &[id, worker] : m_workers) {
        capacity += static_cast<double>(worker.m_record.m_capacity.m_cpuMillis);
    }
    m_paces.noteBacklog(asked / capacity, now);
}

auto FleetScheduler::chooseWorker(const WaitingTask &waiting, TimePoint now) -> FleetWorker *
{
    const auto &step = *waiting.m_step;
    Resources demand = step.m_demand;
    demand.m_cpuMillis = step.m_fills ? 0 : demand.m_cpuMillis;
    const auto image = m_paces.model().imageId(step.m_image);
    const auto task = waiting.id();
    const auto name = task.text();
    FleetWorker *best = nullptr;
    std::tuple<bool, bool, int, std::int64_t> bestRank;
    for (auto &[id, worker] : m_workers) {
        if (!worker.isOpen(m_limits, now) || !demand.fitsInto(worker.free())) {
            continue;
        }
        if (worker.m_record.m_pool != waiting.m_policy->m_pool || !hasLabel(worker.m_record, step.m_requiredLabel)) {
            continue;
        }
        // A serving task rather runs on a doubtful worker than nowhere; other tasks would use up their attempts there.
        const bool isTrusted = worker.m_health.isTrusted(now);
        if (!isTrusted && !step.m_isServing) {
            continue;
        }
        int affinity = 0;
        std::int64_t fit = 0;
        if (step.m_fills) {
            if (static_cast<double>(worker.fillRoom(m_limits)) < fillShare * static_cast<double>(step.m_demand.m_cpuMillis)) {
                continue;
            }
            const auto fillFit = m_paces.fitOf(worker, image, step.m_demand.m_cpuMillis, now);
            if (fillFit.m_slack < 0) {
                continue;
            }
            // Thousandths, so that both kinds of fit are whole numbers.
            fit = static_cast<std::int64_t>(fillFit.rank() * 1000);
        } else {
            // Best fit: the least room that is left keeps large gaps for large tasks.
            fit = -worker.free().m_cpuMillis;
            affinity = step.m_isServing ? imageAffinity(worker, image) : 0;
        }
        const std::tuple rank(isTrusted, step.m_preferredRack.empty() || worker.m_record.m_rack == step.m_preferredRack, affinity, fit);
        if (best != nullptr && rank <= bestRank) {
            continue;
        }
        // Looked up last, for the few workers that would be chosen.
        const bool isFull = step.m_maxPerWorker != 0 && worker.countOf(task) >= step.m_maxPerWorker;
        if (!isFull && worker.run(name) == nullptr) {
            best = &worker;
            bestRank = rank;
        }
    }
    return best;
}

auto FleetScheduler::placeGang(std::span<const WaitingTask> members, TimePoint now) -> bool
{
    RunNumber run = 0;
    std::string checkpoint;
    for (const auto &member : members) {
        run = std::max(run, member.m_progress->m_run);
        checkpoint = checkpoint.empty() ? member.m_progress->m_checkpoint : checkpoint;
    }
    std::vector<FleetWorker *> chosen;
    for (const auto &member : members) {
        auto *const worker = chooseWorker(member, now);
        if (worker == nullptr) {
            break;
        }
        // Members start from one checkpoint; that of any member is valid for all.
        member.m_progress->m_checkpoint = checkpoint;
        assign(member, *worker, run + 1, now);
        chosen.push_back(worker);
    }
    if (chosen.size() == members.size()) {
        return true;
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        // Nothing was stored or sent since the assignment, so it can be taken back.
        chosen[i]->remove(members[i].id().text());
        auto &task = *members[i].m_progress;
        task.m_phase = TaskPhase::Waiting;
        task.m_worker.clear();
        task.m_incarnation = 0;
    }
    return false;
}

auto FleetScheduler::assign(const WaitingTask &waiting, FleetWorker &worker, RunNumber run, TimePoint now) -> void
{
    const auto id = waiting.id();
    auto &task = *waiting.m_progress;
    task.m_phase = TaskPhase::Assigned;
    task.m_run = run;
    task.m_worker = worker.m_record.m_id;
    task.m_incarnation = worker.m_record.m_incarnation;
    TaskRun entry;
    entry.m_job = waiting.m_job;
    entry.m_task = id;
    entry.m_run = run;
    entry.m_assignedAt = now;
    entry.m_checkpoint = task.m_checkpoint;
    entry.describe(*waiting.m_step, m_paces.model());
    worker.add(std::move(entry));
    worker.m_health.noteAssigned(now);
    waiting.m_job->setPhase(JobPhase::Running);
    waiting.m_job->touch();
    logEvent(LogLevel::Info,
             "task_assigned",
             {{"job", id.m_job},
              {"task", id.text()},
              {"run", run},
              {"worker", task.m_worker},
              {"free_cpu", worker.free().m_cpuMillis},
              {"free_mem", worker.free().m_memoryMb},
              {"report_age_ms", std::chrono::duration_cast<Milliseconds>(now - worker.m_heardAt).count()},
              {"epoch", m_epoch}});
}

auto FleetScheduler::sendStart(FleetWorker &worker, TaskRun &run, TimePoint now) -> void
{
    const bool mayRenew = now - m_storeConfirmedAt <= m_limits.m_renewWithoutStore && worker.m_isAnswering;
    const auto lease = mayRenew ? worker.m_life.extend(m_limits.m_lease, now) : std::nullopt;
    const bool mayStart = !run.m_stopWanted && worker.m_isListed && !worker.m_record.m_leavesIn && !isFinal(run.m_job->progress().m_phase);
    if (run.m_stage == RunStage::Recorded && (!lease || !mayStart)) {
        returnRun(worker, run, !lease ? "no_lease" : "no_longer_wanted");
        return;
    }
    if (!lease || !mayStart) {
        run.m_stopWanted = true;
        return;
    }
    run.m_stage = RunStage::Starting;
    m_commands.emplace_back(RunStartOrder{addressOf(worker), run.m_task, run.m_run, run.m_job->job().m_payload, run.m_checkpoint, *lease});
}
}
