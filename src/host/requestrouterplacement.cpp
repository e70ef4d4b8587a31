#include "burdockspur/core/invariant.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/host/requestrouter.hpp"

#include <algorithm>

namespace Burdockspur
{
auto RequestRouter::place(Exchange &exchange, Turn &turn) -> void
{
    if (exchange.m_request.m_deadline <= turn.m_now) {
        finishWithoutAnswer(exchange, ErrorCode::DeadlineExceeded, turn);
    } else if (exchange.m_request.m_idempotencyKey.empty()) {
        placeAnywhere(exchange, turn);
    } else if (isMapped(exchange)) {
        placeByMap(exchange, turn);
    } else {
        placeByKey(exchange, turn);
    }
}

auto RequestRouter::placeAnywhere(Exchange &exchange, Turn &turn) -> void
{
    const PickCriteria criteria{turn.m_now, {}, exchange.m_excluded};
    if (Target *const target = m_leastLoaded.pick(m_targets, criteria, turn.m_random); target != nullptr) {
        forward(exchange, *target, turn);
    } else if (!m_targets.anyAccepts(turn.m_now)) {
        finishWithoutAnswer(exchange, ErrorCode::NoTarget, turn);
    } else if (!exchange.m_excluded.empty()) {
        // Only workers that have just refused are left: they may be asked again after a pause.
        exchange.m_excluded.clear();
        pause(exchange, ExchangeState::RetryPause, exchange.m_request.m_deadline, turn);
    } else {
        enqueue(exchange, m_queuedByService, exchange.m_request.m_service, turn);
    }
}

auto RequestRouter::placeByKey(Exchange &exchange, Turn &turn) -> void
{
    const PickCriteria criteria{turn.m_now, keyPartOf(exchange.m_request.m_id), exchange.m_excluded};
    Target *const target = m_rendezvous.pick(m_targets, criteria, turn.m_random);
    if (target == nullptr) {
        finishWithoutAnswer(exchange, ErrorCode::NoTarget, turn);
    } else {
        sendTo(exchange, *target, turn);
    }
}

auto RequestRouter::sendTo(Exchange &exchange, Target &target, Turn &turn) -> void
{
    if (!target.accepts(turn.m_now)) {
        // Another entry host may have sent this key to the leaving worker. Only its tombstone proves that no
        // one did, and then the next worker may be used.
        attach(exchange, target);
        exchange.m_incarnation = target.m_incarnation;
        exchange.m_wireId = exchange.m_request.m_id;
        settle(exchange, turn);
    } else if (!target.hasFreeSlot()) {
        enqueue(exchange, m_queuedByWorker, target.m_record.m_name, turn);
    } else {
        forward(exchange, target, turn);
    }
}

auto RequestRouter::enqueue(Exchange &exchange, WaitingQueues &queues, std::string_view name, Turn &turn) -> void
{
    exchange.m_state = ExchangeState::Queued;
    exchange.m_queue = name;
    m_exchanges.setTimer(exchange, exchange.m_request.m_deadline);
    const auto shed = queues.push(name, exchange.m_request.m_deadline, exchange.m_number);
    if (shed) {
        finishWithoutAnswer(*m_exchanges.find(*shed), ErrorCode::Overloaded, turn);
    }
}

auto RequestRouter::forward(Exchange &exchange, Target &target, Turn &turn) -> void
{
    auto &request = exchange.m_request;
    requireInvariant(request.m_idempotent || !exchange.m_mayHaveRun, "non_idempotent_runs_once", request.m_id);
    requireInvariant(target.accepts(turn.m_now), "no_request_to_a_leaving_worker", request.m_id);
    exchange.m_mayHaveRunBefore = exchange.m_mayHaveRun;
    exchange.m_mayHaveRun = true;
    attach(exchange, target);
    TargetTable::takeSlot(target);
    exchange.m_holdsSlot = true;
    exchange.m_lastWorker = target.m_record.m_name;
    exchange.m_incarnation = target.m_incarnation;
    probe(target, turn);
    ++exchange.m_forwards;
    // A worker refuses an id that it has a tombstone for. The id of a key stays the same on purpose.
    const bool fresh = exchange.m_forwards > 1 && request.m_idempotencyKey.empty();
    exchange.m_wireId = fresh ? request.m_id + "." + std::to_string(exchange.m_forwards) : request.m_id;
    exchange.m_state = ExchangeState::Forwarded;
    m_exchanges.setTimer(exchange, endOf(exchange));

    const Duration remaining = request.m_deadline - turn.m_now;
    const Duration reserve = std::min<Duration>(m_limits.m_settleReserve, remaining / 2);
    turn.m_commands.emplace_back(ForwardOrder{
        .m_dispatch = {exchange.m_number, ++exchange.m_sequence},
        .m_target = {target.m_record.m_name, target.m_record.m_address, target.m_record.m_port},
        .m_requestId = exchange.m_wireId,
        .m_service = request.m_service,
        .m_idempotencyKey = request.m_idempotencyKey.empty() ? std::string() : request.m_id,
        .m_expectedIncarnation = isMapped(exchange) ? target.m_incarnation : std::string(),
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

auto RequestRouter::dispatchQueued(Turn &turn) -> void
{
    while (!m_freed.empty()) {
        const Target &target = *m_freed.back();
        m_freed.pop_back();
        while (target.hasFreeSlot()) {
            Exchange *const exchange = takeQueued(target, turn.m_now);
            if (exchange == nullptr) {
                break;
            }
            const auto number = exchange->m_number;
            place(*exchange, turn);
            const Exchange *const placed = m_exchanges.find(number);
            if (placed != nullptr && placed->m_state == ExchangeState::Queued) {
                break;
            }
        }
    }
}

auto RequestRouter::retryElsewhere(Exchange &exchange, Turn &turn) -> void
{
    if (exchange.m_target != nullptr) {
        exchange.m_excluded.push_back(exchange.m_target->m_record.m_name);
    }
    detach(exchange);
    // The first send of a request after the question to a leaving worker is no retry.
    if (exchange.m_forwards > 0 && !m_budget.tryTake(exchange.m_request.m_caller, turn.m_now)) {
        finishWithoutAnswer(exchange, ErrorCode::RetryBudgetExhausted, turn);
        return;
    }
    place(exchange, turn);
}

auto RequestRouter::retryLater(Exchange &exchange, Turn &turn) -> void
{
    detach(exchange);
    if (!m_budget.tryTake(exchange.m_request.m_caller, turn.m_now)) {
        finishWithoutAnswer(exchange, ErrorCode::RetryBudgetExhausted, turn);
        return;
    }
    pause(exchange, ExchangeState::RetryPause, exchange.m_request.m_deadline, turn);
}

auto RequestRouter::pause(Exchange &exchange, ExchangeState state, TimePoint latest, Turn &turn) -> void
{
    constexpr std::uint32_t maxDoublings = 16;
    const Duration longest = m_limits.m_pauseMax;
    const Duration full = std::min(longest, Duration(m_limits.m_pauseMin) * (1U << std::min(exchange.m_pauses, maxDoublings)));
    ++exchange.m_pauses;
    const auto half = full / 2;
    const auto length = half + Duration(static_cast<Duration::rep>(static_cast<double>(half.count()) * turn.m_random.unit()));
    exchange.m_state = state;
    m_exchanges.setTimer(exchange, std::min(latest, turn.m_now + length));
}
}
