#include "policysimulation.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <functional>
#include <numbers>
#include <string>
#include <utility>

namespace Burdockspur::Bench
{
namespace
{
struct BatchClass {
    std::string_view m_name;
    double m_arrivalShare = 0.0; ///< share of the arriving tasks
    double m_sizeFactor = 1.0; ///< size relative to the mean task
    double m_meanSeconds = 0.0;
    std::array<double, 2> m_effects; ///< slowdown of each service per share of the processors
};

constexpr std::array<BatchClass, 5> classes{{
    {"reconcile", 0.30, 0.8, 240.0, {0.02, 0.02}},
    {"render", 0.25, 1.4, 240.0, {1.50, 0.05}},
    {"transcode", 0.25, 1.0, 180.0, {0.05, 1.50}},
    {"index", 0.17, 0.8, 120.0, {0.30, 0.10}},
    {"noisy", 0.03, 1.0, 120.0, {2.00, 2.00}},
}};
constexpr std::size_t noisyClass = 4;
constexpr std::array<std::string_view, 2> services{"first", "second"};

constexpr double durationSeconds = 1'500.0;
constexpr double warmUpSeconds = 300.0; // the fleet fills up and the model adapts; not part of the results
constexpr double stepSeconds = 2.0;
constexpr double reportPeriodSeconds = 5.0;
constexpr double reportLagSeconds = 12.0;
constexpr double waveBeginSeconds = 600.0;
constexpr double waveEndSeconds = 800.0;
constexpr double halfwaySeconds = 750.0;
constexpr double serviceShare = 0.25; // share of a worker that is reserved for its service
constexpr double steadyFillShare = 0.7; // share of the batch capacity that steady load uses
constexpr double memoryFillShare = 0.75; // share of the memory that is used when all processors are used
constexpr double baseLoad = 0.5;
constexpr double baseLatencyMs = 4.0; // median without batch work and load
constexpr double latencySigma = 0.5; // standard deviation of the logarithm of the latency
constexpr double p99StandardDeviations = 2.326;
constexpr double targetMargin = 1.25; // ratio of the target to the p99 of a service without batch work at the base load
constexpr double checkpointPeriodSeconds = 60.0;
constexpr double evictionCostSeconds = 5.0; // work to write a checkpoint and to start again
constexpr double secondsPerHour = 3'600.0;

[[nodiscard]] auto batchFreeFactor(double load) noexcept -> double
{
    return 1.0 + 0.2 * load * load;
}

[[nodiscard]] auto targetLatencyMs() noexcept -> double
{
    return targetMargin * baseLatencyMs * std::exp(latencySigma * p99StandardDeviations) * batchFreeFactor(baseLoad);
}

[[nodiscard]] auto coreHours(double seconds, const Resources &use) noexcept -> double
{
    return seconds * static_cast<double>(use.m_cpuMillis) / 1'000.0 / secondsPerHour;
}
}

PolicySimulation::PolicySimulation(const FleetSize &size, const PolicyScenario &scenario, std::string_view policy, std::uint64_t seed)
    : m_size(size)
    , m_scenario(scenario)
    , m_table(m_settings, TimePoint())
    , m_setup(policy)
    , m_arrivalRandom(seed)
    , m_requestRandom(seed + 1'000)
    , m_choiceRandom(seed + 2'000)
{
    if (m_setup.m_scored != nullptr) {
        Preset preset;
        preset.m_batchWeight = size.m_batchWeight;
        preset.m_tailWeight = size.m_tailWeight;
        m_setup.m_scored->setPreset(preset);
    }
    buildFleet();
}

auto PolicySimulation::buildFleet() -> void
{
    constexpr std::size_t rackSize = 8;
    constexpr std::size_t faultyPeriod = 20; // one of twenty workers is slow, another one fails tasks
    std::vector<HostRecord> hosts;
    for (std::size_t i = 0; i < m_size.m_workers; ++i) {
        HostRecord host;
        host.m_name = "w" + std::to_string(i);
        host.m_port = 1;
        host.m_place.m_zone = "z" + std::to_string(i % m_size.m_zones);
        host.m_place.m_rack = host.m_place.m_zone + "r" + std::to_string(i / m_size.m_zones / rackSize);
        host.m_capacity = {.m_cpuMillis = m_size.m_cpuMillis, .m_memoryMb = m_size.m_memoryMb, .m_accelerators = 0};
        hosts.push_back(std::move(host));
    }
    m_table.update(hosts, currentTime());
    const auto part = [](std::int64_t amount) {
        return static_cast<std::int64_t>(serviceShare * static_cast<double>(amount));
    };
    m_table.setReservation({.m_cpuMillis = part(m_size.m_cpuMillis), .m_memoryMb = part(m_size.m_memoryMb), .m_accelerators = 0});
    LeaseReport granted;
    granted.m_granted = true;
    for (std::size_t i = 0; i < m_size.m_workers; ++i) {
        Machine machine;
        machine.m_worker = &m_table.findOrAdd(hosts[i].m_name);
        machine.m_worker->recordRenewalAnswer(granted, currentTime());
        machine.m_zone = i % m_size.m_zones;
        machine.m_service = i / m_size.m_zones % services.size();
        machine.m_nextReportAt = reportPeriodSeconds * m_arrivalRandom.unit();
        if (m_scenario.m_hasFaultyWorkers) {
            machine.m_speed = i % faultyPeriod == 3 ? 1.0 / 3.0 : 1.0;
            machine.m_failureShare = i % faultyPeriod == 7 ? 0.8 : 0.0;
        }
        m_machines.push_back(std::move(machine));
        m_setup.m_model.setShare(hosts[i].m_name, classes[0].m_name, 0.0, currentTime());
    }
}

auto PolicySimulation::currentTime() const noexcept -> TimePoint
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_now)));
}

