#include "burdockspur/fleet/pacecontroller.hpp"

#include "burdockspur/contract/taskjob.hpp"
#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/fleetworker.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

namespace Burdockspur
{
namespace
{
/// Headroom that is kept: 1 is the target. The trend of a job covers the noise of its samples and the load that rises.
constexpr double aimedHeadroom = 1.0;
/// A task below this is close enough to its target that the noise of its samples may hide that it is over it.
constexpr double tightHeadroom = 1.06;
/// Rise of the aim for each second that a task stays tight, and the seconds after which all filling work stops. A task
/// may be over its target for 4 s (platform's bound); samples lag 0.5 s, reports 0.7 s, and paces 0.1 s.
constexpr double aimPerSecond = 0.15;
constexpr double longestTight = 1.9;
/// Added to the aim while nothing waits, and the share of all processors asked for by waiting tasks at which nothing is
/// added. Filling work has slack of about its own length; a serving task that is over its target has none.
constexpr double easyHeadroom = 0.2;
constexpr double fullBacklog = 0.04;
constexpr double backlogMemory = 1.5; ///< seconds
/// A task far from its target gives no exact figure.
constexpr double largestHeadroom = 5.0;
/// Assumed of a serving task that has not reported a tail yet.
constexpr double unknownHeadroom = 2.5;
/// Samples of two workers are compared up to this age; loads change within seconds.
constexpr Milliseconds sampleAge{1'200};
/// Share of the processors below which filling tasks do not count as pressing.
constexpr double unpressedShare = 0.03;
constexpr double fullPace = 100.0;
/// Share of a new sample in what is known of a task that is worse than its job, e.g. on a slow worker; and by how much a task
/// may seem worse by the noise of its samples.
constexpr double behindRate = 0.35;
constexpr double behindTolerance = 0.2;
/// Paces look this far ahead: most of the time until the next report and the order that follows it.
constexpr Milliseconds paceAhead{300};
/// A filling task is placed by the headroom now and at this time, when its first sample is due. It lasts for seconds, but a
/// later load that rises is met by its pace, and a load that falls must not keep it waiting.
constexpr Milliseconds placementAhead{500};
constexpr double smallestWeight = 1e-3;
/// What serving tasks can bear is computed again after this time: the loads of their jobs, which other workers report, change
/// by some percent within it.
constexpr Milliseconds roomAge{100};

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

/// @brief What the filling tasks use now, by the worker's own report.
[[nodiscard]] auto measuredUse(const FleetWorker &worker) -> std::vector<FillUse>
{
    std::vector<FillUse> use;
    for (const auto &[name, run] : worker.m_runs) {
        if (run.m_fills && run.m_stage == RunStage::Running) {
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

/// @brief Headroom by job: its tasks on one worker carry the same load under the same pressure, and their mean is less
/// noisy than each sample.
[[nodiscard]] auto meanHeadrooms(const FleetWorker &worker) -> std::map<const FleetJob *, MeanHeadroom>
{
    std::map<const FleetJob *, MeanHeadroom> means;
    for (const auto &[name, run] : worker.m_runs) {
        if (hasTarget(run) && run.m_load > 0) {
            auto &mean = means[run.m_job];
            mean.m_job = run.m_job;
            mean.m_image = run.m_image;
            mean.m_headroom += (headroomOf(run) - mean.m_headroom) / ++mean.m_tasks;
        }
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

auto PaceController::sample(FleetWorker &worker, TimePoint now) -> void
{
    const auto use = measuredUse(worker);
    const bool isPressed = totalShare(use) >= unpressedShare;
    const auto means = meanHeadrooms(worker);
    for (const auto &[job, mean] : means) {
        compare(*mean.m_job, mean.m_image, {worker.m_record.m_id, mean.m_headroom, use, now});
    }
    for (auto &[name, run] : worker.m_runs) {
        if (!hasTarget(run) || run.m_load <= 0) {
            run.m_freeHeadroom = unknownHeadroom;
            continue;
        }
        const double headroom = means.at(run.m_job).m_headroom;
        // The mean hides a task that is worse than the others of its job; two samples of its own show it.
        const double own = headroomOf(run);
        const double steady = run.m_lastHeadroom > 0 ? (own + run.m_lastHeadroom) / 2 : own;
        run.m_lastHeadroom = own;
        if (!isPressed || std::min(headroom, steady) >= tightHeadroom) {
            run.m_lowHeadroomSince = {};
        } else if (run.m_lowHeadroomSince == TimePoint{}) {
            run.m_lowHeadroomSince = now;
        }
        const double free = std::min(largestHeadroom, headroom + m_model.pressure(use, run.m_image));
        run.m_headroomDeficit += behindRate * (run.m_job->m_trend.at(now, free) - free - run.m_headroomDeficit);
        run.m_freeHeadroom = free;
    }
    for (const auto &[job, mean] : means) {
        mean.m_job->m_trend.add(std::min(largestHeadroom, mean.m_headroom + m_model.pressure(use, mean.m_image)), now);
    }
    worker.m_servingCacheTime = {};
}

auto PaceController::compare(FleetJob &job, ImageId image, FleetJob::HeadroomSample &&sample) -> void
{
    std::erase_if(job.m_headrooms, [&sample](const auto &old) {
        return sample.m_at - old.m_at > sampleAge || old.m_worker == sample.m_worker;
    });
    const auto other = std::ranges::min_element(job.m_headrooms, {}, [](const auto &old) {
        return totalShare(old.m_fills);
    });
    if (other != job.m_headrooms.end()) {
        // Tasks of one job carry the same load, so what they differ by is what presses on them.
        auto difference = sample.m_fills;
        for (const auto &fill : other->m_fills) {
            difference.push_back({fill.m_image, -fill.m_share});
        }
        m_model.learn(difference, image, other->m_headroom - sample.m_headroom);
    }
    job.m_headrooms.push_back(std::move(sample));
}

auto PaceController::freeHeadroom(const TaskRun &run, TimePoint when) const noexcept -> double
{
    const double own = run.m_freeHeadroom > 0 ? run.m_freeHeadroom : unknownHeadroom;
    return std::min(largestHeadroom, run.m_job->m_trend.at(when, own) - std::max(0.0, run.m_headroomDeficit - behindTolerance));
}

auto PaceController::noteBacklog(double share, TimePoint now) noexcept -> void
{
    const auto elapsed = std::chrono::duration<double>(now - m_backlogAt).count();
    const double kept = m_backlogAt == TimePoint{} ? 0.0 : std::exp(-elapsed / backlogMemory);
    m_backlog = kept * m_backlog + (1.0 - kept) * share;
    m_backlogAt = now;
}

auto PaceController::aim() const noexcept -> double
{
    return aimedHeadroom + easyHeadroom * (1.0 - std::min(1.0, m_backlog / fullBacklog));
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
        if (run.m_fills && run.m_stage == RunStage::Running) {
            fills.push_back({&run, static_cast<double>(run.m_cpuMillis) / capacityOf(worker), fullPace});
        } else if (hasTarget(run)) {
            serving.push_back(&run);
        }
    }
    for (const auto *const task : serving) {
        const auto lossOf = [&](const Fill &fill) {
            return m_model.weight(fill.m_run->m_image, task->m_image) * fill.m_share * fill.m_pace / fullPace;
        };
        const auto tight = task->m_lowHeadroomSince == TimePoint{} ? 0.0 : std::chrono::duration<double>(now - task->m_lowHeadroomSince).count();
        if (tight >= longestTight) {
            for (auto &fill : fills) {
                fill.m_pace = 0;
            }
            continue;
        }
        const double aim = this->aim() + tight * aimPerSecond;
        double headroom = freeHeadroom(*task, now + paceAhead);
        for (const auto &fill : fills) {
            headroom -= lossOf(fill);
        }
        while (headroom < aim) {
            const auto heaviest = std::ranges::max_element(fills, {}, lossOf);
            if (heaviest == fills.end() || heaviest->m_pace <= 0) {
                break;
            }
            const double loss = lossOf(*heaviest);
            const double missing = aim - headroom;
            // A task of no known weight is stopped as well while the aim is missed: the weight may be wrong.
            const double cut = loss <= smallestWeight ? 1.0 : std::min(1.0, missing / loss);
            heaviest->m_pace = cut >= 1.0 ? 0.0 : heaviest->m_pace * (1.0 - cut);
            headroom += loss * cut;
        }
    }
    std::vector<PacePlan> plans;
    plans.reserve(fills.size());
    for (const auto &fill : fills) {
        plans.push_back({fill.m_run, static_cast<int>(fill.m_pace)});
    }
    return plans;
}

auto PaceController::updateRooms(FleetWorker &worker, TimePoint now) const -> void
{
    worker.m_servingCache.clear();
    worker.m_servingCacheTime = now;
    std::vector<FillUse> use;
    for (const auto &[name, run] : worker.m_runs) {
        if (run.m_fills) {
            use.push_back({run.m_image, static_cast<double>(run.m_cpuMillis) / capacityOf(worker)});
        }
    }
    for (const auto &[name, run] : worker.m_runs) {
        if (!run.m_isServing || run.m_tailTarget.count() <= 0) {
            continue;
        }
        const double free = std::min(freeHeadroom(run, now), freeHeadroom(run, now + placementAhead));
        const double headroom = free - m_model.pressure(use, run.m_image);
        const auto known = std::ranges::find(worker.m_servingCache, run.m_image, &ServingRoom::m_image);
        if (known == worker.m_servingCache.end()) {
            worker.m_servingCache.push_back({run.m_image, headroom});
        } else {
            known->m_headroom = std::min(known->m_headroom, headroom);
        }
    }
}

auto PaceController::fitOf(FleetWorker &worker, ImageId image, std::int64_t cpuMillis, TimePoint now) const -> FillFit
{
    if (worker.m_servingCacheTime == TimePoint{} || now - worker.m_servingCacheTime > roomAge) {
        updateRooms(worker, now);
    }
    const double share = static_cast<double>(cpuMillis) / capacityOf(worker);
    FillFit fit{std::numeric_limits<double>::max(), 0};
    for (const auto &room : worker.m_servingCache) {
        const double cost = m_model.weight(image, room.m_image) * share;
        fit.m_slack = std::min(fit.m_slack, room.m_headroom - cost - aim());
        fit.m_cost = std::max(fit.m_cost, cost);
    }
    return fit;
}
}
