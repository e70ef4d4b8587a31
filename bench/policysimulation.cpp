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
    double m_arrivalShare = 0.0;
    double m_sizeFactor = 1.0; ///< of the mean task
    double m_seconds = 0.0; ///< mean run time
    std::array<double, 2> m_effects; ///< on each service
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

constexpr double duration = 1'500.0;
constexpr double warmUp = 300.0; // the fleet fills and the model learns; not measured
constexpr double step = 2.0;
constexpr double reportPeriod = 5.0;
constexpr double reportLag = 12.0;
constexpr double waveFrom = 600.0;
constexpr double waveTo = 800.0;
constexpr double half = 750.0;
constexpr double serviceShare = 0.25; // of the worker, reserved for its service
constexpr double fill = 0.7; // of the batch capacity under steady load
constexpr double memoryNeed = 0.75; // share of the memory that fills with the processors
constexpr double baseLoad = 0.5;
constexpr double baseLatency = 4.0; // median, milliseconds
constexpr double sigma = 0.5; // of the logarithm of the latency
constexpr double p99Deviations = 2.326;
constexpr double targetMargin = 1.25; // the target is this far above the p99 of the service alone at the base load
constexpr double checkpointPeriod = 60.0;
constexpr double evictionCost = 5.0; // seconds of work to checkpoint and to start again
constexpr double secondsPerHour = 3'600.0;

[[nodiscard]] auto aloneFactor(double load) noexcept -> double
{
    return 1.0 + 0.2 * load * load;
}

[[nodiscard]] auto targetLatency() noexcept -> double
{
    return targetMargin * baseLatency * std::exp(sigma * p99Deviations) * aloneFactor(baseLoad);
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
    , m_subject(policy)
    , m_arrivals(seed)
    , m_requests(seed + 1'000)
    , m_choices(seed + 2'000)
{
    if (m_subject.m_scored != nullptr) {
        Preset preset;
        preset.m_batchWeight = size.m_batchWeight;
        preset.m_tailWeight = size.m_tailWeight;
        m_subject.m_scored->setPreset(preset);
    }
    buildFleet();
}

auto PolicySimulation::buildFleet() -> void
{
    constexpr std::size_t rackSize = 8;
    constexpr std::size_t badPeriod = 20; // one in twenty
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
    m_table.update(hosts, time());
    const auto part = [](std::int64_t amount) {
        return static_cast<std::int64_t>(serviceShare * static_cast<double>(amount));
    };
    m_table.setReservation({.m_cpuMillis = part(m_size.m_cpuMillis), .m_memoryMb = part(m_size.m_memoryMb), .m_accelerators = 0});
    LeaseReport granted;
    granted.m_granted = true;
    for (std::size_t i = 0; i < m_size.m_workers; ++i) {
        Machine machine;
        machine.m_worker = &m_table.findOrAdd(hosts[i].m_name);
        machine.m_worker->recordRenewalAnswer(granted, time());
        machine.m_zone = i % m_size.m_zones;
        machine.m_service = i / m_size.m_zones % services.size();
        machine.m_nextReport = reportPeriod * m_arrivals.unit();
        if (m_scenario.m_badWorkers) {
            machine.m_speed = i % badPeriod == 3 ? 1.0 / 3.0 : 1.0;
            machine.m_failureShare = i % badPeriod == 7 ? 0.8 : 0.0;
        }
        m_machines.push_back(std::move(machine));
        m_subject.m_model.setShare(hosts[i].m_name, classes[0].m_name, 0.0, time());
    }
}

auto PolicySimulation::time() const noexcept -> TimePoint
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_now)));
}

auto PolicySimulation::normal() noexcept -> double
{
    const double radius = std::sqrt(-2.0 * std::log(1.0 - m_requests.unit()));
    return radius * std::cos(2.0 * std::numbers::pi * m_requests.unit());
}

auto PolicySimulation::loadNow() const noexcept -> double
{
    constexpr double wave = 0.1;
    double load = baseLoad * (1.0 + wave * std::sin(m_now / 100.0));
    if (m_now >= duration / 3.0) {
        load *= m_scenario.m_loadFactor;
    }
    if (m_scenario.m_zoneLost && m_now >= half) {
        load *= static_cast<double>(m_size.m_zones) / static_cast<double>(m_size.m_zones - 1);
    }
    return load;
}

