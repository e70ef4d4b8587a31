#include "burdockspur/shard/workerduty.hpp"

#include "burdockspur/operations/log.hpp"
#include "burdockspur/port/httpworkerport.hpp"

#include <utility>

namespace Burdockspur
{
WorkerDuty::WorkerDuty(const ShardSettings &settings, SchedulerRings &rings)
    : EventLoopDuty("workers")
    , m_settings(settings)
    , m_rings(rings)
{
}

WorkerDuty::~WorkerDuty()
{
    stop();
}

auto WorkerDuty::setUp() -> void
{
    // A worker's connections are shared by all entry hosts, and its calls are short.
    HttpClientLimits limits;
    limits.m_maxConnectionsPerEndpoint = 1;
    m_client = std::make_unique<HttpClient>(limits);
    m_port = std::make_unique<HttpWorkerPort>(*m_client);
    watch(m_rings.m_workers.wakeDescriptor(), [this] {
        executeCommands();
    });
    executeCommands();
}

auto WorkerDuty::tearDown() -> void
{
    m_port.reset();
    m_client.reset();
}

auto WorkerDuty::executeCommands() -> void
{
    m_commandBuffer.clear();
    m_rings.m_workers.drain(m_commandBuffer);
    for (const auto &command : m_commandBuffer) {
        std::visit(
            [this](const auto &alternative) {
                perform(alternative);
            },
            command);
    }
}

auto WorkerDuty::perform(const RenewLease &command) -> void
{
    LeaseAnswered answered{.m_shard = command.m_renewal.m_shard, .m_epoch = command.m_renewal.m_epoch, .m_worker = command.m_worker, .m_report = {}};
    m_port->renew(
        command.m_endpoint, command.m_renewal, m_settings.m_callTimeout, [this, answered = std::move(answered)](Result<LeaseReport> &&report) mutable {
            answered.m_report = std::move(report);
            pushAnswer(std::move(answered));
        });
}

template<auto Call, typename Answered, typename Outcome, typename Command>
auto WorkerDuty::callWorker(Outcome Answered::*outcome, const Command &command) -> void
{
    Answered answered{command.m_order.m_shard, command.m_order.m_epoch, command.m_worker, command.m_order.m_attempt, {}};
    (m_port.get()->*Call)(
        command.m_endpoint, command.m_order, m_settings.m_callTimeout, [this, outcome, answered = std::move(answered)](Outcome &&result) mutable {
            answered.*outcome = std::move(result);
            pushAnswer(std::move(answered));
        });
}

auto WorkerDuty::perform(const StartAttempt &command) -> void
{
    callWorker<&WorkerPort::start>(&StartAnswered::m_result, command);
}

auto WorkerDuty::perform(const StopAttempt &command) -> void
{
    callWorker<&WorkerPort::stop>(&StopAnswered::m_report, command);
}

auto WorkerDuty::perform(const CheckpointAttempt &command) -> void
{
    callWorker<&WorkerPort::checkpoint>(&CheckpointAnswered::m_report, command);
}

auto WorkerDuty::pushAnswer(ShardInput &&input) -> void
{
    if (!m_rings.m_shards.tryPush(std::move(input))) {
        logEvent(LogLevel::Warning, "ring_full", {{"ring", "shards"}, {"from", "workers"}});
    }
}
}
