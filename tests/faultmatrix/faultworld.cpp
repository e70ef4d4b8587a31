#include "faultmatrix/faultworld.hpp"

#include "burdockspur/host/idempotencytable.hpp"
#include "faultmatrix/faulttable.hpp"

#include <algorithm>
#include <ranges>

namespace Burdockspur::FaultMatrix
{
namespace
{
constexpr Milliseconds callTimeout{2'000};
constexpr Milliseconds faultLength{20'000}; // longer than the worker lease of 15 s and the owner lease of 2.5 s
constexpr Milliseconds isolationLength{90'000}; // each lost renewal extends the lease that the owner assumes, so expiry takes longer than one lease
constexpr Milliseconds restartTime{5'000};
constexpr Milliseconds workerRestartTime{300}; // within the deadline of a request, so that the request is settled with the restarted worker
constexpr Milliseconds listLag{1'000};
constexpr Milliseconds pollPeriod{1'000};
constexpr Milliseconds leavingBound{4'000}; // "a few seconds" of I7 after the list shows the worker as leaving: covers a poll and a message in flight
constexpr Milliseconds configurationBound{4'000}; // time limit of I9
constexpr Milliseconds watcherEnd{60'000};
constexpr Milliseconds quietTime{30'000}; // long enough for late effects of delayed messages to appear
constexpr Milliseconds runLimit{600'000};
constexpr std::uint64_t requestCount = 24;

template<typename Host>
[[nodiscard]] auto rawPointer(const std::unique_ptr<Host> &host) -> Process *
{
    return host.get();
}

[[nodiscard]] auto recordOf(const SimulatedWorker &worker, TimePoint now) -> HostRecord
{
    HostRecord record;
    record.m_name = worker.m_name;
    record.m_address = "127.0.0.1";
    record.m_port = 1;
    record.m_place.m_zone = "a";
    record.m_capacity = worker.m_spec.m_capacity;
    record.m_slots = static_cast<std::uint32_t>(worker.m_spec.m_slots);
    record.m_state = now >= worker.m_leavesAt && now < worker.m_returnsAt ? HostState::Leaving : HostState::Live;
    return record;
}
}

FaultWorld::FaultWorld(std::uint64_t seed, const Guards &guards)
    : m_simulation(seed)
    , m_platform(m_simulation)
    , m_start(m_simulation.m_now)
    , m_faultsEnd(m_simulation.m_now)
{
    m_platform.m_guards = guards;
    for (const auto *const name : {"w0", "w1", "w2"}) {
        m_workers.push_back(std::make_unique<SimulatedWorker>(name, m_simulation, m_simulation.m_random.next64()));
    }
    m_simulation.m_inspect = [this](const Message &message) {
        return inspect(message);
    };
    std::vector<HostRecord> hosts;
    for (const auto &worker : m_workers) {
        hosts.push_back(recordOf(*worker, m_simulation.m_now));
    }
    for (const auto *const name : {"e0", "e1"}) {
        HostRecord record;
        record.m_name = name;
        record.m_role = HostRole::Entry;
        record.m_address = "127.0.0.1";
        record.m_port = 1;
        hosts.push_back(record);
    }
    m_platform.m_hostList.set(m_simulation.m_now, hosts, Duration(0));
    static_cast<void>(m_platform.m_table.commit({.m_conditions = {}, .m_puts = {{"config", "accept first"}}, .m_deletes = {}}));
    for (const auto *const name : {"s0", "s1", "s2"}) {
        m_schedulers.push_back(std::make_unique<SchedulerHost>(name, m_simulation, m_platform, m_workers));
    }
    for (const auto *const name : {"e0", "e1"}) {
        m_entries.push_back(std::make_unique<EntryHost>(
            name,
            m_simulation,
            m_platform,
            m_workers,
            [this](std::uint64_t ticket, const RequestAnswer &answer) {
                m_requests.at(ticket).m_answers.push_back(answer);
            },
            m_entries));
        m_operators.push_back(std::make_unique<TableLink>(m_platform, *m_entries.back()));
    }
}

auto FaultWorld::arm(Step step, FaultInjector injector, int occurrence) -> void
{
    m_armed.push_back({step, injector, occurrence});
}

auto FaultWorld::inspect(const Message &message) -> Delivery
{
    Delivery delivery;
    for (const auto step : message.m_steps) {
        for (auto &armed : m_armed) {
            if (armed.m_step != step || armed.m_left-- != 0) {
                continue;
            }
            ++m_injectedFaults;
            m_faultsEnd = std::max(m_faultsEnd, m_simulation.m_now + faultLength);
            (this->*armed.m_injector)(message, delivery);
        }
    }
    if (m_loseForward && std::ranges::count(message.m_steps, Step::Request) > 0) {
        m_loseForward = false;
        delivery.m_answered = false;
    }
    return delivery;
}

auto FaultWorld::run(Step step) -> void
{
    scheduleLoad();
    const auto column = std::ranges::find(stepColumns, step, &StepColumn::m_step);
    (this->*column->m_prepare)();
    const TimePoint limit = m_start + runLimit;
    while (m_simulation.m_now < limit && !isIdle()) {
        this->step();
    }
    if (!isIdle()) {
        addViolation("liveness: " + openWork());
    }
    const TimePoint end = m_simulation.m_now + quietTime;
    while (m_simulation.m_now < end) {
        this->step();
    }
    check();
}

auto FaultWorld::step() -> void
{
    TimePoint next = m_simulation.nextAction();
    for (const auto &host : m_schedulers) {
        next = std::min(next, host->deadline());
    }
    for (const auto &host : m_entries) {
        next = std::min(next, host->deadline());
    }
    for (const auto &worker : m_workers) {
        next = std::min(next, worker->nextEvent());
    }
    // Time advances by at least 1 ms even when a deadline stays in the past, as in ShardDuty.
    m_simulation.m_now = std::max(next, m_simulation.m_now + Milliseconds(1));
    for (const auto &worker : m_workers) {
        worker->advance();
    }
    m_simulation.runDue();
    for (const auto &host : m_schedulers) {
        host->pump();
    }
    for (const auto &host : m_entries) {
        host->pump();
    }
    observeConfiguration();
}

auto FaultWorld::scheduleLoad() -> void
{
    constexpr std::array<std::int64_t, 8> durations{2'000, 4'000, 6'000, 8'000, 12'000, 20'000, 3'000, 5'000};
    constexpr Milliseconds firstSubmission{500};
    constexpr Milliseconds submissionPeriod{300};
    for (std::size_t i = 0; i <= durations.size(); ++i) {
        const std::string id = "j" + std::to_string(i);
        JobSpec &spec = m_jobs[id].m_spec;
        const bool isWatcher = i == durations.size();
        spec.m_kind = isWatcher ? JobKind::Watcher : JobKind::Batch;
        spec.m_class = "plain";
        spec.m_demand = {.m_cpuMillis = isWatcher ? 500 : 1'500, .m_memoryMb = 500, .m_accelerators = 0};
        spec.m_durationMs = isWatcher ? 0 : durations[i];
        spec.m_payload = id;
        m_simulation.after(firstSubmission + i * submissionPeriod, [this, id] {
            submit(id, 0);
        });
        if (isWatcher) {
            m_simulation.after(watcherEnd, [this, id] {
                cancel(id, 0);
            });
        }
    }
    constexpr Milliseconds firstRequest{1'500};
    constexpr Milliseconds requestPeriod{450};
    for (std::uint64_t ticket = 1; ticket <= requestCount; ++ticket) {
        CallerRequest &caller = m_requests[ticket];
        caller.m_host = ticket % 2;
        // Every third request is idempotent; two requests in eight share a key on both entry hosts.
        const bool keyed = ticket % 8 < 2;
        const std::string id = keyed ? "k" + std::to_string((ticket + 1) / 8) : "r" + std::to_string(ticket);
        caller.m_request = {.m_id = id,
                            .m_service = "seats",
                            .m_caller = "caller",
                            .m_idempotencyKey = keyed ? id : std::string(),
                            .m_idempotent = !keyed && ticket % 3 == 0,
                            .m_deadline = {},
                            .m_body = id};
        if (keyed) {
            caller.m_request.m_id = requestIdOfKey(caller.m_request); // the id under which the router sends the request
        }
        m_simulation.after(firstRequest + ticket * requestPeriod, [this, ticket] {
            sendRequest(ticket);
        });
    }
}

auto FaultWorld::submit(const std::string &job, std::size_t attempt) -> void
{
    if (m_jobs.at(job).m_accepted) {
        return;
    }
    EntryHost &entry = *m_entries[attempt % m_entries.size()];
    SchedulerHost &scheduler = *m_schedulers[attempt % m_schedulers.size()];
    // Callers retry at another entry host when this one does not run.
    if (entry.isRunning(m_simulation.m_now)) {
        std::vector<Step> steps;
        if (scheduler.isOwner()) {
            steps.push_back(Step::Submit);
        }
        m_simulation.call(
            {steps, &entry, &scheduler},
            callTimeout,
            [this, &scheduler, job](const Simulation::Respond &respond) {
                scheduler.submit(job, m_jobs.at(job).m_spec, [this, respond, job](const Result<Job> &result) {
                    if (result && !m_platform.m_jobs.contains(job)) {
                        addViolation("I2 " + job + " was accepted before it was durable");
                    }
                    respond([this, job, accepted = result.has_value()] {
                        m_jobs.at(job).m_accepted = m_jobs.at(job).m_accepted || accepted;
                    });
                });
            },
            [](bool /*refused*/) {});
    }
    m_simulation.after(Milliseconds(300), [this, job, attempt] {
        submit(job, attempt + 1);
    });
}

auto FaultWorld::cancel(const std::string &job, std::size_t attempt) -> void
{
    m_jobs.at(job).m_cancelled = true;
    const auto durable = m_platform.m_jobs.find(job);
    if (durable != m_platform.m_jobs.end() && isTerminal(durable->second.m_state)) {
        return;
    }
    EntryHost &entry = *m_entries[attempt % m_entries.size()];
    SchedulerHost &scheduler = *m_schedulers[attempt % m_schedulers.size()];
    if (entry.isRunning(m_simulation.m_now) && m_jobs.at(job).m_accepted) {
        std::vector<Step> steps;
        if (scheduler.isOwner()) {
            steps.push_back(Step::Cancel);
        }
        m_simulation.call(
            {steps, &entry, &scheduler},
            callTimeout,
            [&scheduler, job](const Simulation::Respond &respond) {
                scheduler.cancel(job, [respond](const Result<Job> & /*result*/) {
                    respond([] {});
                });
            },
            [](bool /*refused*/) {});
    }
    m_simulation.after(Milliseconds(300), [this, job, attempt] {
        cancel(job, attempt + 1);
    });
}

auto FaultWorld::sendRequest(std::uint64_t ticket) -> void
{
    constexpr Milliseconds deadline{5'000};
    CallerRequest &caller = m_requests.at(ticket);
    // Acts as a load balancer that sends callers only to entry hosts that accept connections.
    if (!m_entries[caller.m_host]->m_alive) {
        caller.m_host = 1 - caller.m_host;
    }
    EntryHost &entry = *m_entries[caller.m_host];
    if (!entry.m_alive) {
        m_simulation.after(Milliseconds(300), [this, ticket] {
            sendRequest(ticket);
        });
        return;
    }
    caller.m_processGeneration = entry.m_processGeneration;
    caller.m_request.m_deadline = m_simulation.m_now + deadline;
    m_simulation.after(entry, Duration(0), [&entry, &caller, ticket] {
        entry.request(ticket, caller.m_request);
    });
}

auto FaultWorld::advanceConfigChange() -> void
{
    const auto change = std::ranges::find(m_changes, false, &OperatorChange::m_done);
    if (change == m_changes.end()) {
        return;
    }
    const auto next = [this] {
        advanceConfigChange();
    };
    m_simulation.after(callTimeout, next);
    const auto index = static_cast<std::size_t>(change - m_changes.begin());
    auto &entry = *m_entries[m_entries[0]->isRunning(m_simulation.m_now) ? 0 : 1];
    if (m_simulation.m_now < change->m_begin || !entry.isRunning(m_simulation.m_now)) {
        return;
    }
    m_operators[&entry == m_entries[0].get() ? 0 : 1]->read("config", [this, index, &entry](Result<std::vector<TableRow>> &&rows) {
        OperatorChange &current = m_changes[index];
        if (!rows || rows->empty() || current.m_done) {
            return;
        }
        const std::string value = current.m_value + " " + current.m_operation;
        if (rows->front().m_value == value) {
            current.m_done = true;
            return;
        }
        writeConfigChange(entry, value, rows->front().m_version, [this, index](CommitResult::Status status) {
            if (status == CommitResult::Status::Committed) {
                m_changes[index].m_done = true;
            }
        });
    });
}

auto FaultWorld::writeConfigChange(Process &from, const std::string &value, std::uint64_t version, const std::function<void(CommitResult::Status)> &result)
    -> void
{
    TableLink &link = *m_operators[&from == m_entries[0].get() ? 0 : 1];
    link.commit({.m_conditions = {{"config", version}}, .m_puts = {{"config", value}}, .m_deletes = {}}, [result](const CommitResult &answer) {
        result(answer.m_status);
    });
}

auto FaultWorld::observeConfiguration() -> void
{
    const auto row = m_platform.m_table.read("config");
    if (row->m_version != m_configVersion) {
        m_configVersion = row->m_version;
        m_configChanged = m_simulation.m_now;
    }
    for (const auto &host : m_schedulers) {
        observeVersion(*host, host->configVersion());
    }
    for (const auto &host : m_entries) {
        observeVersion(*host, host->configVersion());
    }
}

auto FaultWorld::observeVersion(const Process &process, std::uint64_t version) -> void
{
    if (!process.m_alive) {
        return;
    }
    ObservedVersion &observed = m_versions[process.m_name];
    if (observed.m_processGeneration != process.m_processGeneration) {
        observed = {.m_processGeneration = process.m_processGeneration, .m_version = version, .m_since = m_simulation.m_now};
    }
    if (version < observed.m_version) {
        addViolation("I9 " + process.m_name + " went back to configuration " + std::to_string(version));
    }
    observed.m_version = version;
    // Hosts may be unable to reach the row while a fault lasts.
    const TimePoint due = std::max({m_configChanged, observed.m_since, m_faultsEnd}) + configurationBound;
    if (version < m_configVersion && m_simulation.m_now > due) {
        addViolation("I9 " + process.m_name + " still has configuration " + std::to_string(version));
    }
}

auto FaultWorld::restartLater(Process &process) -> void
{
    const bool isWorker = std::ranges::count(m_workers, &process, &rawPointer<SimulatedWorker>) > 0;
    const Duration delay = isWorker ? workerRestartTime : restartTime;
    m_simulation.after(delay, [&process, generation = process.m_processGeneration] {
        if (process.m_processGeneration == generation) {
            process.restart();
        }
    });
}

auto FaultWorld::setListed(SimulatedWorker &worker, HostState state) -> void
{
    static_cast<void>(m_platform.m_hostList.setState(m_simulation.m_now, worker.m_name, state, listLag));
}

auto FaultWorld::activateTemporarily(int &counter) -> void
{
    ++counter;
    m_simulation.after(faultLength, [&counter] {
        --counter;
    });
}

auto FaultWorld::processOf(const Message &message) -> Process &
{
    const bool toScheduler = std::ranges::count(m_schedulers, message.m_receiver, &rawPointer<SchedulerHost>) > 0;
    return toScheduler ? *message.m_receiver : *message.m_sender;
}

auto FaultWorld::workerOf(const Message &message) -> SimulatedWorker &
{
    for (const auto &worker : m_workers) {
        if (worker.get() == message.m_receiver) {
            return *worker;
        }
    }
    return **std::ranges::max_element(m_workers, {}, [](const auto &worker) {
        return worker->m_model.tasks().runningCount();
    });
}

auto FaultWorld::owner() -> SchedulerHost *
{
    const auto found = std::ranges::find_if(m_schedulers, [](const auto &host) {
        return host->isOwner();
    });
    return found == m_schedulers.end() ? nullptr : found->get();
}

auto FaultWorld::isIdle() const -> bool
{
    return m_simulation.m_now >= m_faultsEnd && openWork().empty();
}

auto FaultWorld::openWork() const -> std::string
{
    std::string open;
    for (const auto &[id, job] : m_jobs) {
        const auto durable = m_platform.m_jobs.find(id);
        const bool known = durable != m_platform.m_jobs.end();
        const bool reported = known && m_impossible.contains(id) && durable->second.m_state == JobState::Unschedulable;
        if (!job.m_accepted || !known || !(isTerminal(durable->second.m_state) || reported)) {
            open += id + (job.m_accepted ? " accepted " : " not accepted ") + (known ? std::string(jobStateName(durable->second.m_state)) : "unknown")
                + (known ? " attempt " + std::to_string(durable->second.m_attempt) + " on " + durable->second.m_worker : "") + "; ";
        }
    }
    for (const auto &[ticket, caller] : m_requests) {
        const bool gone = caller.m_processGeneration != 0 && caller.m_processGeneration != m_entries[caller.m_host]->m_processGeneration;
        if (caller.m_answers.empty() && !gone) {
            open += "request " + std::to_string(ticket) + " without an answer; ";
        }
    }
    if (std::ranges::count(m_changes, false, &OperatorChange::m_done) > 0) {
        open += "a change of configuration is open; ";
    }
    return open;
}

// Injectors of faults.

auto FaultWorld::killProcess(const Message &message, Delivery & /*delivery*/) -> void
{
    Process &process = processOf(message);
    process.kill();
    restartLater(process);
}

auto FaultWorld::pauseProcess(const Message &message, Delivery & /*delivery*/) -> void
{
    processOf(message).pause(m_simulation.m_now, m_simulation.m_now + faultLength);
}

auto FaultWorld::loseMessage(const Message & /*message*/, Delivery &delivery) -> void
{
    delivery.m_delivered = false;
}

auto FaultWorld::repeatMessage(const Message & /*message*/, Delivery &delivery) -> void
{
    delivery.m_repeated = true;
}

auto FaultWorld::delayMessage(const Message & /*message*/, Delivery &delivery) -> void
{
    constexpr Milliseconds beyondTimeouts{4'500}; // longer than the timeout of calls to a worker and to the store
    delivery.m_delay += beyondTimeouts;
}

auto FaultWorld::loseAnswer(const Message & /*message*/, Delivery &delivery) -> void
{
    delivery.m_answered = false;
}

auto FaultWorld::failStore(const Message & /*message*/, Delivery & /*delivery*/) -> void
{
    activateTemporarily(m_platform.m_outages);
}

auto FaultWorld::silenceStore(const Message & /*message*/, Delivery & /*delivery*/) -> void
{
    activateTemporarily(m_platform.m_silentOutages);
}

auto FaultWorld::slowStore(const Message & /*message*/, Delivery & /*delivery*/) -> void
{
    activateTemporarily(m_platform.m_slowdowns);
}

auto FaultWorld::limitStore(const Message & /*message*/, Delivery & /*delivery*/) -> void
{
    activateTemporarily(m_platform.m_rateLimits);
}

auto FaultWorld::crashWorker(const Message &message, Delivery & /*delivery*/) -> void
{
    // The worker crashes after the order has arrived and taken effect.
    constexpr Milliseconds untilArrival{60};
    SimulatedWorker &worker = workerOf(message);
    m_simulation.after(untilArrival, [this, &worker] {
        if (worker.m_alive) {
            worker.kill();
            restartLater(worker);
        }
    });
}

auto FaultWorld::pauseWorker(const Message &message, Delivery & /*delivery*/) -> void
{
    const TimePoint end = m_simulation.m_now + isolationLength;
    workerOf(message).pause(m_simulation.m_now, end);
    m_faultsEnd = std::max(m_faultsEnd, end);
}

auto FaultWorld::failTasks(const Message &message, Delivery & /*delivery*/) -> void
{
    SimulatedWorker &worker = workerOf(message);
    worker.m_faults.m_failAllTasks.m_value = 1;
    worker.m_faults.m_failRequests.m_value = 1;
}

auto FaultWorld::markWorkerLeaving(const Message &message, Delivery & /*delivery*/) -> void
{
    SimulatedWorker &worker = workerOf(message);
    if (worker.m_leavesAt != TimePoint::max()) {
        return;
    }
    // Only the host list marks the worker as leaving: the worker itself would still accept work, so the hosts must not send any.
    worker.m_leavesAt = m_simulation.m_now;
    setListed(worker, HostState::Leaving);
    m_simulation.after(faultLength, [this, &worker] {
        worker.m_returnsAt = m_simulation.m_now;
        setListed(worker, HostState::Live);
    });
}

auto FaultWorld::freezeHostList(const Message &message, Delivery & /*delivery*/) -> void
{
    activateTemporarily(m_platform.m_staleLists);
    m_freezes.emplace_back(m_simulation.m_now, m_simulation.m_now + faultLength);
    SimulatedWorker &worker = workerOf(message);
    worker.m_faults.m_leaving.m_value = 1;
    m_simulation.after(faultLength, [&worker] {
        worker.m_faults.m_leaving.m_value = 0;
    });
}

auto FaultWorld::cutLink(const Message &message, Delivery & /*delivery*/) -> void
{
    m_simulation.disconnect(message.m_sender, message.m_receiver);
    m_faultsEnd = std::max(m_faultsEnd, m_simulation.m_now + isolationLength);
    m_simulation.after(isolationLength, [this, one = message.m_sender, other = message.m_receiver] {
        m_simulation.reconnect(one, other);
    });
}

auto FaultWorld::raceOperators(const Message & /*message*/, Delivery & /*delivery*/) -> void
{
    const auto row = m_platform.m_table.read("config");
    const auto winners = std::make_shared<int>(0);
    for (const auto &entry : m_entries) {
        const std::string value = "accept by " + entry->m_name + " from version " + std::to_string(row->m_version);
        m_simulation.after(*entry, Milliseconds(0), [this, &entry, value, version = row->m_version, winners] {
            writeConfigChange(*entry, value, version, [this, winners](CommitResult::Status status) {
                *winners += status == CommitResult::Status::Committed ? 1 : 0;
                if (*winners > 1) {
                    addViolation("I9 two operators changed the same version");
                }
            });
        });
    }
}

auto FaultWorld::cancelWave(const Message & /*message*/, Delivery & /*delivery*/) -> void
{
    for (const auto &[id, job] : m_jobs) {
        m_simulation.after(Milliseconds(m_simulation.m_random.below(100)), [this, id] {
            cancel(id, 0);
        });
    }
}

auto FaultWorld::submitImpossible(const Message & /*message*/, Delivery & /*delivery*/) -> void
{
    const std::string id = "impossible" + std::to_string(m_impossible.size());
    m_impossible.insert(id);
    JobSpec &spec = m_jobs[id].m_spec;
    spec.m_class = "large";
    spec.m_demand = {.m_cpuMillis = 100'000, .m_memoryMb = 500, .m_accelerators = 0};
    spec.m_durationMs = 1'000;
    m_simulation.after(Milliseconds(1), [this, id] {
        submit(id, 0);
    });
}

auto FaultWorld::misdeclare(const Message & /*message*/, Delivery & /*delivery*/) -> void
{
    constexpr double sizeFactor = 3;
    constexpr double timeFactor = 4;
    for (const auto &worker : m_workers) {
        worker->m_faults.m_usageFactor.m_value = sizeFactor;
        worker->m_faults.m_durationFactor.m_value = timeFactor;
    }
}

// Scenarios.

auto FaultWorld::prepareNothing() -> void
{
}

auto FaultWorld::prepareEviction() -> void
{
    m_simulation.after(Milliseconds(5'000), [this] {
        Delivery delivery;
        markWorkerLeaving({}, delivery);
    });
    m_faultsEnd = std::max(m_faultsEnd, m_start + Milliseconds(5'000) + faultLength);
}

auto FaultWorld::prepareCancel() -> void
{
    m_simulation.after(Milliseconds(5'000), [this] {
        cancel("j5", 0);
        cancel("j4", 1);
    });
}

auto FaultWorld::prepareTakeover() -> void
{
    m_simulation.after(Milliseconds(5'000), [this] {
        if (SchedulerHost *const host = owner()) {
            host->kill();
            restartLater(*host);
        }
    });
}

auto FaultWorld::prepareDrain() -> void
{
    m_simulation.after(Milliseconds(5'000), [this] {
        if (SchedulerHost *const host = owner()) {
            host->drain();
            m_simulation.after(*host, Milliseconds(10'000), [this, host] {
                host->kill();
                restartLater(*host);
            });
        }
        EntryHost &entry = *m_entries[0];
        for (auto &[ticket, caller] : m_requests) {
            caller.m_drained = caller.m_host == 0 && caller.m_processGeneration != 0 && caller.m_answers.empty();
        }
        entry.drain();
    });
}

auto FaultWorld::prepareConfiguration() -> void
{
    m_changes.push_back({"hold", "change-1", m_start + Milliseconds(3'000)});
    m_changes.push_back({"accept", "change-2", m_start + Milliseconds(9'000)});
    advanceConfigChange();
}

auto FaultWorld::prepareSettle() -> void
{
    for (const auto delay : {4'000, 6'000}) {
        m_simulation.after(Milliseconds(delay), [this] {
            m_loseForward = true;
        });
    }
}

// Checks, based only on the audits of the worker models and on the durable rows.

auto FaultWorld::addViolation(std::string what) -> void
{
    m_platform.m_violations.push_back(std::move(what));
}

auto FaultWorld::check() -> void
{
    checkTasks();
    checkWorkers();
    checkRequests();
    checkConfiguration();
}

auto FaultWorld::checkTasks() -> void
{
    struct Execution {
        std::int64_t m_begin = 0;
        std::int64_t m_end = 0;
        std::string m_place;
    };
    std::map<std::string, std::vector<Execution>> executions;
    for (const auto &worker : m_workers) {
        std::map<std::string, std::int64_t> running;
        for (const auto &entry : worker->m_audit.journal().entries()) {
            const std::string place = worker->m_name + " attempt " + std::to_string(entry.m_attempt);
            if (entry.m_event == "task_started" && !running.emplace(entry.m_task, entry.m_wallMs).second) {
                addViolation("I2 " + entry.m_task + " started twice on " + place);
            } else if (entry.m_event == "task_ended") {
                executions[entry.m_task].push_back({running[entry.m_task], entry.m_wallMs, place});
                running.erase(entry.m_task);
            }
        }
        for (const auto &[task, begin] : running) {
            addViolation("liveness: " + task + " still runs on " + worker->m_name);
        }
    }
    for (auto &[task, places] : executions) {
        std::ranges::sort(places, {}, &Execution::m_begin);
        for (std::size_t i = 1; i < places.size(); ++i) {
            if (places[i].m_begin < places[i - 1].m_end) {
                addViolation("I2 " + task + " ran on " + places[i - 1].m_place + " and " + places[i].m_place + " at once");
            }
        }
    }
}

auto FaultWorld::checkWorkers() -> void
{
    for (const auto &worker : m_workers) {
        const auto &counts = worker->m_audit.counts();
        if (counts.m_peakCpuMillis > counts.m_capacityCpuMillis || counts.m_peakMemoryMb > counts.m_capacityMemoryMb
            || counts.m_peakSlots > counts.m_capacitySlots) {
            addViolation("I1 capacity of " + worker->m_name);
        }
        if (counts.m_attemptsRepeated > 0) {
            addViolation("I2 an attempt started twice on " + worker->m_name);
        }
        if (counts.m_startsAfterTombstone > 0) {
            addViolation("I5 something started after its tombstone on " + worker->m_name);
        }
        if (counts.m_startsWhileLeaving + counts.m_requestsWhileLeaving > 0) {
            addViolation("I7 " + worker->m_name + " took work while it was leaving");
        }
        if (worker->m_leavesAt == TimePoint::max()) {
            continue;
        }
        const TimePoint listed = listedLeavingAt(*worker);
        for (const auto &entry : worker->m_audit.journal().entries()) {
            const bool began = entry.m_event == "task_started" || entry.m_event == "request_started";
            if (began && entry.m_wallMs > virtualMs(listed + leavingBound) && entry.m_wallMs < virtualMs(worker->m_returnsAt)) {
                addViolation("I7 " + entry.m_task + entry.m_request + " started on leaving " + worker->m_name + " "
                             + std::to_string(entry.m_wallMs - virtualMs(listed)) + " ms after it was listed");
            }
        }
    }
}

auto FaultWorld::listedLeavingAt(const SimulatedWorker &worker) const -> TimePoint
{
    // Design section 7: hosts keep using the last list while the host list is stale.
    TimePoint listed = worker.m_leavesAt + listLag;
    for (const auto &[begin, end] : m_freezes) {
        if (begin <= listed + pollPeriod && end > listed) {
            listed = end;
        }
    }
    return listed;
}

auto FaultWorld::executionsOf(const ServiceRequest &request) const -> int
{
    int runs = 0;
    for (const auto &worker : m_workers) {
        for (const auto &entry : worker->m_audit.journal().entries()) {
            const bool same = entry.m_request == request.m_id || entry.m_request.starts_with(request.m_id + ".");
            runs += entry.m_event == "request_started" && same ? 1 : 0;
        }
    }
    return runs;
}

auto FaultWorld::checkRequests() -> void
{
    for (const auto &[ticket, caller] : m_requests) {
        checkRequest(ticket, caller);
    }
}

auto FaultWorld::checkRequest(std::uint64_t ticket, const CallerRequest &caller) -> void
{
    const ServiceRequest &request = caller.m_request;
    const int runs = executionsOf(request);
    const std::string name = "request " + request.m_id + " of caller " + std::to_string(ticket);
    if (!request.m_idempotent && runs > 1) {
        addViolation("I6 " + name + " ran " + std::to_string(runs) + " times");
    }
    if (caller.m_answers.size() > 1) {
        addViolation("I4 " + name + " was answered twice");
    }
    if (caller.m_answers.empty()) {
        return;
    }
    const RequestAnswer &answer = caller.m_answers.front();
    if (answer.m_outcome == Outcome::Answered && !answer.m_body.ends_with(":" + request.m_body)) {
        addViolation("I4 " + name + " got another answer");
    }
    if ((answer.m_outcome == Outcome::Answered || answer.m_outcome == Outcome::Failed) && runs == 0) {
        addViolation("I4 " + name + " got an answer without a run");
    }
    const bool sharesRun = std::ranges::any_of(m_requests, [&](const auto &other) {
        const auto &answers = other.second.m_answers;
        return other.first != ticket && other.second.m_request.m_id == request.m_id && (answers.empty() || answers.front().m_outcome != Outcome::Refused);
    });
    if (answer.m_outcome == Outcome::Refused && runs > 0 && !sharesRun) {
        addViolation("I5 " + name + " was refused and ran");
    }
    if (caller.m_drained && answer.m_outcome == Outcome::Refused) {
        addViolation("I8 " + name + " was interrupted by the drain");
    }
}

auto FaultWorld::checkConfiguration() -> void
{
    const auto row = m_platform.m_table.read("config");
    const auto check = [&](const Process &process, std::uint64_t version) {
        if (process.m_alive && version != row->m_version) {
            addViolation("I9 " + process.m_name + " has configuration " + std::to_string(version) + " instead of " + std::to_string(row->m_version));
        }
    };
    for (const auto &host : m_schedulers) {
        check(*host, host->configVersion());
    }
    for (const auto &host : m_entries) {
        check(*host, host->configVersion());
    }
}
}