auto PolicySimulation::drawNormal() noexcept -> double
{
    const double radius = std::sqrt(-2.0 * std::log(1.0 - m_requestRandom.unit()));
    return radius * std::cos(2.0 * std::numbers::pi * m_requestRandom.unit());
}

auto PolicySimulation::currentLoad() const noexcept -> double
{
    constexpr double wave = 0.1;
    double load = baseLoad * (1.0 + wave * std::sin(m_now / 100.0));
    if (m_now >= durationSeconds / 3.0) {
        load *= m_scenario.m_loadFactor;
    }
    if (m_scenario.m_zoneFails && m_now >= halfwaySeconds) {
        load *= static_cast<double>(m_size.m_zones) / static_cast<double>(m_size.m_zones - 1);
    }
    return load;
}

auto PolicySimulation::submit(std::size_t jobClass) -> void
{
    const BatchClass &kind = classes[jobClass];
    const double share = (1.0 - serviceShare) / static_cast<double>(m_size.m_tasksPerWorker);
    const double variation = 0.8 + 0.4 * m_arrivalRandom.unit();
    const auto amount = [&](std::int64_t capacity) {
        return static_cast<std::int64_t>(share * kind.m_sizeFactor * variation * static_cast<double>(capacity));
    };
    Task task;
    task.m_id = "t" + std::to_string(m_nextTask++);
    task.m_class = jobClass;
    task.m_use = {.m_cpuMillis = amount(m_size.m_cpuMillis),
                  .m_memoryMb = amount(static_cast<std::int64_t>(memoryFillShare * static_cast<double>(m_size.m_memoryMb))),
                  .m_accelerators = 0};
    task.m_remainingSeconds = kind.m_meanSeconds * (0.5 + m_arrivalRandom.unit());
    task.m_declared.m_class = kind.m_name;
    task.m_declared.m_demand = task.m_use;
    if (m_scenario.m_declaredFactor > 1.0) {
        const double factor = jobClass % 2 == 0 ? m_scenario.m_declaredFactor : 1.0 / m_scenario.m_declaredFactor;
        task.m_declared.m_demand.m_cpuMillis = static_cast<std::int64_t>(factor * static_cast<double>(task.m_use.m_cpuMillis));
        task.m_declared.m_demand.m_memoryMb = static_cast<std::int64_t>(factor * static_cast<double>(task.m_use.m_memoryMb));
    }
    m_queue.push_back(std::move(task));
}

auto PolicySimulation::submitArrivals() -> void
{
    double meanWork = 0.0; // mean work of an arriving task: share of a worker's batch capacity times run time in seconds
    for (const auto &kind : classes) {
        meanWork += kind.m_arrivalShare * kind.m_sizeFactor * kind.m_meanSeconds / static_cast<double>(m_size.m_tasksPerWorker);
    }
    const double factor = m_now >= durationSeconds / 3.0 ? m_scenario.m_loadFactor : 1.0;
    m_arrivalsDue += steadyFillShare * factor * static_cast<double>(m_size.m_workers) / meanWork * stepSeconds;
    for (; m_arrivalsDue >= 1.0; m_arrivalsDue -= 1.0) {
        double draw = m_arrivalRandom.unit();
        std::size_t jobClass = 0;
        while (jobClass + 1 < classes.size() && draw >= classes[jobClass].m_arrivalShare) {
            draw -= classes[jobClass++].m_arrivalShare;
        }
        submit(jobClass);
    }
    if (m_now >= waveBeginSeconds && m_now < waveEndSeconds) {
        m_waveArrivalsDue +=
            m_scenario.m_waveShare * static_cast<double>(m_size.m_workers * m_size.m_tasksPerWorker) * stepSeconds / (waveEndSeconds - waveBeginSeconds);
        for (; m_waveArrivalsDue >= 1.0; m_waveArrivalsDue -= 1.0) {
            submit(noisyClass);
        }
    }
}

