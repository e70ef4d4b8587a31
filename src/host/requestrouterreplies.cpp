#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/host/requestrouter.hpp"

#include <algorithm>

namespace Burdockspur
{
auto RequestRouter::handleTargetAnswer(Exchange &exchange, TargetReply &&reply, EventContext &context) -> void
{
    TargetTable::recordResponse(*exchange.m_target);
    finish(exchange, Outcome::Answered, ErrorCode::Internal, std::move(reply.m_body), context);
}

auto RequestRouter::handleTargetFailure(Exchange &exchange, TargetReply &&reply, EventContext &context) -> void
{
    TargetTable::recordResponse(*exchange.m_target);
    finish(exchange, Outcome::Failed, ErrorCode::ExecutionFailed, std::move(reply.m_body), context);
}

auto RequestRouter::handleTargetFull(Exchange &exchange, TargetReply && /*reply*/, EventContext &context) -> void
{
    m_targets.markFull(*exchange.m_target, context.m_now);
    exchange.m_mayHaveRun = exchange.m_mayHaveRunBefore;
    if (exchange.m_request.m_idempotencyKey.empty()) {
        retryElsewhere(exchange, context);
    } else {
        // The worker stored no tombstone, so another entry host may still send this key to it.
        retryLater(exchange, context);
    }
}

auto RequestRouter::handleTargetLeaving(Exchange &exchange, TargetReply && /*reply*/, EventContext &context) -> void
{
    m_targets.markLeaving(*exchange.m_target, context.m_now);
    exchange.m_mayHaveRun = exchange.m_mayHaveRunBefore;
    if (exchange.m_request.m_idempotencyKey.empty()) {
        retryElsewhere(exchange, context);
    } else {
        settle(exchange, context);
    }
}

auto RequestRouter::handleTargetTombstone(Exchange &exchange, TargetReply &&reply, EventContext &context) -> void
{
    if (!provesNotRun(exchange, reply.m_incarnation)) {
        handleLostRecord(exchange, context);
        return;
    }
    exchange.m_mayHaveRun = exchange.m_mayHaveRunBefore;
    retryElsewhere(exchange, context);
}

auto RequestRouter::handleTargetRestart(Exchange &exchange, TargetReply && /*reply*/, EventContext &context) -> void
{
    TargetTable::recordResponse(*exchange.m_target);
    exchange.m_mayHaveRun = exchange.m_mayHaveRunBefore;
    awaitIncarnation(exchange, context);
}

auto RequestRouter::awaitIncarnation(Exchange &exchange, EventContext &context) -> void
{
    if (exchange.m_target->m_incarnation == exchange.m_incarnation) {
        // The reply did not contain the new incarnation; without a backoff the same message would be repeated at once.
        retryLater(exchange, context);
        return;
    }
    detach(exchange);
    place(exchange, context);
}

auto RequestRouter::handleTargetNotReached(Exchange &exchange, TargetReply &&reply, EventContext &context) -> void
{
    exchange.m_mayHaveRun = exchange.m_mayHaveRunBefore;
    if (reply.m_error.m_code == ErrorCode::RingFull || reply.m_error.m_code == ErrorCode::Overloaded) {
        // This process is the bottleneck; a retry would add to its load.
        finishWithoutAnswer(exchange, ErrorCode::Overloaded, context);
        return;
    }
    m_targets.recordFailure(*exchange.m_target, context.m_now, context.m_random);
    if (exchange.m_request.m_idempotencyKey.empty()) {
        retryElsewhere(exchange, context);
    } else {
        retryLater(exchange, context);
    }
}

auto RequestRouter::handleTargetLost(Exchange &exchange, TargetReply && /*reply*/, EventContext &context) -> void
{
    m_targets.recordFailure(*exchange.m_target, context.m_now, context.m_random);
    if (!exchange.m_request.m_idempotencyKey.empty() || !resendFromUnknown(exchange, context)) {
        settle(exchange, context);
    }
}

auto RequestRouter::handleSettledNeverStarted(Exchange &exchange, SettleReply &&reply, EventContext &context) -> void
{
    if (exchange.m_mayHaveRun && !provesNotRun(exchange, reply.m_incarnation)) {
        handleLostRecord(exchange, context);
        return;
    }
    if (usesKeyMap(exchange) && !exchange.m_incarnation.empty() && !provesNotRun(exchange, reply.m_incarnation)) {
        // The tombstone is stored by another incarnation than the one in the key map.
        awaitIncarnation(exchange, context);
        return;
    }
    exchange.m_mayHaveRun = exchange.m_mayHaveRunBefore;
    retryElsewhere(exchange, context);
}

auto RequestRouter::handleSettledRunning(Exchange &exchange, SettleReply && /*reply*/, EventContext &context) -> void
{
    TargetTable::recordResponse(*exchange.m_target);
    exchange.m_mayHaveRun = true;
    exchange.m_lastWorker = exchange.m_target->m_record.m_name;
    waitWithBackoff(exchange, ExchangeState::SettlePause, settleDeadlineOf(exchange), context);
}

auto RequestRouter::handleSettledAnswer(Exchange &exchange, SettleReply &&reply, EventContext &context) -> void
{
    exchange.m_lastWorker = exchange.m_target->m_record.m_name;
    finish(exchange, Outcome::Answered, ErrorCode::Internal, std::move(reply.m_body), context);
}

auto RequestRouter::handleSettledFailure(Exchange &exchange, SettleReply &&reply, EventContext &context) -> void
{
    exchange.m_lastWorker = exchange.m_target->m_record.m_name;
    finish(exchange, Outcome::Failed, ErrorCode::ExecutionFailed, std::move(reply.m_body), context);
}

auto RequestRouter::handleSettleNotReached(Exchange &exchange, SettleReply && /*reply*/, EventContext &context) -> void
{
    if (!exchange.m_mayHaveRun || !resendFromUnknown(exchange, context)) {
        waitWithBackoff(exchange, ExchangeState::SettlePause, settleDeadlineOf(exchange), context);
    }
}

auto RequestRouter::resendFromUnknown(Exchange &exchange, EventContext &context) -> bool
{
    const auto &request = exchange.m_request;
    if (!request.m_idempotent || request.m_deadline <= context.m_now || !m_budget.tryTake(request.m_caller, context.m_now)) {
        return false;
    }
    // A rejection by the next worker, or its tombstone, proves nothing about this one.
    exchange.m_mayHaveRunBefore = exchange.m_mayHaveRun;
    exchange.m_excluded.push_back(exchange.m_target->m_record.m_name);
    detach(exchange);
    place(exchange, context);
    return true;
}

auto RequestRouter::provesNotRun(const Exchange &exchange, std::string_view incarnation) const noexcept -> bool
{
    return !m_limits.m_guards.m_incarnationCheck || (!incarnation.empty() && incarnation == exchange.m_incarnation);
}

auto RequestRouter::handleLostRecord(Exchange &exchange, EventContext &context) -> void
{
    // Settling again cannot help: the records of the process that may have run the request are lost.
    if (!resendFromUnknown(exchange, context)) {
        finishWithoutAnswer(exchange, ErrorCode::OutcomeUnknown, context);
    }
}

auto RequestRouter::probe(Target &target, EventContext &context) -> void
{
    if (target.m_isProbed || !target.m_incarnation.empty()) {
        return;
    }
    target.m_isProbed = true;
    const auto &record = target.m_record;
    m_probes.insert_or_assign(++m_lastProbe, record.m_name);
    context.m_commands.emplace_back(SettleOrder{
        .m_dispatch = {0, m_lastProbe},
        .m_target = {record.m_name, record.m_address, record.m_port},
        .m_requestId = "incarnation-probe",
        .m_timeout = m_limits.m_settleTimeout,
    });
}

auto RequestRouter::handleProbeReply(const SettleReply &reply, EventContext &context) -> void
{
    const auto found = m_probes.extract(reply.m_dispatch.m_sequence);
    Target *const target = found.empty() ? nullptr : m_targets.find(found.mapped());
    if (target == nullptr) {
        return;
    }
    // A worker that replies without the incarnation header is not probed again.
    target->m_isProbed = reply.m_status != SettleReply::Status::NoReply;
    recordIncarnation(*target, reply.m_incarnation, context);
    if (target->m_isProbed && reply.m_incarnation.empty()) {
        m_keyMap.recordWorkerIncarnation(target->m_record.m_name, {}, context.m_now, context.m_random);
        m_keyMapChanged = true;
    }
}

auto RequestRouter::settle(Exchange &exchange, EventContext &context) -> void
{
    const auto &record = exchange.m_target->m_record;
    const Duration remaining = settleDeadlineOf(exchange) - context.m_now;
    if (remaining <= Duration::zero()) {
        finishWithoutAnswer(exchange, ErrorCode::DeadlineExceeded, context);
        return;
    }
    exchange.m_state = ExchangeState::Settling;
    m_exchanges.setTimer(exchange, settleDeadlineOf(exchange));
    context.m_commands.emplace_back(SettleOrder{
        .m_dispatch = {exchange.m_number, ++exchange.m_sequence},
        .m_target = {record.m_name, record.m_address, record.m_port},
        .m_requestId = exchange.m_wireId,
        .m_timeout = std::min<Duration>(m_limits.m_settleTimeout, remaining),
    });
}
}