auto PolicySimulation::submit(std::size_t jobClass) -> void
{
    const BatchClass &kind = classes[jobClass];
    const double share = (1.0 - serviceShare) / static_cast<double>(m_size.m_tasksPerWorker);
    const double variation = 0.8 + 0.4 * m_arrivals.unit();
    const auto amount = [&](std::int64_t capacity) {
        return static_cast<std::int64_t>(share * kind.m_sizeFactor * variation * static_cast<double>(capacity));
    };
    Task task;
    task.m_id = "t" + std::to_string(m_nextTask++);
    task.m_class = jobClass;
    task.m_use = {.m_cpuMillis = amount(m_size.m_cpuMillis),
                  .m_memoryMb = amount(static_cast<std::int64_t>(memoryNeed * static_cast<double>(m_size.m_memoryMb))),
                  .m_accelerators = 0};
    task.m_left = kind.m_seconds * (0.5 + m_arrivals.unit());
    task.m_declared.m_class = kind.m_name;
    task.m_declared.m_demand = task.m_use;
    if (m_scenario.m_declaredFactor > 1.0) {
        const double factor = jobClass % 2 == 0 ? m_scenario.m_declaredFactor : 1.0 / m_scenario.m_declaredFactor;
        task.m_declared.m_demand.m_cpuMillis = static_cast<std::int64_t>(factor * static_cast<double>(task.m_use.m_cpuMillis));
        task.m_declared.m_demand.m_memoryMb = static_cast<std::int64_t>(factor * static_cast<double>(task.m_use.m_memoryMb));
    }
    m_queue.push_back(std::move(task));
}

auto PolicySimulation::arrive() -> void
{
    double meanWork = 0.0; // of one arrival, in shares of a full worker's batch capacity times seconds
    for (const auto &kind : classes) {
        meanWork += kind.m_arrivalShare * kind.m_sizeFactor * kind.m_seconds / static_cast<double>(m_size.m_tasksPerWorker);
    }
    const double factor = m_now >= duration / 3.0 ? m_scenario.m_loadFactor : 1.0;
    m_owed += fill * factor * static_cast<double>(m_size.m_workers) / meanWork * step;
    for (; m_owed >= 1.0; m_owed -= 1.0) {
        double draw = m_arrivals.unit();
        std::size_t jobClass = 0;
        while (jobClass + 1 < classes.size() && draw >= classes[jobClass].m_arrivalShare) {
            draw -= classes[jobClass++].m_arrivalShare;
        }
        submit(jobClass);
    }
    if (m_now >= waveFrom && m_now < waveTo) {
        m_owedWave += m_scenario.m_waveShare * static_cast<double>(m_size.m_workers * m_size.m_tasksPerWorker) * step / (waveTo - waveFrom);
        for (; m_owedWave >= 1.0; m_owedWave -= 1.0) {
            submit(noisyClass);
        }
    }
}

auto PolicySimulation::placeTask(Task &task) -> bool
{
    const auto before = std::chrono::steady_clock::now();
    task.m_reserved = task.m_declared;
    std::optional<std::size_t> chosen;
    if (m_subject.m_scored != nullptr) {
        Resources largest{.m_cpuMillis = m_size.m_cpuMillis, .m_memoryMb = m_size.m_memoryMb, .m_accelerators = 0};
        largest -= m_table.reservation();
        task.m_reserved.m_demand = m_subject.m_sizes.reservationFor(task.m_declared, largest);
        m_table.sampleCandidates(task.m_reserved.m_demand, ScoredPolicy::maxCandidates, m_choices, time(), m_candidates);
    } else {
        m_table.findCandidates(task.m_reserved.m_demand, time(), m_candidates);
    }
    chosen = m_subject.m_policy->choose(task.m_reserved, m_candidates, m_choices);
    m_searchSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - before).count();
    ++m_result.m_placements;
    if (!chosen) {
        return false;
    }
    Worker &worker = m_table.findOrAdd(m_candidates[*chosen].m_worker->m_name);
    worker.reserve(task.m_id, task.m_reserved.m_class, task.m_reserved.m_demand, m_table.reservation());
    m_subject.m_spread.add(task.m_reserved.m_class, worker.m_host.m_place);
    Machine &machine = m_machines[std::stoul(worker.m_name.substr(1))];
    task.m_started = m_now;
    const std::size_t jobClass = task.m_class;
    machine.m_tasks.push_back(std::move(task));
    updateShare(machine, jobClass);
    return true;
}

auto PolicySimulation::place() -> void
{
    if (m_subject.m_policy == nullptr) {
        m_queue.clear();
        return;
    }
    if (m_subject.m_scored != nullptr) {
        m_subject.m_model.refresh(time());
        m_subject.m_scored->setTime(time());
    }
    std::array<bool, classes.size()> full{}; // a class that fitted nowhere is not tried again in this pass
    std::deque<Task> left;
    while (!m_queue.empty() && !std::ranges::all_of(full, std::identity())) {
        Task task = std::move(m_queue.front());
        m_queue.pop_front();
        const std::size_t jobClass = task.m_class;
        if (full[jobClass] || !placeTask(task)) {
            full[jobClass] = true;
            left.push_back(std::move(task));
        }
    }
    m_queue.insert(m_queue.begin(), std::make_move_iterator(left.begin()), std::make_move_iterator(left.end()));
}