auto PolicySimulation::placeTask(Task &task) -> bool
{
    const auto before = std::chrono::steady_clock::now();
    task.m_reserved = task.m_declared;
    std::optional<std::size_t> chosen;
    if (m_setup.m_scored != nullptr) {
        Resources largest{.m_cpuMillis = m_size.m_cpuMillis, .m_memoryMb = m_size.m_memoryMb, .m_accelerators = 0};
        largest -= m_table.reservation();
        task.m_reserved.m_demand = m_setup.m_sizes.reservationFor(task.m_declared, largest);
        m_table.sampleCandidates(task.m_reserved.m_demand, ScoredPolicy::maxCandidates, m_choiceRandom, currentTime(), m_candidates);
    } else {
        m_table.findCandidates(task.m_reserved.m_demand, currentTime(), m_candidates);
    }
    chosen = m_setup.m_policy->choose(task.m_reserved, m_candidates, m_choiceRandom);
    m_searchSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - before).count();
    ++m_result.m_placements;
    if (!chosen) {
        return false;
    }
    Worker &worker = m_table.findOrAdd(m_candidates[*chosen].m_worker->m_name);
    worker.reserve(task.m_id, task.m_reserved.m_class, task.m_reserved.m_demand, m_table.reservation());
    m_setup.m_spread.add(task.m_reserved.m_class, worker.m_host.m_place);
    Machine &machine = m_machines[std::stoul(worker.m_name.substr(1))];
    task.m_startedAt = m_now;
    const std::size_t jobClass = task.m_class;
    machine.m_tasks.push_back(std::move(task));
    updateShare(machine, jobClass);
    return true;
}

auto PolicySimulation::placeQueuedTasks() -> void
{
    if (m_setup.m_policy == nullptr) {
        m_queue.clear();
        return;
    }
    if (m_setup.m_scored != nullptr) {
        m_setup.m_model.refresh(currentTime());
        m_setup.m_scored->setTime(currentTime());
    }
    std::array<bool, classes.size()> unplaceable{}; // classes without a suitable worker, which are not tried again in this pass
    std::deque<Task> unplaced;
    while (!m_queue.empty() && !std::ranges::all_of(unplaceable, std::identity())) {
        Task task = std::move(m_queue.front());
        m_queue.pop_front();
        const std::size_t jobClass = task.m_class;
        if (unplaceable[jobClass] || !placeTask(task)) {
            unplaceable[jobClass] = true;
            unplaced.push_back(std::move(task));
        }
    }
    m_queue.insert(m_queue.begin(), std::make_move_iterator(unplaced.begin()), std::make_move_iterator(unplaced.end()));
}

auto PolicySimulation::updateShare(const Machine &machine, std::size_t jobClass) -> void
{
    double share = 0.0;
    for (const auto &task : machine.m_tasks) {
        if (task.m_class == jobClass) {
            share += static_cast<double>(task.m_reserved.m_demand.m_cpuMillis) / static_cast<double>(m_size.m_cpuMillis) * throttleOf(machine, task);
        }
    }
    m_setup.m_model.setShare(machine.m_worker->m_name, classes[jobClass].m_name, share, currentTime());
}

auto PolicySimulation::throttleOf(const Machine &machine, const Task &task) const -> double
{
    constexpr double hundredPercent = 100.0;
    return m_setup.m_controller.percentOf(machine.m_worker->m_name, classes[task.m_class].m_name) / hundredPercent;
}

auto PolicySimulation::slowdownOf(const Machine &machine) const -> double
{
    constexpr double overloadEffect = 3.0;
    double growth = 0.0;
    double used = 0.0;
    for (const auto &task : machine.m_tasks) {
        const double share = static_cast<double>(task.m_use.m_cpuMillis) / static_cast<double>(m_size.m_cpuMillis) * throttleOf(machine, task);
        const bool isSwapped = m_scenario.m_swapsEffects && m_now >= halfwaySeconds;
        growth += share * classes[task.m_class].m_effects[isSwapped ? 1 - machine.m_service : machine.m_service];
        used += share;
    }
    const double load = currentLoad();
    const double overload = std::max(0.0, used + serviceShare * load - 1.0);
    return batchFreeFactor(load) + (0.5 + load) * growth + overloadEffect * overload;
}

