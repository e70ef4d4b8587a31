#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/host/requestrouter.hpp"

#include <algorithm>

namespace Burdockspur
{
auto RequestRouter::targetAnswered(Exchange &exchange, TargetReply &&reply, Turn &turn) -> void
{
    TargetTable::noteResponse(*exchange.m_target);
    finish(exchange, Outcome::Answered, ErrorCode::Internal, std::move(reply.m_body), turn);
}

auto RequestRouter::targetFailed(Exchange &exchange, TargetReply &&reply, Turn &turn) -> void
{
    TargetTable::noteResponse(*exchange.m_target);
    finish(exchange, Outcome::Failed, ErrorCode::ExecutionFailed, std::move(reply.m_body), turn);
}

auto RequestRouter::targetFull(Exchange &exchange, TargetReply && /*reply*/, Turn &turn) -> void
{
    m_targets.noteFull(*exchange.m_target, turn.m_now);
    exchange.m_mayHaveRun = exchange.m_mayHaveRunBefore;
    if (exchange.m_request.m_idempotencyKey.empty()) {
        retryElsewhere(exchange, turn);
    } else {
        // No tombstone: another entry host may still send this key to the same worker.
        retryLater(exchange, turn);
    }
}

auto RequestRouter::targetLeaving(Exchange &exchange, TargetReply && /*reply*/, Turn &turn) -> void
{
    m_targets.noteLeaving(*exchange.m_target, turn.m_now);
    exchange.m_mayHaveRun = exchange.m_mayHaveRunBefore;
    if (exchange.m_request.m_idempotencyKey.empty()) {
        retryElsewhere(exchange, turn);
    } else {
        settle(exchange, turn);
    }
}

auto RequestRouter::targetTombstoned(Exchange &exchange, TargetReply &&reply, Turn &turn) -> void
{
    if (!isProof(exchange, reply.m_incarnation)) {
        workerForgot(exchange, turn);
        return;
    }
    exchange.m_mayHaveRun = exchange.m_mayHaveRunBefore;
    retryElsewhere(exchange, turn);
}

auto RequestRouter::targetRestarted(Exchange &exchange, TargetReply && /*reply*/, Turn &turn) -> void
{
    TargetTable::noteResponse(*exchange.m_target);
    exchange.m_mayHaveRun = exchange.m_mayHaveRunBefore;
    awaitIncarnation(exchange, turn);
}

auto RequestRouter::awaitIncarnation(Exchange &exchange, Turn &turn) -> void
{
    if (exchange.m_target->m_incarnation == exchange.m_incarnation) {
        // The reply does not tell the other incarnation, so that the next message would follow at once.
        retryLater(exchange, turn);
        return;
    }
    detach(exchange);
    place(exchange, turn);
}

auto RequestRouter::targetNotReached(Exchange &exchange, TargetReply &&reply, Turn &turn) -> void
{
    exchange.m_mayHaveRun = exchange.m_mayHaveRunBefore;
    if (reply.m_error.m_code == ErrorCode::RingFull || reply.m_error.m_code == ErrorCode::Overloaded) {
        // The bottleneck is this process; a retry would add to it.
        finishWithoutAnswer(exchange, ErrorCode::Overloaded, turn);
        return;
    }
    m_targets.noteFailure(*exchange.m_target, turn.m_now, turn.m_random);
    if (exchange.m_request.m_idempotencyKey.empty()) {
        retryElsewhere(exchange, turn);
    } else {
        retryLater(exchange, turn);
    }
}

auto RequestRouter::targetLost(Exchange &exchange, TargetReply && /*reply*/, Turn &turn) -> void
{
    m_targets.noteFailure(*exchange.m_target, turn.m_now, turn.m_random);
    if (!exchange.m_request.m_idempotencyKey.empty() || !resendFromUnknown(exchange, turn)) {
        settle(exchange, turn);
    }
}

auto RequestRouter::settledNeverStarted(Exchange &exchange, SettleReply &&reply, Turn &turn) -> void
{
    if (exchange.m_mayHaveRun && !isProof(exchange, reply.m_incarnation)) {
        workerForgot(exchange, turn);
        return;
    }
    if (isMapped(exchange) && !exchange.m_incarnation.empty() && !isProof(exchange, reply.m_incarnation)) {
        // The tombstone is in another process than the one that the key map names.
        awaitIncarnation(exchange, turn);
        return;
    }
    exchange.m_mayHaveRun = exchange.m_mayHaveRunBefore;
    retryElsewhere(exchange, turn);
}

auto RequestRouter::settledRunning(Exchange &exchange, SettleReply && /*reply*/, Turn &turn) -> void
{
    TargetTable::noteResponse(*exchange.m_target);
    exchange.m_mayHaveRun = true;
    exchange.m_lastWorker = exchange.m_target->m_record.m_name;
    pause(exchange, ExchangeState::SettlePause, endOf(exchange), turn);
}

auto RequestRouter::settledAnswered(Exchange &exchange, SettleReply &&reply, Turn &turn) -> void
{
    exchange.m_lastWorker = exchange.m_target->m_record.m_name;
    finish(exchange, Outcome::Answered, ErrorCode::Internal, std::move(reply.m_body), turn);
}

auto RequestRouter::settledFailed(Exchange &exchange, SettleReply &&reply, Turn &turn) -> void
{
    exchange.m_lastWorker = exchange.m_target->m_record.m_name;
    finish(exchange, Outcome::Failed, ErrorCode::ExecutionFailed, std::move(reply.m_body), turn);
}

auto RequestRouter::settleNotReached(Exchange &exchange, SettleReply && /*reply*/, Turn &turn) -> void
{
    if (!exchange.m_mayHaveRun || !resendFromUnknown(exchange, turn)) {
        pause(exchange, ExchangeState::SettlePause, endOf(exchange), turn);
    }
}

auto RequestRouter::resendFromUnknown(Exchange &exchange, Turn &turn) -> bool
{
    const auto &request = exchange.m_request;
    if (!request.m_idempotent || request.m_deadline <= turn.m_now || !m_budget.tryTake(request.m_caller, turn.m_now)) {
        return false;
    }
    // A refusal by the next worker, or its tombstone, proves nothing about this one.
    exchange.m_mayHaveRunBefore = exchange.m_mayHaveRun;
    exchange.m_excluded.push_back(exchange.m_target->m_record.m_name);
    detach(exchange);
    place(exchange, turn);
    return true;
}

auto RequestRouter::isProof(const Exchange &exchange, std::string_view incarnation) const noexcept -> bool
{
    return !m_limits.m_guards.m_incarnationCheck || (!incarnation.empty() && incarnation == exchange.m_incarnation);
}

auto RequestRouter::workerForgot(Exchange &exchange, Turn &turn) -> void
{
    // Asking again is useless: the memory of the process that may have run the request is gone.
    if (!resendFromUnknown(exchange, turn)) {
        finishWithoutAnswer(exchange, ErrorCode::OutcomeUnknown, turn);
    }
}

auto RequestRouter::probe(Target &target, Turn &turn) -> void
{
    if (target.m_isProbed || !target.m_incarnation.empty()) {
        return;
    }
    target.m_isProbed = true;
    const auto &record = target.m_record;
    m_probes.insert_or_assign(++m_lastProbe, record.m_name);
    turn.m_commands.emplace_back(SettleOrder{
        .m_dispatch = {0, m_lastProbe},
        .m_target = {record.m_name, record.m_address, record.m_port},
        .m_requestId = "incarnation-probe",
        .m_timeout = m_limits.m_settleTimeout,
    });
}

auto RequestRouter::probeReplied(const SettleReply &reply, Turn &turn) -> void
{
    const auto found = m_probes.extract(reply.m_dispatch.m_sequence);
    Target *const target = found.empty() ? nullptr : m_targets.find(found.mapped());
    if (target == nullptr) {
        return;
    }
    // A worker that answers without the header is not asked again.
    target->m_isProbed = reply.m_status != SettleReply::Status::NoReply;
    noteIncarnation(*target, reply.m_incarnation, turn);
    if (target->m_isProbed && reply.m_incarnation.empty()) {
        m_keyMap.noteWorker(target->m_record.m_name, {}, turn.m_now, turn.m_random);
        m_mapMoved = true;
    }
}

auto RequestRouter::settle(Exchange &exchange, Turn &turn) -> void
{
    const auto &record = exchange.m_target->m_record;
    const Duration remaining = endOf(exchange) - turn.m_now;
    if (remaining <= Duration::zero()) {
        finishWithoutAnswer(exchange, ErrorCode::DeadlineExceeded, turn);
        return;
    }
    exchange.m_state = ExchangeState::Settling;
    m_exchanges.setTimer(exchange, endOf(exchange));
    turn.m_commands.emplace_back(SettleOrder{
        .m_dispatch = {exchange.m_number, ++exchange.m_sequence},
        .m_target = {record.m_name, record.m_address, record.m_port},
        .m_requestId = exchange.m_wireId,
        .m_timeout = std::min<Duration>(m_limits.m_settleTimeout, remaining),
    });
}
}
