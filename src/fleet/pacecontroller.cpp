#include "burdockspur/fleet/pacecontroller.hpp"

#include "burdockspur/contract/taskjob.hpp"
#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/fleetworker.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Burdockspur
{
namespace
{
/// Required headroom while filling work waits; 1 is the tail target. No margin is added for noise and rising load: the trend of a
/// job filters the noise and extrapolates the load.
constexpr double baseRequiredHeadroom = 1.0;
/// A serving task with less headroom is near its target: it may be over the target within the noise of its samples.
constexpr double nearTargetHeadroom = 1.06;
/// A serving task with less headroom may come near its target before the next report, because filling tasks begin or its load rises.
constexpr double closeHeadroom = 1.6;
/// Rise of the required headroom for each second that a task stays near its target, and the time after which all filling tasks
/// beside it are stopped. The platform allows a task to exceed its target for 4 s, of which samples take 0.5 s, reports 0.7 s and
/// pace orders 0.1 s.
constexpr double requiredHeadroomPerSecond = 0.15;
constexpr double longestNearTargetSeconds = 1.9;
/// Added to the required headroom while no filling work waits; at fullBacklogShare (of all processors) nothing is added. Filling
/// work can be delayed by about its own length, but a serving task over its target cannot wait.
constexpr double extraHeadroomWithoutBacklog = 0.2;
constexpr double fullBacklogShare = 0.04;
constexpr double backlogSmoothingSeconds = 1.5;
/// Larger measured headrooms are cut to this: far from the target they are imprecise.
constexpr double largestHeadroom = 5.0;
/// Assumed for a serving task that has not reported a tail latency yet.
constexpr double unknownHeadroom = 2.5;
/// Samples of two workers are compared only up to this age, because loads change within seconds.
constexpr Milliseconds longestComparableAge{1'200};
/// Filling tasks that use a smaller share of a worker's processors are treated as causing no interference.
constexpr double negligibleFillShare = 0.03;
/// Smoothing factor of a task's headroom deficit against its job, e.g. on a slow worker, and the deficit that is ignored because
/// noise of the samples alone can cause it.
constexpr double deficitSmoothing = 0.35;
constexpr double deficitTolerance = 0.2;
/// Paces use the headroom predicted for this far ahead, which covers most of the time until the next report and pace order.
constexpr Milliseconds paceLookahead{300};
/// Placement uses the lower of the headrooms predicted for now and for this far ahead, when the first sample with the new task is
/// due. A later rise of the load is handled by the task's pace; looking further ahead would delay tasks without need.
constexpr Milliseconds placementLookahead{500};
/// A filling task whose learned loss is at most this is stopped instead of slowed.
constexpr double negligibleLoss = 1e-3;
/// Cached headrooms of serving tasks are recomputed after this time, within which the loads that other workers report for the same
/// jobs change by a few percent.
constexpr Milliseconds servingHeadroomLifetime{100};

[[nodiscard]] auto headroomOf(const TaskRun &run) noexcept -> double
{
    return run.m_load <= 0 ? unknownHeadroom : std::min(largestHeadroom, static_cast<double>(run.m_tailTarget.count()) / run.m_load);
}

[[nodiscard]] auto hasTarget(const TaskRun &run) noexcept -> bool
{
    return run.m_isServing && run.m_tailTarget.count() > 0 && run.m_stage == RunStage::Running;
}

[[nodiscard]] auto capacityOf(const FleetWorker &worker) noexcept -> double
{
    return std::max(1.0, static_cast<double>(worker.m_record.m_capacity.m_cpuMillis));
}

/// @brief Processor shares that the running filling tasks use according to the worker's last report.
[[nodiscard]] auto measuredFillUse(const FleetWorker &worker) -> std::vector<FillUse>
{
    std::vector<FillUse> use;
    for (const auto &[name, run] : worker.m_runs) {
        if (run.m_isFilling && run.m_stage == RunStage::Running) {
            use.push_back({run.m_image, run.m_load / capacityOf(worker)});
        }
    }
    return use;
}

struct MeanHeadroom {
    FleetJob *m_job = nullptr;
    ImageId m_image = 0;
    double m_headroom = 0;
    int m_tasks = 0;
};

/// @brief Computes the mean headroom of each job on a worker.
///
/// The tasks of a job on one worker carry the same load under the same interference, so their mean is less noisy than each
/// sample.
/// @returns the jobs in the order of their tasks' names, so that the model learns from them in the same order in every process
[[nodiscard]] auto meanHeadrooms(const FleetWorker &worker) -> std::vector<MeanHeadroom>
{
    std::vector<MeanHeadroom> means;
    for (const auto &[name, run] : worker.m_runs) {
        if (!hasTarget(run) || run.m_load <= 0) {
            continue;
        }
        // The names of the tasks of a job follow each other.
        if (means.empty() || means.back().m_job != run.m_job) {
            means.push_back({run.m_job, run.m_image, 0, 0});
        }
        auto &mean = means.back();
        mean.m_image = run.m_image;
        mean.m_headroom += (headroomOf(run) - mean.m_headroom) / ++mean.m_tasks;
    }
    return means;
}

[[nodiscard]] auto totalShare(std::span<const FillUse> use) noexcept -> double
{
    double total = 0;
    for (const auto &fill : use) {
        total += fill.m_share;
    }
    return total;
}
}

auto PaceController::addSamples(FleetWorker &worker, TimePoint now) -> void
{
    const auto use = measuredFillUse(worker);
    const bool hasFills = totalShare(use) >= negligibleFillShare;
    const auto means = meanHeadrooms(worker);
    for (const auto &mean : means) {
        learnFromSample(*mean.m_job, mean.m_image, {worker.m_record.m_id, mean.m_headroom, use, now});
    }
    for (auto &[name, run] : worker.m_runs) {
        if (!hasTarget(run) || run.m_load <= 0) {
            run.m_headroomWithoutFills = unknownHeadroom;
            continue;
        }
        const double headroom = std::ranges::find(means, run.m_job, &MeanHeadroom::m_job)->m_headroom;
        // The mean can hide a task that is worse than the others of its job, so its own last two samples count as well. Both have to be
        // good: the noise alone lifts single samples of a task at its target above nearTargetHeadroom.
        const double own = headroomOf(run);
        const double previous = run.m_lastHeadroom > 0 ? run.m_lastHeadroom : own;
        run.m_lastHeadroom = own;
        const bool isNearTarget = std::min(headroom, (own + previous) / 2) < nearTargetHeadroom;
        const bool isAboveTarget = !isNearTarget && std::min(own, previous) >= nearTargetHeadroom;
        if (!hasFills || isAboveTarget) {
            run.m_lowHeadroomSince = {};
        } else if (isNearTarget && run.m_lowHeadroomSince == TimePoint{}) {
            run.m_lowHeadroomSince = now;
        }
        const double withoutFills = std::min(largestHeadroom, headroom + m_model.headroomLoss(use, run.m_image));
        run.m_headroomDeficit += deficitSmoothing * (run.m_job->m_trend.at(now, withoutFills) - withoutFills - run.m_headroomDeficit);
        run.m_headroomWithoutFills = withoutFills;
    }
    for (const auto &mean : means) {
        mean.m_job->m_trend.add(std::min(largestHeadroom, mean.m_headroom + m_model.headroomLoss(use, mean.m_image)), now);
    }
    worker.m_servingHeadroomsAt = {};
}

auto PaceController::learnFromSample(FleetJob &job, ImageId image, FleetJob::HeadroomSample &&sample) -> void
{
    std::erase_if(job.m_headrooms, [&sample](const auto &old) {
        return sample.m_at - old.m_at > longestComparableAge || old.m_worker == sample.m_worker;
    });
    const auto other = std::ranges::min_element(job.m_headrooms, {}, [](const auto &old) {
        return totalShare(old.m_fillUses);
    });
    if (other != job.m_headrooms.end()) {
        // Tasks of one job carry the same load, so a difference in headroom comes from the filling tasks beside them.
        auto difference = sample.m_fillUses;
        for (const auto &fill : other->m_fillUses) {
            difference.push_back({fill.m_image, -fill.m_share});
        }
        m_model.learn(difference, image, other->m_headroom - sample.m_headroom);
    }
    job.m_headrooms.push_back(std::move(sample));
}

auto PaceController::headroomWithoutFills(const TaskRun &run, TimePoint when) const noexcept -> double
{
    const double own = run.m_headroomWithoutFills > 0 ? run.m_headroomWithoutFills : unknownHeadroom;
    return std::min(largestHeadroom, run.m_job->m_trend.at(when, own) - std::max(0.0, run.m_headroomDeficit - deficitTolerance));
}

auto PaceController::recordBacklog(double share, TimePoint now) noexcept -> void
{
    const auto elapsed = std::chrono::duration<double>(now - m_backlogAt).count();
    const double kept = m_backlogAt == TimePoint{} ? 0.0 : std::exp(-elapsed / backlogSmoothingSeconds);
    m_backlogShare = kept * m_backlogShare + (1.0 - kept) * share;
    m_backlogAt = now;
}

auto PaceController::requiredHeadroom() const noexcept -> double
{
    return baseRequiredHeadroom + extraHeadroomWithoutBacklog * (1.0 - std::min(1.0, m_backlogShare / fullBacklogShare));
}

auto PaceController::plan(FleetWorker &worker, TimePoint now) const -> std::vector<PacePlan>
{
    struct Fill {
        TaskRun *m_run;
        double m_share; ///< at full pace
        double m_pace; ///< percent
    };
    std::vector<Fill> fills;
    std::vector<const TaskRun *> serving;
    for (auto &[name, run] : worker.m_runs) {
        if (run.m_isFilling && run.m_stage == RunStage::Running) {
            fills.push_back({&run, static_cast<double>(run.m_cpuMillis) / capacityOf(worker), static_cast<double>(run.m_paceLimit)});
        } else if (hasTarget(run)) {
            serving.push_back(&run);
        }
    }
    for (const auto *const task : serving) {
        const auto lossOf = [&](const Fill &fill) {
            return m_model.weight(fill.m_run->m_image, task->m_image) * fill.m_share * fill.m_pace / fullPacePercent;
        };
        const auto nearTargetSeconds = task->m_lowHeadroomSince == TimePoint{} ? 0.0 : std::chrono::duration<double>(now - task->m_lowHeadroomSince).count();
        if (nearTargetSeconds >= longestNearTargetSeconds) {
            for (auto &fill : fills) {
                fill.m_pace = 0;
            }
            continue;
        }
        const double required = this->requiredHeadroom() + nearTargetSeconds * requiredHeadroomPerSecond;
        double headroom = headroomWithoutFills(*task, now + paceLookahead);
        for (const auto &fill : fills) {
            headroom -= lossOf(fill);
        }
        while (headroom < required) {
            const auto heaviest = std::ranges::max_element(fills, {}, lossOf);
            if (heaviest == fills.end() || heaviest->m_pace <= 0) {
                break;
            }
            const double loss = lossOf(*heaviest);
            const double missing = required - headroom;
            // While the headroom is too low, a task with hardly any learned loss is stopped too, because its weight may be wrong.
            const double cutShare = loss <= negligibleLoss ? 1.0 : std::min(1.0, missing / loss);
            heaviest->m_pace = cutShare >= 1.0 ? 0.0 : heaviest->m_pace * (1.0 - cutShare);
            headroom += loss * cutShare;
        }
    }
    std::vector<PacePlan> plans;
    plans.reserve(fills.size());
    for (const auto &fill : fills) {
        plans.push_back({fill.m_run, static_cast<int>(fill.m_pace)});
    }
    return plans;
}

auto PaceController::reportNeedOf(const FleetWorker &worker) noexcept -> ReportNeed
{
    if (worker.m_runs.empty()) {
        return ReportNeed::Idle;
    }
    const auto isFilling = [](const auto &entry) {
        return entry.second.m_isFilling;
    };
    const auto isClose = [](const auto &entry) {
        const TaskRun &run = entry.second;
        return run.m_isServing && run.m_tailTarget.count() > 0 && (run.m_load <= 0 || headroomOf(run) < closeHeadroom);
    };
    const bool mayExceedTarget = std::ranges::any_of(worker.m_runs, isFilling) && std::ranges::any_of(worker.m_runs, isClose);
    return mayExceedTarget ? ReportNeed::Tails : ReportNeed::Progress;
}

auto PaceController::updateServingHeadrooms(FleetWorker &worker, TimePoint now) const -> void
{
    worker.m_servingHeadrooms.clear();
    worker.m_servingHeadroomsAt = now;
    std::vector<FillUse> use;
    for (const auto &[name, run] : worker.m_runs) {
        if (run.m_isFilling) {
            use.push_back({run.m_image, static_cast<double>(run.m_cpuMillis * run.m_paceLimit) / fullPacePercent / capacityOf(worker)});
        }
    }
    for (const auto &[name, run] : worker.m_runs) {
        if (!run.m_isServing || run.m_tailTarget.count() <= 0) {
            continue;
        }
        const double withoutFills = std::min(headroomWithoutFills(run, now), headroomWithoutFills(run, now + placementLookahead));
        const double headroom = withoutFills - m_model.headroomLoss(use, run.m_image);
        const auto known = std::ranges::find(worker.m_servingHeadrooms, run.m_image, &ServingHeadroom::m_image);
        if (known == worker.m_servingHeadrooms.end()) {
            worker.m_servingHeadrooms.push_back({run.m_image, headroom});
        } else {
            known->m_headroom = std::min(known->m_headroom, headroom);
        }
    }
}

auto PaceController::fitOf(FleetWorker &worker, ImageId image, std::int64_t cpuMillis, TimePoint now) const -> FillFit
{
    if (worker.m_servingHeadroomsAt == TimePoint{} || now - worker.m_servingHeadroomsAt > servingHeadroomLifetime) {
        updateServingHeadrooms(worker, now);
    }
    const double share = static_cast<double>(cpuMillis) / capacityOf(worker);
    FillFit fit{std::numeric_limits<double>::max(), 0};
    for (const auto &serving : worker.m_servingHeadrooms) {
        const double cost = m_model.weight(image, serving.m_image) * share;
        fit.m_slack = std::min(fit.m_slack, serving.m_headroom - cost - requiredHeadroom());
        fit.m_cost = std::max(fit.m_cost, cost);
    }
    return fit;
}
}