auto PolicySimulation::removeTask(Machine &machine, std::size_t index) -> Task
{
    Task task = std::move(machine.m_tasks[index]);
    machine.m_tasks.erase(machine.m_tasks.begin() + static_cast<std::ptrdiff_t>(index));
    machine.m_worker->release(task.m_id, task.m_reserved.m_class, task.m_reserved.m_demand);
    m_setup.m_spread.remove(task.m_reserved.m_class, machine.m_worker->m_host.m_place);
    updateShare(machine, task.m_class);
    return task;
}

auto PolicySimulation::stopOversizedTasks(Machine &machine) -> void
{
    std::int64_t used = 0;
    for (const auto &task : machine.m_tasks) {
        used += task.m_use.m_memoryMb;
    }
    const auto limit = static_cast<std::int64_t>((1.0 - serviceShare) * static_cast<double>(m_size.m_memoryMb)) + 1;
    while (used > limit) {
        Task task = removeTask(machine, machine.m_tasks.size() - 1);
        used -= task.m_use.m_memoryMb;
        m_result.m_wastedWork += coreHours(task.m_uncheckpointedSeconds, task.m_use);
        m_result.m_evictions += 1;
        task.m_remainingSeconds += task.m_uncheckpointedSeconds;
        task.m_uncheckpointedSeconds = 0.0;
        m_queue.push_back(std::move(task));
    }
}

auto PolicySimulation::finishTask(Machine &machine, std::size_t index) -> void
{
    const bool failed = machine.m_failureShare > 0.0 && m_choiceRandom.unit() < machine.m_failureShare;
    Task task = removeTask(machine, index);
    if (failed) {
        // A failed task restarts from its last checkpoint.
        m_result.m_wastedWork += coreHours(task.m_uncheckpointedSeconds, task.m_use);
        task.m_remainingSeconds += task.m_uncheckpointedSeconds;
        task.m_uncheckpointedSeconds = 0.0;
        m_queue.push_back(std::move(task));
        if (m_table.countFailure(*machine.m_worker, currentTime())) {
            machine.m_worker->m_failures = 0;
        }
        return;
    }
    machine.m_worker->m_failures = 0;
    m_result.m_batchWork += m_now >= warmUpSeconds ? coreHours(task.m_uncheckpointedSeconds, task.m_use) : 0.0;
    m_setup.m_sizes.addAttempt(task.m_declared, task.m_use, Milliseconds(static_cast<std::int64_t>((m_now - task.m_startedAt) * 1'000.0)), currentTime());
}

auto PolicySimulation::advanceTasks(Machine &machine) -> void
{
    stopOversizedTasks(machine);
    double used = 0.0;
    for (const auto &task : machine.m_tasks) {
        used += static_cast<double>(task.m_use.m_cpuMillis) * throttleOf(machine, task);
    }
    const double availableCpuMillis = static_cast<double>(m_size.m_cpuMillis) * (1.0 - serviceShare * std::min(1.0, currentLoad()));
    const double rate = machine.m_speed * std::min(1.0, availableCpuMillis / std::max(used, 1.0)) * stepSeconds;
    for (std::size_t i = machine.m_tasks.size(); i-- > 0;) {
        Task &task = machine.m_tasks[i];
        const double worked = rate * throttleOf(machine, task);
        task.m_remainingSeconds -= worked;
        task.m_uncheckpointedSeconds += worked;
        if (task.m_remainingSeconds <= 0.0) {
            finishTask(machine, i);
        } else if (task.m_uncheckpointedSeconds >= checkpointPeriodSeconds) {
            m_result.m_batchWork += m_now >= warmUpSeconds ? coreHours(task.m_uncheckpointedSeconds, task.m_use) : 0.0;
            task.m_uncheckpointedSeconds = 0.0;
        }
    }
}

auto PolicySimulation::sampleLatencies(Machine &machine, std::size_t index) -> void
{
    constexpr std::size_t requestsPerStep = 8;
    constexpr double noise = 0.1; // relative error of the p99 that a worker measures over a short window
    const double slowdown = slowdownOf(machine);
    for (std::size_t i = 0; i < requestsPerStep; ++i) {
        const double latency = baseLatencyMs * slowdown * std::exp(latencySigma * drawNormal());
        if (m_now >= warmUpSeconds) {
            m_latencies.add(latency);
            ++m_requestCount;
            m_requestsWithinTarget += latency <= targetLatencyMs() ? 1 : 0;
        }
    }
    const double error = 1.0 + noise * drawNormal();
    if (m_setup.m_scored == nullptr || m_now < machine.m_nextReportAt) {
        return;
    }
    machine.m_nextReportAt = m_now + reportPeriodSeconds;
    Report report{.m_arrivesAt = m_now + reportLagSeconds, .m_measuredAt = m_now, .m_machine = index, .m_load = currentLoad(), .m_ratio = 0.0, .m_usage = {}};
    report.m_ratio = baseLatencyMs * slowdown * std::exp(latencySigma * p99StandardDeviations) * error / targetLatencyMs();
    for (const auto &task : machine.m_tasks) {
        report.m_usage.emplace_back(task.m_class, task.m_use);
    }
    m_reports.push_back(std::move(report));
}

auto PolicySimulation::applyReports() -> void
{
    while (!m_reports.empty() && m_reports.front().m_arrivesAt <= m_now) {
        const Report report = std::move(m_reports.front());
        m_reports.pop_front();
        Machine &machine = m_machines[report.m_machine];
        for (const auto &[jobClass, usage] : report.m_usage) {
            m_setup.m_sizes.observe(classes[jobClass].m_name, usage);
        }
        const auto measuredAt = TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(report.m_measuredAt)));
        m_setup.m_model.addSample({.m_worker = machine.m_worker->m_name,
                                   .m_service = services[machine.m_service],
                                   .m_takenAt = measuredAt,
                                   .m_load = report.m_load,
                                   .m_ratio = report.m_ratio},
                                  currentTime());
        if (!machine.m_isLost) {
            applyReaction(report);
        }
    }
}

auto PolicySimulation::applyReaction(const Report &report) -> void
{
    Machine &machine = m_machines[report.m_machine];
    const auto lag = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(reportLagSeconds));
    const Reaction reaction = m_setup.m_controller.react(machine.m_worker->m_name, report.m_ratio, lag, m_setup.m_model, currentTime());
    if (reaction.m_kind == Reaction::Kind::Evict) {
        for (std::size_t i = machine.m_tasks.size(); i-- > 0;) {
            if (classes[machine.m_tasks[i].m_class].m_name == reaction.m_class) {
                Task task = removeTask(machine, i);
                m_result.m_batchWork += m_now >= warmUpSeconds ? coreHours(task.m_uncheckpointedSeconds, task.m_use) : 0.0;
                task.m_uncheckpointedSeconds = -evictionCostSeconds; // so that the repeated work does not count as finished
                task.m_remainingSeconds += evictionCostSeconds;
                m_result.m_wastedWork += coreHours(evictionCostSeconds, task.m_use);
                m_result.m_evictions += 1;
                m_queue.push_back(std::move(task));
                return;
            }
        }
    } else if (reaction.m_kind != Reaction::Kind::None) {
        for (std::size_t i = 0; i < classes.size(); ++i) {
            updateShare(machine, i);
        }
    }
}

