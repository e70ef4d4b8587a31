#include "fleetloadsimulation.hpp"

#include "resourceusage.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace Burdockspur::Bench
{
namespace
{
constexpr Milliseconds tickLength{10};
constexpr double ticksPerSecond = 100.0;
constexpr FleetScheduler::WallTime wallNow{Milliseconds{1'800'000'000'000}};
// Workers and serving tasks have the sizes of the users' first deployment.
constexpr std::int64_t workerCpuMillis = 16'000;
constexpr std::int64_t workerMemoryMb = 64'000;
constexpr std::size_t workersPerRack = 8;
constexpr std::int64_t servingCpuMillis = 3'200;
/// One of this many jobs of a backlog has short tasks and the others filling tasks, as in the users' larger deployments.
constexpr std::uint64_t backlogShortJobPeriod = 3;
/// Processors of a large task, as a multiple of those of a short one.
constexpr std::int64_t largeFactor = 4;
constexpr Milliseconds tailTarget{50};
/// The headroom of a serving task is the tail target divided by the measured tail. It has a base value without filling
/// tasks on the worker, varies with the serving load as a sine wave, and drops in proportion to the processors used by filling tasks.
constexpr double baseHeadroom = 2.2;
constexpr double headroomAmplitude = 0.4;
constexpr double headroomPeriodSeconds = 14.0;
constexpr double fillingHeadroomLoss = 3.0;
constexpr double fullPercent = 100.0;

/// @brief Varies a demand around its mean depending on the number of a job.
/// @param share largest deviation as a share of the mean
[[nodiscard]] auto varyDemand(std::int64_t mean, double share, std::uint64_t number) noexcept -> std::int64_t
{
    constexpr std::uint64_t steps = 101;
    const double position = static_cast<double>(number % steps) / (steps - 1) * 2 - 1;
    return static_cast<std::int64_t>(static_cast<double>(mean) * (1 + share * position));
}

[[nodiscard]] auto limitsOf(const FleetLoad &load) -> FleetLimits
{
    FleetLimits limits;
    limits.m_lookAhead.m_isOn = load.m_looksAhead;
    return limits;
}

[[nodiscard]] auto pacedLoad(const TaskStep &step, int pace) noexcept -> double
{
    return static_cast<double>(step.m_demand.m_cpuMillis) * pace / fullPercent;
}
}

struct FleetLoadSimulation::Run {
    TaskId m_task;
    RunNumber m_number = 0;
    const TaskStep *m_step = nullptr;
    double m_percent = 0;
    int m_pace = 100;
};

struct FleetLoadSimulation::Worker {
    WorkerRecord m_record;
    std::map<std::string, Run> m_runs;
    std::vector<EndedTask> m_ended;
    std::uint64_t m_sequence = 0;
    bool m_isReportRequested = false;
    ReportOrder m_order;
    TimePoint m_reportRequestedAt;
};

FleetLoadSimulation::FleetLoadSimulation(std::size_t workers, const FleetLoad &load)
    : m_scheduler(limitsOf(load))
    , m_load(load)
    , m_now(TimePoint{} + std::chrono::hours(1))
{
    m_scheduler.begin(1, {}, m_now, wallNow);
    std::vector<WorkerRecord> records;
    for (std::size_t i = 0; i < workers; ++i) {
        auto worker = std::make_unique<Worker>();
        auto &record = worker->m_record;
        record.m_id = "worker-" + std::to_string(i);
        record.m_pool = "pool";
        record.m_endpoint = {"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
        record.m_rack = "rack-" + std::to_string(i / workersPerRack);
        record.m_labels = {record.m_rack};
        record.m_capacity = {workerCpuMillis, workerMemoryMb, 0};
        record.m_incarnation = 1;
        records.push_back(record);
        m_workers.push_back(std::move(worker));
    }
    m_scheduler.updateWorkers(records, {}, m_now);
    const double reserved = m_load.m_servingShare * static_cast<double>(workers) * workerCpuMillis;
    submitServing(static_cast<std::size_t>(reserved / static_cast<double>(m_load.m_servingTasksPerJob * servingCpuMillis)));
}

FleetLoadSimulation::~FleetLoadSimulation() = default;

auto FleetLoadSimulation::run(Milliseconds length) -> void
{
    for (const TimePoint end = m_now + length; m_now < end;) {
        tick();
    }
}

auto FleetLoadSimulation::tick() -> void
{
    m_now += tickLength;
    submitDueJobs();
    submitBacklog();
    endDueRuns();
    answerReports();
    const auto answers = std::exchange(m_answers, {});
    const auto commits = std::exchange(m_commits, {});
    const double begin = threadCpuNanoseconds();
    for (const auto &answer : answers) {
        std::visit(
            [this](const auto &taken) {
                m_scheduler.handleAnswer(taken, m_now);
            },
            answer);
    }
    for (const auto &commit : commits) {
        m_scheduler.handleAnswer(commit, m_now);
    }
    static_cast<void>(m_scheduler.advance(m_now, wallNow));
    ++m_rounds;
    const auto commands = m_scheduler.takeCommands();
    m_decisionNanoseconds += threadCpuNanoseconds() - begin;
    for (const auto &command : commands) {
        std::visit(
            [this](const auto &order) {
                // The simulation has a single owner, so the ownership is never resigned.
                if constexpr (!std::is_same_v<std::remove_cvref_t<decltype(order)>, OwnershipResigned>) {
                    execute(order);
                }
            },
            command);
    }
}

auto FleetLoadSimulation::submitDueJobs() -> void
{
    const auto workers = static_cast<double>(m_workers.size());
    m_shortJobsDue += m_load.m_shortJobsPerSecond * workers / ticksPerSecond;
    m_fillingJobsDue += m_load.m_fillingJobsPerSecond * workers / ticksPerSecond;
    for (; m_shortJobsDue >= 1; m_shortJobsDue -= 1) {
        submit(false);
    }
    for (; m_fillingJobsDue >= 1; m_fillingJobsDue -= 1) {
        submit(true);
    }
}

auto FleetLoadSimulation::submitBacklog() -> void
{
    for (std::size_t waiting = m_scheduler.waitingCount(); waiting < m_load.m_minWaitingTasks;) {
        const bool isFilling = m_submitted % backlogShortJobPeriod != 0;
        submit(isFilling);
        waiting += isFilling ? m_load.m_fillingTasksPerStep : m_load.m_shortTasksPerStep;
    }
}

auto FleetLoadSimulation::submit(bool isFilling) -> void
{
    TaskJob job;
    job.m_id = "job-" + std::to_string(++m_submitted);
    job.m_policy = {.m_name = isFilling ? "fills" : "short",
                    .m_host = {},
                    .m_prefix = {},
                    .m_pool = "pool",
                    .m_priority = isFilling ? 2U : 0U,
                    .m_maxAttempts = 3,
                    .m_stretch = 2.0};
    const std::uint32_t steps = isFilling ? 2 : 1 + static_cast<std::uint32_t>(m_submitted % 2);
    for (std::uint32_t i = 0; i < steps; ++i) {
        TaskStep step;
        step.m_count = isFilling ? m_load.m_fillingTasksPerStep : m_load.m_shortTasksPerStep;
        // Factors without a common divisor, so that the demands for processors and memory vary independently.
        step.m_demand = {varyDemand(isFilling ? 1'800 : m_load.m_shortCpuMillis, m_load.m_demandVariation, (m_submitted + i) * 37),
                         varyDemand(3'200, m_load.m_demandVariation, (m_submitted + i) * 59),
                         0};
        const bool isLarge = !isFilling && m_load.m_largePeriod != 0 && m_submitted / backlogShortJobPeriod % m_load.m_largePeriod == 0;
        step.m_demand.m_cpuMillis *= isLarge ? largeFactor : 1;
        step.m_maxPerWorker = !isFilling && m_load.m_spreadPeriod != 0 && m_submitted / backlogShortJobPeriod % m_load.m_spreadPeriod == 0 ? 2 : 0;
        step.m_estimate = isFilling ? Milliseconds{1'700} : m_load.m_shortEstimate;
        step.m_image = (isFilling ? "fill-" : "short-") + std::to_string(m_submitted % static_cast<std::uint64_t>(m_load.m_imagesPerKind));
        step.m_isFilling = isFilling;
        if (i > 0) {
            step.m_after = {i - 1};
        }
        job.m_steps.push_back(std::move(step));
    }
    m_jobs.emplace(job.m_id, job.m_steps);
    const double begin = threadCpuNanoseconds();
    m_scheduler.addJob(std::move(job), m_now, wallNow);
    m_decisionNanoseconds += threadCpuNanoseconds() - begin;
}

auto FleetLoadSimulation::submitServing(std::size_t jobs) -> void
{
    for (std::size_t i = 0; i < jobs; ++i) {
        TaskJob job;
        job.m_id = "serving-" + std::to_string(i);
        job.m_policy = {.m_name = "serving", .m_host = {}, .m_prefix = {}, .m_pool = "pool", .m_priority = 0, .m_maxAttempts = 3, .m_stretch = 2.0};
        TaskStep step;
        step.m_count = m_load.m_servingTasksPerJob;
        step.m_demand = {servingCpuMillis, 6'400, 0};
        step.m_image = "serving-" + std::to_string(i % static_cast<std::size_t>(m_load.m_imagesPerKind));
        step.m_isServing = true;
        step.m_tailTarget = tailTarget;
        job.m_steps.push_back(std::move(step));
        m_jobs.emplace(job.m_id, job.m_steps);
        m_scheduler.addJob(std::move(job), m_now, wallNow);
    }
}

auto FleetLoadSimulation::endDueRuns() -> void
{
    for (const auto &worker : m_workers) {
        for (auto &[name, run] : worker->m_runs) {
            if (!run.m_step->m_isServing) {
                run.m_percent += run.m_pace * static_cast<double>(tickLength.count()) / static_cast<double>(run.m_step->m_estimate.count());
            }
        }
        std::erase_if(worker->m_runs, [&worker](const auto &entry) {
            const Run &run = entry.second;
            const bool isDone = run.m_percent >= fullPercent;
            if (isDone) {
                worker->m_ended.push_back({++worker->m_sequence, run.m_task, run.m_number, RunEnd::Done, {}});
            }
            return isDone;
        });
    }
}

auto FleetLoadSimulation::answerReports() -> void
{
    for (const auto &worker : m_workers) {
        const bool hasNewEnds = !worker->m_ended.empty() && worker->m_ended.back().m_sequence > worker->m_order.m_ackedEnd;
        if (worker->m_isReportRequested && (hasNewEnds || m_now - worker->m_reportRequestedAt >= worker->m_order.m_wait)) {
            worker->m_isReportRequested = false;
            m_answers.emplace_back(makeReport(*worker));
        }
    }
}

auto FleetLoadSimulation::makeReport(Worker &worker) -> ReportAnswer
{
    std::erase_if(worker.m_ended, [&worker](const EndedTask &end) {
        return end.m_sequence <= worker.m_order.m_ackedEnd;
    });
    ReportAnswer answer{worker.m_order.m_address, OrderOutcome::Accepted, {}, worker.m_reportRequestedAt, m_now};
    answer.m_report.m_incarnation = worker.m_record.m_incarnation;
    answer.m_report.m_clock = std::chrono::duration_cast<Milliseconds>(m_now - TimePoint{});
    answer.m_report.m_ended = worker.m_ended;
    double fillingShare = 0;
    for (const auto &[name, run] : worker.m_runs) {
        fillingShare += run.m_step->m_isFilling ? pacedLoad(*run.m_step, run.m_pace) / workerCpuMillis : 0.0;
    }
    const double phase = std::chrono::duration<double>(m_now - TimePoint{}).count() * 2 * std::numbers::pi / headroomPeriodSeconds;
    const double headroom = std::max(0.3, baseHeadroom + headroomAmplitude * std::sin(phase) - fillingHeadroomLoss * fillingShare);
    for (const auto &[name, run] : worker.m_runs) {
        const bool isServing = run.m_step->m_isServing;
        const double load = isServing ? static_cast<double>(tailTarget.count()) / headroom : pacedLoad(*run.m_step, run.m_pace);
        answer.m_report.m_running.push_back({run.m_task, run.m_number, {}, isServing ? fullPercent : run.m_percent, load});
    }
    return answer;
}

auto FleetLoadSimulation::execute(const ReportOrder &order) -> void
{
    auto &worker = workerAt(order.m_address);
    worker.m_isReportRequested = true;
    worker.m_order = order;
    worker.m_reportRequestedAt = m_now;
}

auto FleetLoadSimulation::execute(const RunStartOrder &order) -> void
{
    ++m_starts;
    auto &worker = workerAt(order.m_address);
    worker.m_runs.insert_or_assign(order.m_task.text(), Run{order.m_task, order.m_run, &stepOf(order.m_task)});
    m_answers.emplace_back(StartAnswer{order.m_address, order.m_task, order.m_run, OrderOutcome::Accepted, {}, m_now});
}

auto FleetLoadSimulation::execute(const RunStopOrder &order) -> void
{
    auto &worker = workerAt(order.m_address);
    if (worker.m_runs.erase(order.m_task.text()) > 0) {
        worker.m_ended.push_back({++worker.m_sequence, order.m_task, order.m_run, RunEnd::Stopped, {}});
    }
    m_answers.emplace_back(StopAnswer{order.m_address, order.m_task, order.m_run, OrderOutcome::Accepted});
}

auto FleetLoadSimulation::execute(const RunPaceOrder &order) -> void
{
    auto &worker = workerAt(order.m_address);
    if (const auto run = worker.m_runs.find(order.m_task.text()); run != worker.m_runs.end()) {
        run->second.m_pace = order.m_percent;
    }
    m_answers.emplace_back(PaceAnswer{order.m_address, order.m_task, order.m_run, order.m_percent, OrderOutcome::Accepted});
}

auto FleetLoadSimulation::execute(const ArchiveOrder &order) -> void
{
    std::vector<std::string> archived;
    archived.reserve(order.m_jobs.size());
    for (const auto &job : order.m_jobs) {
        archived.push_back(job.m_id);
    }
    m_scheduler.markArchived(archived, m_now);
}

auto FleetLoadSimulation::execute(const CommitOrder &order) -> void
{
    m_commits.push_back({order.m_number, order.m_epoch, m_now, true});
}

auto FleetLoadSimulation::workerAt(const WorkerAddress &address) noexcept -> Worker &
{
    return *m_workers[address.m_endpoint.m_port - 1U];
}

auto FleetLoadSimulation::stepOf(const TaskId &task) const -> const TaskStep &
{
    return m_jobs.find(task.m_job)->second[task.m_step];
}
}
