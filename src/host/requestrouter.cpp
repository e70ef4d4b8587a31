#include "burdockspur/host/requestrouter.hpp"

#include "burdockspur/core/invariant.hpp"
#include "burdockspur/core/randomsource.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
namespace
{
/// Time after the write of a change in which another daemon may still use the older map: one poll period plus the
/// answer to the poll.
constexpr Milliseconds keyMapLag{10'000};
}

RequestRouter::RequestRouter(const RouterLimits &limits, std::string_view ownZone, KeyMapIdentity self)
    : m_limits(limits)
    , m_targets(m_limits, ownZone)
    , m_budget(m_limits)
    , m_keys(m_limits)
    , m_queuedByService(limits.m_maxQueuedPerClass)
    , m_queuedByWorker(limits.m_maxQueuedPerClass)
    , m_keyMap(std::move(self), limits.m_idempotencyTtl + keyMapLag)
{
}

auto RequestRouter::handle(RouterEvent &&event, TimePoint now, RandomSource &random, std::vector<RouterCommand> &commands) -> void
{
    using Handler = auto (RequestRouter::*)(RouterEvent &&, EventContext &)->void;
    // In the order of the alternatives of RouterEvent.
    static constexpr std::array<Handler, std::variant_size_v<RouterEvent>> handlers{
        &RequestRouter::dispatch<RequestArrived>,
        &RequestRouter::dispatch<CallerDisconnected>,
        &RequestRouter::dispatch<TargetReplied>,
        &RequestRouter::dispatch<SettleReplied>,
        &RequestRouter::dispatch<HostsChanged>,
        &RequestRouter::dispatch<ConfigurationChanged>,
        &RequestRouter::dispatch<DrainRequested>,
        &RequestRouter::dispatch<KeyMapRead>,
        &RequestRouter::dispatch<KeyMapNotWritten>,
        &RequestRouter::dispatch<PeerQueryReceived>,
        &RequestRouter::dispatch<PeerReplied>,
        &RequestRouter::dispatch<TimerExpired>,
    };
    EventContext context{now, random, commands};
    (this->*handlers[event.index()])(std::move(event), context);
    placeAwaitingKeyMap(context);
    dispatchQueued(context);
}

auto RequestRouter::nextDeadline() const noexcept -> TimePoint
{
    return std::min(m_exchanges.nextTimer(), m_keyMap.nextDeadline());
}

auto RequestRouter::isDrained() const noexcept -> bool
{
    return m_draining && m_exchanges.size() == 0;
}

auto RequestRouter::inFlight() const noexcept -> std::size_t
{
    return m_exchanges.waiterCount();
}

auto RequestRouter::queued() const noexcept -> std::size_t
{
    return m_queuedByService.size() + m_queuedByWorker.size();
}

auto RequestRouter::targets() const noexcept -> const TargetTable &
{
    return m_targets;
}

auto RequestRouter::keyMap() const noexcept -> const KeyMapKeeper &
{
    return m_keyMap;
}

auto RequestRouter::on(CallerDisconnected &&event, EventContext & /*context*/) -> void
{
    Exchange *const exchange = m_exchanges.removeWaiter(event.m_ticket);
    const bool isStillNeeded = exchange == nullptr || !exchange->m_waiters.empty();
    if (!isStillNeeded && exchange->m_target == nullptr && !exchange->m_mayHaveRun) {
        abandon(*exchange);
    }
}

auto RequestRouter::on(TargetReplied &&event, EventContext &context) -> void
{
    using Handler = auto (RequestRouter::*)(Exchange &, TargetReply &&, EventContext &)->void;
    // In the order of TargetReply::Status.
    static constexpr std::array<Handler, 8> handlers{
        &RequestRouter::handleTargetAnswer,
        &RequestRouter::handleTargetFailure,
        &RequestRouter::handleTargetFull,
        &RequestRouter::handleTargetLeaving,
        &RequestRouter::handleTargetTombstone,
        &RequestRouter::handleTargetRestart,
        &RequestRouter::handleTargetNotReached,
        &RequestRouter::handleTargetLost,
    };
    auto &reply = event.m_reply;
    if (Exchange *const exchange = findCurrent(reply.m_dispatch, ExchangeState::Forwarded); exchange != nullptr) {
        recordIncarnation(*exchange->m_target, reply.m_incarnation, context);
        (this->*handlers[static_cast<std::size_t>(reply.m_status)])(*exchange, std::move(reply), context);
    }
}

auto RequestRouter::on(SettleReplied &&event, EventContext &context) -> void
{
    using Handler = auto (RequestRouter::*)(Exchange &, SettleReply &&, EventContext &)->void;
    // In the order of SettleReply::Status.
    static constexpr std::array<Handler, 5> handlers{
        &RequestRouter::handleSettledNeverStarted,
        &RequestRouter::handleSettledRunning,
        &RequestRouter::handleSettledAnswer,
        &RequestRouter::handleSettledFailure,
        &RequestRouter::handleSettleNotReached,
    };
    auto &reply = event.m_reply;
    if (reply.m_dispatch.m_exchange == 0) {
        handleProbeReply(reply, context);
    } else if (Exchange *const exchange = findCurrent(reply.m_dispatch, ExchangeState::Settling); exchange != nullptr) {
        recordIncarnation(*exchange->m_target, reply.m_incarnation, context);
        (this->*handlers[static_cast<std::size_t>(reply.m_status)])(*exchange, std::move(reply), context);
    }
}

auto RequestRouter::on(HostsChanged &&event, EventContext &context) -> void
{
    m_targets.update(event.m_listing.m_hosts);
    m_peers.clear();
    for (const auto &host : event.m_listing.m_hosts) {
        if (host.m_role == HostRole::Entry) {
            m_peers.emplace(host.m_name,
                            PeerQuery{.m_dispatch = {}, .m_peer = host.m_name, .m_address = host.m_address, .m_port = host.m_port, .m_requestId = {}});
        }
    }
    m_keyMap.updateHosts(event.m_listing, context.m_now, context.m_random);
    m_keyMapChanged = true;
    m_freedTargets.assign(m_targets.local().begin(), m_targets.local().end());
    m_freedTargets.insert(m_freedTargets.end(), m_targets.remote().begin(), m_targets.remote().end());
    for (Target *const target : m_freedTargets) {
        probe(*target, context);
    }
}

auto RequestRouter::on(ConfigurationChanged &&event, EventContext & /*context*/) -> void
{
    requireInvariant(event.m_configuration.m_version >= m_configVersion, "configuration_never_reverts", {});
    m_configVersion = event.m_configuration.m_version;
    m_services.clear();
    for (auto &service : event.m_configuration.m_services) {
        m_services.insert(std::move(service.m_name));
    }
}

auto RequestRouter::on(DrainRequested && /*event*/, EventContext & /*context*/) -> void
{
    m_draining = true;
}

auto RequestRouter::on(TimerExpired && /*event*/, EventContext &context) -> void
{
    using Handler = auto (RequestRouter::*)(Exchange &, EventContext &)->void;
    // In the order of ExchangeState.
    static constexpr std::array<Handler, 8> handlers{
        &RequestRouter::handleQueueTimeout,
        &RequestRouter::handleRetryPauseEnd,
        &RequestRouter::handleReplyTimeout,
        &RequestRouter::handleReplyTimeout,
        &RequestRouter::handleSettlePauseEnd,
        &RequestRouter::handleKeyMapWaitEnd,
        &RequestRouter::handleKeyMapWaitEnd,
        &RequestRouter::handlePeerQueryPauseEnd,
    };
    std::vector<KeyMapCommand> orders;
    m_keyMap.proposeIfDue(context.m_now, context.m_random, orders);
    emitKeyMapCommands(std::move(orders), context);
    while (Exchange *const exchange = m_exchanges.nextExpired(context.m_now)) {
        for (const CallerTicket ticket : m_exchanges.removeExpiredWaiters(*exchange, context.m_now)) {
            // Not `refused`: the exchange continues for another caller with the same key, so the request may still run.
            answer(ticket, {Outcome::Unknown, ErrorCode::OutcomeUnknown, exchange->m_request.m_id, exchange->m_lastWorker, {}}, context);
        }
        if (exchange->m_stateTimer <= context.m_now) {
            (this->*handlers[static_cast<std::size_t>(exchange->m_state)])(*exchange, context);
        }
    }
}

auto RequestRouter::handleQueueTimeout(Exchange &exchange, EventContext &context) -> void
{
    finishWithoutAnswer(exchange, ErrorCode::DeadlineExceeded, context);
}

auto RequestRouter::handleRetryPauseEnd(Exchange &exchange, EventContext &context) -> void
{
    place(exchange, context);
}

auto RequestRouter::handleReplyTimeout(Exchange &exchange, EventContext &context) -> void
{
    finishWithoutAnswer(exchange, ErrorCode::DeadlineExceeded, context);
}

auto RequestRouter::handleSettlePauseEnd(Exchange &exchange, EventContext &context) -> void
{
    settle(exchange, context);
}

auto RequestRouter::finish(Exchange &exchange, Outcome outcome, ErrorCode code, std::string &&body, EventContext &context) -> void
{
    RequestAnswer result{outcome, code, exchange.m_request.m_id, exchange.m_lastWorker, std::move(body)};
    recordKey(exchange, result, context.m_now);
    while (exchange.m_waiters.size() > 1) {
        const CallerTicket ticket = exchange.m_waiters.back().m_ticket;
        m_exchanges.removeWaiter(ticket);
        answer(ticket, RequestAnswer(result), context);
    }
    if (!exchange.m_waiters.empty()) {
        const CallerTicket ticket = exchange.m_waiters.back().m_ticket;
        m_exchanges.removeWaiter(ticket);
        answer(ticket, std::move(result), context);
    }
    detach(exchange);
    removeFromQueue(exchange);
    m_exchanges.erase(exchange);
}

auto RequestRouter::finishWithoutAnswer(Exchange &exchange, ErrorCode code, EventContext &context) -> void
{
    if (exchange.m_mayHaveRun) {
        finish(exchange, Outcome::Unknown, ErrorCode::OutcomeUnknown, {}, context);
    } else {
        finish(exchange, Outcome::Refused, code, {}, context);
    }
}

auto RequestRouter::recordKey(const Exchange &exchange, const RequestAnswer &answer, TimePoint now) -> void
{
    if (exchange.m_request.m_idempotencyKey.empty()) {
        return;
    }
    if (answer.m_outcome == Outcome::Unknown && exchange.m_mayHaveRun) {
        m_keys.storeUnresolved(exchange.m_request.m_id, exchange.m_lastWorker, exchange.m_incarnation, now);
    } else if (answer.m_outcome == Outcome::Refused || answer.m_outcome == Outcome::Unknown) {
        m_keys.remove(exchange.m_request.m_id);
    } else {
        m_keys.store(exchange.m_request.m_id, answer, now);
    }
}

auto RequestRouter::abandon(Exchange &exchange) -> void
{
    if (!exchange.m_request.m_idempotencyKey.empty()) {
        m_keys.remove(exchange.m_request.m_id);
    }
    removeFromQueue(exchange);
    m_exchanges.erase(exchange);
}

auto RequestRouter::removeFromQueue(const Exchange &exchange) -> void
{
    if (exchange.m_state == ExchangeState::Queued) {
        m_queuedByService.remove(exchange.m_queue, exchange.m_request.m_deadline, exchange.m_number);
        m_queuedByWorker.remove(exchange.m_queue, exchange.m_request.m_deadline, exchange.m_number);
    }
}

auto RequestRouter::answer(CallerTicket ticket, RequestAnswer &&answer, EventContext &context) -> void
{
    context.m_commands.emplace_back(AnswerCaller{ticket, std::move(answer)});
}

auto RequestRouter::findCurrent(const DispatchId &dispatch, ExchangeState state) noexcept -> Exchange *
{
    Exchange *const exchange = m_exchanges.find(dispatch.m_exchange);
    // A reply with another state or number belongs to an earlier message and is ignored.
    return exchange != nullptr && exchange->m_state == state && exchange->m_sequence == dispatch.m_sequence ? exchange : nullptr;
}

auto RequestRouter::settleDeadlineOf(const Exchange &exchange) const noexcept -> TimePoint
{
    return exchange.m_request.m_deadline + m_limits.m_settleGrace;
}

auto RequestRouter::attach(Exchange &exchange, Target &target) -> void
{
    exchange.m_target = &target;
    ++target.m_references;
}

auto RequestRouter::detach(Exchange &exchange) -> void
{
    Target *const target = std::exchange(exchange.m_target, nullptr);
    if (target == nullptr) {
        return;
    }
    --target->m_references;
    if (std::exchange(exchange.m_holdsSlot, false)) {
        TargetTable::freeSlot(*target);
        m_freedTargets.push_back(target);
    }
}
}
