#include "faultmatrix/simulatedworker.hpp"

#include <array>

namespace Burdockspur::FaultMatrix
{
namespace
{
constexpr Milliseconds serviceTime{300};

// In the order of Standins::OrderAnswer.
constexpr std::array<std::string_view, 10> orderNames{
    "", "", "stale_epoch", "superseded", "tombstoned", "no_lease", "no_capacity", "leaving", "unknown_attempt", "bad_order"};

// In the order of Standins::RequestState.
constexpr std::array<TargetReply::Status, 6> targetStates{TargetReply::Status::Lost,
                                                          TargetReply::Status::Answered,
                                                          TargetReply::Status::Failed,
                                                          TargetReply::Status::Tombstoned,
                                                          TargetReply::Status::SlotsExhausted,
                                                          TargetReply::Status::Leaving};

[[nodiscard]] auto specOf(std::string_view name) -> Standins::WorkerSpec
{
    Standins::WorkerSpec spec;
    spec.m_name = name;
    spec.m_capacity = {.m_cpuMillis = 4'000, .m_memoryMb = 4'000, .m_accelerators = 0};
    spec.m_slots = 4;
    return spec;
}

[[nodiscard]] auto errorOf(Standins::OrderAnswer answer) -> std::unexpected<Error>
{
    return failure(answer == Standins::OrderAnswer::StaleEpoch ? ErrorCode::StaleEpoch : ErrorCode::Conflict, "refused");
}
}

SimulatedWorker::SimulatedWorker(std::string name, Simulation &simulation, std::uint64_t seed)
    : Process(std::move(name))
    , m_spec(specOf(m_name))
    , m_audit(m_spec)
    , m_random(seed)
    , m_model(m_spec, m_faults, m_audit, m_random)
    , m_simulation(simulation)
{
    m_model.tasks().setIncarnation(incarnation());
}

auto SimulatedWorker::kill() -> void
{
    advance();
    m_audit.setTime(m_simulation.m_now, virtualMs(m_simulation.m_now));
    m_model.crash(m_simulation.m_now);
    ++m_restarts;
    m_model.tasks().setIncarnation(incarnation());
    m_waiting.clear();
    m_pausedSince = TimePoint::max();
    Process::kill();
}

auto SimulatedWorker::pause(TimePoint now, TimePoint until) -> void
{
    advance();
    m_pausedSince = std::min(m_pausedSince, now);
    Process::pause(now, until);
}

auto SimulatedWorker::advance() -> void
{
    const TimePoint now = m_simulation.m_now;
    if (!isRunning(now)) {
        return;
    }
    m_audit.setTime(now, virtualMs(now));
    if (m_pausedSince != TimePoint::max()) {
        m_model.postpone(now - m_pausedSince);
        m_pausedSince = TimePoint::max();
    }
    m_model.advance(now);
    for (const auto &ended : m_model.requests().takeEnded()) {
        if (const auto waiting = m_waiting.extract(ended.m_execution)) {
            for (const auto &onReply : waiting.mapped()) {
                onReply(replyOf(ended.m_state, ended.m_execution));
            }
        }
    }
}

auto SimulatedWorker::nextEvent() const -> TimePoint
{
    if (!m_alive) {
        return TimePoint::max();
    }
    return std::max(m_model.nextEvent().value_or(TimePoint::max()), m_pausedUntil);
}

auto SimulatedWorker::renew(const LeaseRenewal &renewal) -> Result<LeaseReport>
{
    advance();
    auto report = m_model.tasks().renewLease(m_simulation.m_now, renewal);
    if (!report) {
        return failure(ErrorCode::StaleEpoch, "stale");
    }
    return std::move(*report);
}

auto SimulatedWorker::start(const StartOrder &order) -> StartResult
{
    advance();
    using Answer = Standins::OrderAnswer;
    using Status = StartResult::Status;
    const Answer answer = m_model.tasks().start(m_simulation.m_now, order);
    const auto reason = std::string(orderNames[static_cast<std::size_t>(answer)]);
    if (answer == Answer::Done || answer == Answer::AlreadyKnown) {
        return {.m_status = Status::Started, .m_reason = {}};
    }
    if (answer == Answer::StaleEpoch) {
        return {.m_status = Status::Fenced, .m_reason = reason};
    }
    const bool refusal = answer != Answer::UnknownAttempt && answer != Answer::BadOrder;
    return {.m_status = refusal ? Status::Refused : Status::Unknown, .m_reason = reason};
}

auto SimulatedWorker::stop(const AttemptOrder &order) -> Result<AttemptReport>
{
    advance();
    auto report = m_model.tasks().stop(m_simulation.m_now, order);
    if (!report) {
        return errorOf(report.error());
    }
    return std::move(*report);
}

auto SimulatedWorker::checkpoint(const AttemptOrder &order) -> Result<AttemptReport>
{
    advance();
    auto name = m_model.tasks().checkpoint(m_simulation.m_now, order);
    if (!name) {
        return errorOf(name.error());
    }
    AttemptReport report;
    report.m_attempt = order.m_attempt;
    report.m_checkpoint = std::move(*name);
    return report;
}

auto SimulatedWorker::request(const ForwardOrder &order, ReplyHandler onReply) -> void
{
    advance();
    if (!order.m_expectedIncarnation.empty() && order.m_expectedIncarnation != incarnation()) {
        TargetReply refused;
        refused.m_status = TargetReply::Status::OtherIncarnation;
        refused.m_incarnation = incarnation();
        onReply(std::move(refused));
        return;
    }
    Standins::WorkerRequest request;
    request.m_id = order.m_requestId;
    request.m_key = order.m_idempotencyKey;
    request.m_service = order.m_service;
    request.m_body = order.m_body;
    request.m_serviceTime = serviceTime;
    const auto status = m_model.startRequest(m_simulation.m_now, request);
    if (status.m_state == Standins::RequestState::Running) {
        m_waiting[status.m_execution].push_back(std::move(onReply));
    } else {
        onReply(replyOf(status.m_state, status.m_execution));
    }
}

auto SimulatedWorker::settle(const SettleOrder &order) -> SettleReply
{
    advance();
    using Status = SettleReply::Status;
    // In the order of Standins::RequestState.
    constexpr std::array<Status, 4> states{Status::Running, Status::Answered, Status::Failed, Status::NeverStarted};
    const auto status = m_model.requests().settle(m_simulation.m_now, order.m_requestId);
    SettleReply reply;
    reply.m_incarnation = incarnation();
    reply.m_dispatch = order.m_dispatch;
    reply.m_status = states[static_cast<std::size_t>(status.m_state)];
    if (reply.m_status == Status::Answered) {
        reply.m_body = m_model.requests().body(status.m_execution);
    }
    return reply;
}

auto SimulatedWorker::incarnation() const -> std::string
{
    return m_name + "-" + std::to_string(m_restarts);
}

auto SimulatedWorker::replyOf(Standins::RequestState state, Standins::ExecutionId execution) -> TargetReply
{
    TargetReply reply;
    reply.m_incarnation = incarnation();
    reply.m_status = targetStates[static_cast<std::size_t>(state)];
    if (reply.m_status == TargetReply::Status::Answered) {
        reply.m_body = m_model.requests().body(execution);
    }
    return reply;
}
}