auto PolicySimulation::updateShare(const Machine &machine, std::size_t jobClass) -> void
{
    double share = 0.0;
    for (const auto &task : machine.m_tasks) {
        if (task.m_class == jobClass) {
            share += static_cast<double>(task.m_reserved.m_demand.m_cpuMillis) / static_cast<double>(m_size.m_cpuMillis) * throttleOf(machine, task);
        }
    }
    m_subject.m_model.setShare(machine.m_worker->m_name, classes[jobClass].m_name, share, time());
}

auto PolicySimulation::throttleOf(const Machine &machine, const Task &task) const -> double
{
    constexpr double hundredPercent = 100.0;
    return m_subject.m_controller.percentOf(machine.m_worker->m_name, classes[task.m_class].m_name) / hundredPercent;
}

auto PolicySimulation::slowdownOf(const Machine &machine) const -> double
{
    constexpr double overloadEffect = 3.0;
    double growth = 0.0;
    double used = 0.0;
    for (const auto &task : machine.m_tasks) {
        const double share = static_cast<double>(task.m_use.m_cpuMillis) / static_cast<double>(m_size.m_cpuMillis) * throttleOf(machine, task);
        const bool exchanged = m_scenario.m_pairingsShift && m_now >= half;
        growth += share * classes[task.m_class].m_effects[exchanged ? 1 - machine.m_service : machine.m_service];
        used += share;
    }
    const double load = loadNow();
    const double overload = std::max(0.0, used + serviceShare * load - 1.0);
    return aloneFactor(load) + (0.5 + load) * growth + overloadEffect * overload;
}

auto PolicySimulation::removeTask(Machine &machine, std::size_t index) -> Task
{
    Task task = std::move(machine.m_tasks[index]);
    machine.m_tasks.erase(machine.m_tasks.begin() + static_cast<std::ptrdiff_t>(index));
    machine.m_worker->release(task.m_id, task.m_reserved.m_class, task.m_reserved.m_demand);
    m_subject.m_spread.remove(task.m_reserved.m_class, machine.m_worker->m_host.m_place);
    updateShare(machine, task.m_class);
    return task;
}

auto PolicySimulation::killOversized(Machine &machine) -> void
{
    std::int64_t used = 0;
    for (const auto &task : machine.m_tasks) {
        used += task.m_use.m_memoryMb;
    }
    const auto limit = static_cast<std::int64_t>((1.0 - serviceShare) * static_cast<double>(m_size.m_memoryMb)) + 1;
    while (used > limit) {
        Task task = removeTask(machine, machine.m_tasks.size() - 1);
        used -= task.m_use.m_memoryMb;
        m_result.m_wastedWork += coreHours(task.m_done, task.m_use);
        m_result.m_evictions += 1;
        task.m_left += task.m_done;
        task.m_done = 0.0;
        m_queue.push_back(std::move(task));
    }
}

