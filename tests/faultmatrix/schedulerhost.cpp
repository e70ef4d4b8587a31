#include "faultmatrix/schedulerhost.hpp"

#include "burdockspur/shard/bestfitspread.hpp"
#include "burdockspur/shard/ownedshard.hpp"
#include "burdockspur/shard/shardstore.hpp"
#include "faultmatrix/storelinks.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace Burdockspur::FaultMatrix
{
namespace
{
constexpr Milliseconds pollPeriod{1'000};
constexpr Milliseconds recoveryRetry{10'000};

[[nodiscard]] auto settingsWith(const Guards &guards) -> ShardSettings
{
    ShardSettings settings;
    settings.m_rowsPerSnapshot = 10; // small, so that each run also replaces journal rows by snapshots
    settings.m_guards = guards;
    return settings;
}
}

struct SchedulerHost::Private {
    Private(SchedulerHost &host, std::uint64_t seed)
        : m_host(host)
        , m_settings(settingsWith(host.m_platform.m_guards))
        , m_table(host.m_platform, host)
        , m_objects(host.m_platform, host)
        , m_store(m_table,
                  m_objects,
                  [this](ShardInput &&input) {
                      handleInput(input);
                  })
        , m_random(seed)
        , m_shard(0, host.m_name, m_settings)
        , m_pollAt(host.m_simulation.m_now)
    {
    }

    auto handleInput(ShardInput &input) -> void
    {
        std::visit(
            [this](auto &alternative) {
                if constexpr (requires { processInput(alternative); }) {
                    processInput(alternative);
                }
            },
            input);
        executeAll();
    }

    auto processInput(RowWritten &input) -> void
    {
        if (input.m_row == ShardRow::Owner) {
            ++m_host.m_simulation.m_steps;
            apply(m_shard.m_claim.onWritten(input, now(), m_random));
        } else {
            dispatch(input);
        }
    }

    auto processInput(RowRead &input) -> void
    {
        if (input.m_row != ShardRow::Owner) {
            dispatch(input);
            return;
        }
        m_host.m_simulation.m_steps += 2;
        apply(m_shard.m_claim.onRead(input, now(), m_random));
        m_shard.m_claim.tick(balance(), now(), m_random, m_commands);
    }

    auto processInput(SnapshotStored &input) -> void
    {
        dispatch(input);
    }

    auto processInput(ShardRecovered &input) -> void
    {
        if (m_shard.m_scheduler || !m_shard.m_claim.isOwner() || m_shard.m_claim.ownership().m_epoch != input.m_epoch) {
            return;
        }
        if (!input.m_content) {
            m_shard.m_recoverAt = now() + pollPeriod;
            return;
        }
        m_shard.m_recoverAt = TimePoint::max();
        m_shard.m_scheduler = std::make_unique<ShardScheduler>(
            OwnershipTerm{.m_shard = 0, .m_epoch = input.m_epoch, .m_epochVersion = m_shard.m_claim.epochVersion(), .m_host = m_host.m_name, .m_since = now()},
            m_settings,
            m_policy);
        m_shard.m_scheduler->recover(*input.m_content);
        dispatch(PolicyChanged{.m_reservation = {}, .m_acceptBatch = m_acceptBatch});
        dispatch(workers());
        if (m_draining) {
            m_shard.m_scheduler->beginDrain();
        }
    }

    auto apply(ShardClaim::Change change) -> void
    {
        if (change == ShardClaim::Change::Acquired) {
            m_shard.m_recoverAt = now();
        } else if (change != ShardClaim::Change::None) {
            dropScheduler();
        }
    }

    auto dropScheduler() -> void
    {
        m_shard.m_recoverAt = TimePoint::max();
        if (m_shard.m_scheduler) {
            m_shard.m_scheduler->abandon(m_commands);
            m_shard.m_scheduler.reset();
        }
    }

    auto dispatch(const ShardEvent &event) -> void
    {
        if (!m_shard.m_scheduler) {
            return;
        }
        ++m_host.m_simulation.m_steps;
        m_shard.m_scheduler->handle(event, now(), m_random, m_commands);
        if (m_shard.m_scheduler->isFenced()) {
            dropScheduler();
            m_shard.m_claim.relinquish(now());
        }
    }

    /// @brief Handles an external event and executes the resulting commands.
    auto handle(const ShardEvent &event) -> void
    {
        dispatch(event);
        executeAll();
    }

    auto executeAll() -> void
    {
        const ShardCommands commands = std::exchange(m_commands, {});
        for (auto command : commands) {
            if (m_host.isRunning(now())) {
                executeCommand(command);
                continue;
            }
            // A fault paused or killed the process while it was sending; a paused process continues later, a killed one does not.
            if (m_host.m_alive) {
                m_host.m_simulation.after(m_host, Milliseconds(0), [this, command]() mutable {
                    executeCommand(command);
                });
            }
        }
    }

    auto executeCommand(ShardCommand &command) -> void
    {
        std::visit(
            [this](auto &alternative) {
                execute(alternative);
            },
            command);
    }

    template<typename Command>
    auto execute(Command &command) -> void
    {
        m_store.execute(std::move(command));
    }

    auto execute(CheckOwnership & /*command*/) -> void
    {
        m_shard.m_claim.requestCheck();
    }

    auto execute(AnswerRequest &command) -> void
    {
        if (auto caller = m_callers.extract(command.m_ticket.m_correlation)) {
            caller.mapped()(std::move(command.m_result));
        }
    }

    auto execute(RenewLease &command) -> void
    {
        SimulatedWorker &worker = workerNamed(command.m_worker);
        const auto onResult = [this, worker = command.m_worker, epoch = command.m_renewal.m_epoch](const Result<LeaseReport> &report) {
            handle(LeaseAnswered{.m_shard = 0, .m_epoch = epoch, .m_worker = worker, .m_report = report});
        };
        std::vector<Step> steps;
        if (worker.m_model.tasks().runningCount() > 0) {
            steps.push_back(Step::Renew);
        }
        callWorker(
            worker,
            std::move(steps),
            [&worker, renewal = command.m_renewal] {
                return worker.renew(renewal);
            },
            onResult);
    }

    auto execute(StartAttempt &command) -> void
    {
        SimulatedWorker &worker = workerNamed(command.m_worker);
        const StartOrder order = command.m_order;
        const auto onResult = [this, order, worker = command.m_worker](const StartResult &result) {
            handle(StartAnswered{.m_shard = 0, .m_epoch = order.m_epoch, .m_worker = worker, .m_attempt = order.m_attempt, .m_result = result});
        };
        m_host.m_simulation.call(
            {{order.m_checkpoint.empty() ? Step::Start : Step::Resume}, &m_host, &worker},
            m_settings.m_callTimeout,
            [&platform = m_host.m_platform, &worker, order, onResult](const Simulation::Respond &respond) {
                respond([onResult, result = startAudited(platform, worker, order)] {
                    onResult(result);
                });
            },
            [onResult](bool /*refused*/) {
                onResult({});
            });
    }

    auto execute(StopAttempt &command) -> void
    {
        sendOrder<StopAnswered>(command, &SimulatedWorker::stop);
    }

    auto execute(CheckpointAttempt &command) -> void
    {
        sendOrder<CheckpointAnswered>(command, &SimulatedWorker::checkpoint);
    }

    template<typename Answered, typename Command>
    auto sendOrder(const Command &command, Result<AttemptReport> (SimulatedWorker::*call)(const AttemptOrder &)) -> void
    {
        SimulatedWorker &worker = workerNamed(command.m_worker);
        const AttemptOrder order = command.m_order;
        callWorker(
            worker,
            {Step::Evict},
            [&worker, order, call] {
                return (worker.*call)(order);
            },
            [this, order, name = command.m_worker](const Result<AttemptReport> &report) {
                handle(Answered{.m_shard = 0, .m_epoch = order.m_epoch, .m_worker = name, .m_attempt = order.m_attempt, .m_report = report});
            });
    }

    /// @brief Starts an attempt and checks that the durable state of the job allows a start.
    [[nodiscard]] static auto startAudited(SimulatedPlatform &platform, SimulatedWorker &worker, const StartOrder &order) -> StartResult
    {
        const auto starts = worker.m_audit.counts().m_starts;
        auto result = worker.start(order);
        if (worker.m_audit.counts().m_starts == starts) {
            return result;
        }
        const auto durable = platform.m_jobs.find(order.m_attempt.m_job);
        if (durable == platform.m_jobs.end()) {
            platform.m_violations.push_back("I2 " + order.m_attempt.m_job + " started before it was durable");
        } else if (isTerminal(durable->second.m_state)) {
            platform.m_violations.push_back("I2 " + order.m_attempt.m_job + " started after its end");
        } else if (!durable->second.m_checkpoint.empty() && order.m_checkpoint.empty()) {
            platform.m_violations.push_back("I3 " + order.m_attempt.m_job + " started without its checkpoint");
        }
        return result;
    }

    template<typename Order, typename ResultHandler>
    auto callWorker(SimulatedWorker &worker, std::vector<Step> steps, const Order &order, const ResultHandler &onResult) -> void
    {
        m_host.m_simulation.call(
            {std::move(steps), &m_host, &worker},
            m_settings.m_callTimeout,
            [order, onResult](const Simulation::Respond &respond) {
                respond([onResult, report = order()] {
                    onResult(report);
                });
            },
            [onResult](bool refused) {
                onResult(failure(refused ? ErrorCode::ConnectionClosed : ErrorCode::Timeout, "no answer"));
            });
    }

    auto poll() -> void
    {
        m_pollAt = now() + pollPeriod;
        if (m_host.m_platform.hosts().m_generation != m_generation) {
            m_generation = m_host.m_platform.hosts().m_generation;
            dispatch(workers());
        }
        m_table.read("config", [this](Result<std::vector<TableRow>> &&rows) {
            if (rows && !rows->empty() && rows->front().m_version > m_configVersion) {
                m_configVersion = rows->front().m_version;
                m_acceptBatch = rows->front().m_value.starts_with("accept");
                handle(PolicyChanged{.m_reservation = {}, .m_acceptBatch = m_acceptBatch});
            }
        });
    }

    auto advanceDrain() -> void
    {
        if (m_draining && m_shard.m_claim.isOwner() && (!m_shard.m_scheduler || m_shard.m_scheduler->isDurable())) {
            m_shard.m_claim.release();
        }
    }

    [[nodiscard]] auto workers() const -> WorkersListed
    {
        WorkersListed listed;
        for (const auto &host : m_host.m_platform.hosts().m_hosts) {
            if (host.m_role == HostRole::Worker) {
                listed.m_workers.push_back(host);
            }
        }
        return listed;
    }

    [[nodiscard]] auto workerNamed(std::string_view name) const -> SimulatedWorker &
    {
        return **std::ranges::find(m_host.m_workers, name, [](const auto &worker) -> std::string_view {
            return worker->m_name;
        });
    }

    [[nodiscard]] auto balance() const -> ClaimBalance
    {
        return {.m_owned = m_shard.m_claim.isOwner() || m_shard.m_claim.isClaiming() ? 1U : 0U, .m_share = 1, .m_mayClaim = !m_draining};
    }

    [[nodiscard]] auto now() const -> TimePoint
    {
        return m_host.m_simulation.m_now;
    }

    SchedulerHost &m_host;
    ShardSettings m_settings;
    BestFitSpread m_policy;
    TableLink m_table;
    ObjectLink m_objects;
    ShardStore m_store;
    RandomSource m_random;
    OwnedShard m_shard;
    ShardCommands m_commands;
    std::map<std::uint64_t, ReplyHandler> m_callers;
    std::uint64_t m_lastCaller = 0;
    std::uint64_t m_generation = 0;
    std::uint64_t m_configVersion = 0;
    TimePoint m_pollAt;
    bool m_acceptBatch = true;
    bool m_draining = false;
};

SchedulerHost::SchedulerHost(std::string name, Simulation &simulation, SimulatedPlatform &platform, Workers &workers)
    : Process(std::move(name))
    , m_simulation(simulation)
    , m_platform(platform)
    , m_workers(workers)
{
    SchedulerHost::restart();
}

SchedulerHost::~SchedulerHost() = default;

auto SchedulerHost::kill() -> void
{
    // The state is kept until the restart, because its functions may be on the call stack.
    Process::kill();
}

auto SchedulerHost::restart() -> void
{
    m_private = std::make_unique<Private>(*this, m_simulation.m_random.next64());
    Process::restart();
}

auto SchedulerHost::submit(const std::string &job, const JobSpec &spec, ReplyHandler onReply) -> void
{
    if (!m_private->m_shard.m_scheduler || m_private->m_draining) {
        onReply(failure(ErrorCode::NotOwner, "not the owner"));
        return;
    }
    m_private->m_callers.emplace(++m_private->m_lastCaller, std::move(onReply));
    m_private->handle(JobSubmitted{.m_ticket = {.m_link = 1, .m_correlation = m_private->m_lastCaller}, .m_job = job, .m_spec = spec});
}

auto SchedulerHost::cancel(const std::string &job, ReplyHandler onReply) -> void
{
    if (!m_private->m_shard.m_scheduler) {
        onReply(failure(ErrorCode::NotOwner, "not the owner"));
        return;
    }
    m_private->m_callers.emplace(++m_private->m_lastCaller, std::move(onReply));
    m_private->handle(CancelRequested{.m_ticket = {.m_link = 1, .m_correlation = m_private->m_lastCaller}, .m_job = job});
}

auto SchedulerHost::drain() -> void
{
    m_private->m_draining = true;
    if (m_private->m_shard.m_scheduler) {
        m_private->m_shard.m_scheduler->beginDrain();
    }
}

auto SchedulerHost::pump() -> void
{
    const TimePoint now = m_simulation.m_now;
    if (!isRunning(now)) {
        return;
    }
    Private &self = *m_private;
    if (now >= self.m_pollAt) {
        self.poll();
    }
    if (now >= self.m_shard.m_claim.deadline()) {
        ++m_simulation.m_steps;
        self.m_shard.m_claim.tick(self.balance(), now, self.m_random, self.m_commands);
    }
    if (now >= self.m_shard.m_recoverAt) {
        self.m_shard.m_recoverAt = now + recoveryRetry;
        self.m_commands.emplace_back(RecoverShard{.m_shard = 0, .m_epoch = self.m_shard.m_claim.ownership().m_epoch});
    }
    if (self.m_shard.m_scheduler) {
        self.m_shard.m_scheduler->setWritesPaused(self.m_shard.m_claim.isHeartbeatLate());
    }
    if (self.m_shard.m_scheduler && self.m_shard.m_claim.mayAct(now) && now >= self.m_shard.m_scheduler->deadline()) {
        ++m_simulation.m_steps;
        self.m_shard.m_scheduler->tick(now, self.m_random, self.m_commands);
    }
    self.executeAll();
    self.advanceDrain();
}

auto SchedulerHost::deadline() const -> TimePoint
{
    if (!m_alive) {
        return TimePoint::max();
    }
    const OwnedShard &shard = m_private->m_shard;
    TimePoint earliest = std::min({m_private->m_pollAt, shard.m_claim.deadline(), shard.m_recoverAt});
    if (shard.m_scheduler && shard.m_claim.mayAct(m_simulation.m_now)) {
        earliest = std::min(earliest, shard.m_scheduler->deadline());
    }
    return std::max(earliest, m_pausedUntil);
}

auto SchedulerHost::isOwner() const -> bool
{
    return m_alive && m_private->m_shard.m_claim.isOwner();
}

auto SchedulerHost::configVersion() const -> std::uint64_t
{
    return m_private->m_configVersion;
}

auto SchedulerHost::waitingChanges() const -> std::size_t
{
    const auto &scheduler = m_private->m_shard.m_scheduler;
    return scheduler ? scheduler->pendingChanges() : 0;
}

auto SchedulerHost::describe() const -> std::string
{
    const auto &claim = m_private->m_shard.m_claim;
    return m_name + (isOwner() ? " owner" : "") + (m_private->m_shard.m_scheduler ? " recovered" : "") + " epoch " + std::to_string(claim.ownership().m_epoch)
        + " by " + claim.ownership().m_owner;
}
}
