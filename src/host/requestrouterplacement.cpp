#include "burdockspur/core/invariant.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/host/requestrouter.hpp"

#include <algorithm>

namespace Burdockspur
{
auto RequestRouter::place(Exchange &exchange, EventContext &context) -> void
{
    if (exchange.m_request.m_deadline <= context.m_now) {
        finishWithoutAnswer(exchange, ErrorCode::DeadlineExceeded, context);
    } else if (exchange.m_request.m_idempotencyKey.empty()) {
        placeAnywhere(exchange, context);
    } else if (usesKeyMap(exchange)) {
        placeByKeyMap(exchange, context);
    } else {
        placeByKey(exchange, context);
    }
}

auto RequestRouter::placeAnywhere(Exchange &exchange, EventContext &context) -> void
{
    const PickCriteria criteria{context.m_now, {}, exchange.m_excluded};
    if (Target *const target = m_leastLoaded.pick(m_targets, criteria, context.m_random); target != nullptr) {
        forward(exchange, *target, context);
    } else if (!m_targets.anyAccepts(context.m_now)) {
        finishWithoutAnswer(exchange, ErrorCode::NoTarget, context);
    } else if (!exchange.m_excluded.empty()) {
        // Only workers that have just rejected the request remain; they are tried again after a backoff.
        exchange.m_excluded.clear();
        waitWithBackoff(exchange, ExchangeState::RetryPause, exchange.m_request.m_deadline, context);
    } else {
        enqueue(exchange, m_queuedByService, exchange.m_request.m_service, context);
    }
}

auto RequestRouter::placeByKey(Exchange &exchange, EventContext &context) -> void
{
    const PickCriteria criteria{context.m_now, keyPartOf(exchange.m_request.m_id), exchange.m_excluded};
    Target *const target = m_rendezvous.pick(m_targets, criteria, context.m_random);
    if (target == nullptr) {
        finishWithoutAnswer(exchange, ErrorCode::NoTarget, context);
    } else {
        sendTo(exchange, *target, context);
    }
}

auto RequestRouter::sendTo(Exchange &exchange, Target &target, EventContext &context) -> void
{
    if (!target.accepts(context.m_now)) {
        // Another entry host may have sent this key to the leaving worker. Only a tombstone on that worker proves that
        // none did, and permits using the next worker.
        attach(exchange, target);
        exchange.m_incarnation = target.m_incarnation;
        exchange.m_wireId = exchange.m_request.m_id;
        settle(exchange, context);
    } else if (!target.hasFreeSlot()) {
        enqueue(exchange, m_queuedByWorker, target.m_record.m_name, context);
    } else {
        forward(exchange, target, context);
    }
}

auto RequestRouter::enqueue(Exchange &exchange, WaitingQueues &queues, std::string_view name, EventContext &context) -> void
{
    exchange.m_state = ExchangeState::Queued;
    exchange.m_queue = name;
    m_exchanges.setTimer(exchange, exchange.m_request.m_deadline);
    const auto droppedExchange = queues.push(name, exchange.m_request.m_deadline, exchange.m_number);
    if (droppedExchange) {
        finishWithoutAnswer(*m_exchanges.find(*droppedExchange), ErrorCode::Overloaded, context);
    }
}

auto RequestRouter::forward(Exchange &exchange, Target &target, EventContext &context) -> void
{
    auto &request = exchange.m_request;
    requireInvariant(request.m_idempotent || !exchange.m_mayHaveRun, "non_idempotent_runs_once", request.m_id);
    requireInvariant(target.accepts(context.m_now), "no_request_to_a_leaving_worker", request.m_id);
    exchange.m_mayHaveRunBefore = exchange.m_mayHaveRun;
    exchange.m_mayHaveRun = true;
    attach(exchange, target);
    TargetTable::takeSlot(target);
    exchange.m_holdsSlot = true;
    exchange.m_lastWorker = target.m_record.m_name;
    exchange.m_incarnation = target.m_incarnation;
    probe(target, context);
    ++exchange.m_forwards;
    // A worker rejects an id for which it has a tombstone, so a retry needs a new one. The id of a request with a key
    // must stay the same: it is the same on every entry host.
    const bool needsNewId = exchange.m_forwards > 1 && request.m_idempotencyKey.empty();
    exchange.m_wireId = needsNewId ? request.m_id + "." + std::to_string(exchange.m_forwards) : request.m_id;
    exchange.m_state = ExchangeState::Forwarded;
    m_exchanges.setTimer(exchange, settleDeadlineOf(exchange));

    const Duration remaining = request.m_deadline - context.m_now;
    const Duration reserve = std::min<Duration>(m_limits.m_settleReserve, remaining / 2);
    context.m_commands.emplace_back(ForwardOrder{
        .m_dispatch = {exchange.m_number, ++exchange.m_sequence},
        .m_target = {target.m_record.m_name, target.m_record.m_address, target.m_record.m_port},
        .m_requestId = exchange.m_wireId,
        .m_service = request.m_service,
        .m_idempotencyKey = request.m_idempotencyKey.empty() ? std::string() : request.m_id,
        .m_expectedIncarnation = usesKeyMap(exchange) ? target.m_incarnation : std::string(),
        .m_body = request.m_body,
        .m_deadline = std::chrono::ceil<Milliseconds>(remaining),
        .m_timeout = std::min<Duration>(m_limits.m_forwardTimeout, remaining - reserve),
        .m_retry = exchange.m_forwards > 1,
    });
}

auto RequestRouter::takeQueued(const Target &target, TimePoint now) -> Exchange *
{
    auto number = m_queuedByWorker.popFrom(target.m_record.m_name);
    if (!number && target.accepts(now)) {
        number = m_queuedByService.popEarliest();
    }
    return number ? m_exchanges.find(*number) : nullptr;
}

auto RequestRouter::dispatchQueued(EventContext &context) -> void
{
    while (!m_freedTargets.empty()) {
        const Target &target = *m_freedTargets.back();
        m_freedTargets.pop_back();
        while (target.hasFreeSlot()) {
            Exchange *const exchange = takeQueued(target, context.m_now);
            if (exchange == nullptr) {
                break;
            }
            const auto number = exchange->m_number;
            place(*exchange, context);
            const Exchange *const placed = m_exchanges.find(number);
            if (placed != nullptr && placed->m_state == ExchangeState::Queued) {
                break;
            }
        }
    }
}

auto RequestRouter::retryElsewhere(Exchange &exchange, EventContext &context) -> void
{
    if (exchange.m_target != nullptr) {
        exchange.m_excluded.push_back(exchange.m_target->m_record.m_name);
    }
    detach(exchange);
    // After settling with a leaving worker, the request may not have been sent yet; its first send is not a retry.
    if (exchange.m_forwards > 0 && !m_budget.tryTake(exchange.m_request.m_caller, context.m_now)) {
        finishWithoutAnswer(exchange, ErrorCode::RetryBudgetExhausted, context);
        return;
    }
    place(exchange, context);
}

auto RequestRouter::retryLater(Exchange &exchange, EventContext &context) -> void
{
    detach(exchange);
    if (!m_budget.tryTake(exchange.m_request.m_caller, context.m_now)) {
        finishWithoutAnswer(exchange, ErrorCode::RetryBudgetExhausted, context);
        return;
    }
    waitWithBackoff(exchange, ExchangeState::RetryPause, exchange.m_request.m_deadline, context);
}

auto RequestRouter::waitWithBackoff(Exchange &exchange, ExchangeState state, TimePoint latest, EventContext &context) -> void
{
    constexpr std::uint32_t maxDoublings = 16;
    const Duration longest = m_limits.m_pauseMax;
    const Duration full = std::min(longest, Duration(m_limits.m_pauseMin) * (1U << std::min(exchange.m_pauses, maxDoublings)));
    ++exchange.m_pauses;
    const auto half = full / 2;
    const auto length = half + Duration(static_cast<Duration::rep>(static_cast<double>(half.count()) * context.m_random.unit()));
    exchange.m_state = state;
    m_exchanges.setTimer(exchange, std::min(latest, context.m_now + length));
}
}