auto PolicySimulation::failZone() -> void
{
    for (auto &machine : m_machines) {
        if (machine.m_zone != 0 || machine.m_isLost) {
            continue;
        }
        machine.m_isLost = true;
        machine.m_worker->setUnlisted(currentTime());
        while (!machine.m_tasks.empty()) {
            Task task = removeTask(machine, machine.m_tasks.size() - 1);
            m_result.m_wastedWork += coreHours(task.m_uncheckpointedSeconds, task.m_use);
            task.m_remainingSeconds += task.m_uncheckpointedSeconds;
            task.m_uncheckpointedSeconds = 0.0;
            m_queue.push_back(std::move(task));
        }
    }
}

auto PolicySimulation::run() -> PolicyResult
{
    for (; m_now < durationSeconds; m_now += stepSeconds) {
        if (m_scenario.m_zoneFails && m_now >= halfwaySeconds) {
            failZone();
        }
        applyReports();
        submitArrivals();
        placeQueuedTasks();
        for (std::size_t i = 0; i < m_machines.size(); ++i) {
            if (!m_machines[i].m_isLost) {
                advanceTasks(m_machines[i]);
                sampleLatencies(m_machines[i], i);
            }
        }
    }
    constexpr double microsPerSecond = 1e6;
    m_result.m_p50 = m_latencies.quantile(0.5);
    m_result.m_p99 = m_latencies.quantile(0.99);
    m_result.m_p999 = m_latencies.quantile(0.999);
    m_result.m_withinTarget = static_cast<double>(m_requestsWithinTarget) / static_cast<double>(std::max<std::uint64_t>(1, m_requestCount));
    m_result.m_placementMicros = microsPerSecond * m_searchSeconds / static_cast<double>(std::max<std::uint64_t>(1, m_result.m_placements));
    return m_result;
}
}