auto PolicySimulation::finishTask(Machine &machine, std::size_t index) -> void
{
    const bool failed = machine.m_failureShare > 0.0 && m_choices.unit() < machine.m_failureShare;
    Task task = removeTask(machine, index);
    if (failed) {
        // A failed task starts again from its last checkpoint.
        m_result.m_wastedWork += coreHours(task.m_done, task.m_use);
        task.m_left += task.m_done;
        task.m_done = 0.0;
        m_queue.push_back(std::move(task));
        if (m_table.countFailure(*machine.m_worker, time())) {
            machine.m_worker->m_failures = 0;
        }
        return;
    }
    machine.m_worker->m_failures = 0;
    m_result.m_batchWork += m_now >= warmUp ? coreHours(task.m_done, task.m_use) : 0.0;
    m_subject.m_sizes.addAttempt(task.m_declared, task.m_use, Milliseconds(static_cast<std::int64_t>((m_now - task.m_started) * 1'000.0)), time());
}

auto PolicySimulation::advance(Machine &machine) -> void
{
    killOversized(machine);
    double used = 0.0;
    for (const auto &task : machine.m_tasks) {
        used += static_cast<double>(task.m_use.m_cpuMillis) * throttleOf(machine, task);
    }
    const double room = static_cast<double>(m_size.m_cpuMillis) * (1.0 - serviceShare * std::min(1.0, loadNow()));
    const double rate = machine.m_speed * std::min(1.0, room / std::max(used, 1.0)) * step;
    for (std::size_t i = machine.m_tasks.size(); i-- > 0;) {
        Task &task = machine.m_tasks[i];
        const double worked = rate * throttleOf(machine, task);
        task.m_left -= worked;
        task.m_done += worked;
        if (task.m_left <= 0.0) {
            finishTask(machine, i);
        } else if (task.m_done >= checkpointPeriod) {
            m_result.m_batchWork += m_now >= warmUp ? coreHours(task.m_done, task.m_use) : 0.0;
            task.m_done = 0.0;
        }
    }
}

auto PolicySimulation::measure(Machine &machine, std::size_t index) -> void
{
    constexpr std::size_t requestsPerStep = 8;
    constexpr double noise = 0.1; // of the p99 that a worker measures over a short window
    const double slowdown = slowdownOf(machine);
    for (std::size_t i = 0; i < requestsPerStep; ++i) {
        const double latency = baseLatency * slowdown * std::exp(sigma * normal());
        if (m_now >= warmUp) {
            m_latencies.add(latency);
            ++m_requestCount;
            m_inTarget += latency <= targetLatency() ? 1 : 0;
        }
    }
    const double error = 1.0 + noise * normal();
    if (m_subject.m_scored == nullptr || m_now < machine.m_nextReport) {
        return;
    }
    machine.m_nextReport = m_now + reportPeriod;
    Report report{.m_arrives = m_now + reportLag, .m_taken = m_now, .m_machine = index, .m_load = loadNow(), .m_ratio = 0.0, .m_usage = {}};
    report.m_ratio = baseLatency * slowdown * std::exp(sigma * p99Deviations) * error / targetLatency();
    for (const auto &task : machine.m_tasks) {
        report.m_usage.emplace_back(task.m_class, task.m_use);
    }
    m_reports.push_back(std::move(report));
}

auto PolicySimulation::learn() -> void
{
    while (!m_reports.empty() && m_reports.front().m_arrives <= m_now) {
        const Report report = std::move(m_reports.front());
        m_reports.pop_front();
        Machine &machine = m_machines[report.m_machine];
        for (const auto &[jobClass, usage] : report.m_usage) {
            m_subject.m_sizes.observe(classes[jobClass].m_name, usage);
        }
        const auto taken = TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(report.m_taken)));
        m_subject.m_model.addSample({.m_worker = machine.m_worker->m_name,
                                     .m_service = services[machine.m_service],
                                     .m_takenAt = taken,
                                     .m_load = report.m_load,
                                     .m_ratio = report.m_ratio},
                                    time());
        if (!machine.m_lost) {
            react(report);
        }
    }
}

auto PolicySimulation::react(const Report &report) -> void
{
    Machine &machine = m_machines[report.m_machine];
    const auto lag = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(reportLag));
    const Reaction reaction = m_subject.m_controller.react(machine.m_worker->m_name, report.m_ratio, lag, m_subject.m_model, time());
    if (reaction.m_kind == Reaction::Kind::Evict) {
        for (std::size_t i = machine.m_tasks.size(); i-- > 0;) {
            if (classes[machine.m_tasks[i].m_class].m_name == reaction.m_class) {
                Task task = removeTask(machine, i);
                m_result.m_batchWork += m_now >= warmUp ? coreHours(task.m_done, task.m_use) : 0.0;
                task.m_done = -evictionCost; // the repeated work does not count as finished
                task.m_left += evictionCost;
                m_result.m_wastedWork += coreHours(evictionCost, task.m_use);
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

auto PolicySimulation::loseZone() -> void
{
    for (auto &machine : m_machines) {
        if (machine.m_zone != 0 || machine.m_lost) {
            continue;
        }
        machine.m_lost = true;
        machine.m_worker->setUnlisted(time());
        while (!machine.m_tasks.empty()) {
            Task task = removeTask(machine, machine.m_tasks.size() - 1);
            m_result.m_wastedWork += coreHours(task.m_done, task.m_use);
            task.m_left += task.m_done;
            task.m_done = 0.0;
            m_queue.push_back(std::move(task));
        }
    }
}

auto PolicySimulation::run() -> PolicyResult
{
    for (; m_now < duration; m_now += step) {
        if (m_scenario.m_zoneLost && m_now >= half) {
            loseZone();
        }
        learn();
        arrive();
        place();
        for (std::size_t i = 0; i < m_machines.size(); ++i) {
            if (!m_machines[i].m_lost) {
                advance(m_machines[i]);
                measure(m_machines[i], i);
            }
        }
    }
    constexpr double microsPerSecond = 1e6;
    m_result.m_p50 = m_latencies.at(0.5);
    m_result.m_p99 = m_latencies.at(0.99);
    m_result.m_p999 = m_latencies.at(0.999);
    m_result.m_withinTarget = static_cast<double>(m_inTarget) / static_cast<double>(std::max<std::uint64_t>(1, m_requestCount));
    m_result.m_placementMicros = microsPerSecond * m_searchSeconds / static_cast<double>(std::max<std::uint64_t>(1, m_result.m_placements));
    return m_result;
}
}
