#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/host/requestrouter.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
auto RequestRouter::on(KeyMapRead &&event, EventContext &context) -> void
{
    m_keyMap.updateMap(std::move(event.m_map), context.m_now, context.m_random);
    for (const auto &worker : m_keyMap.map().m_workers) {
        Target *const target = m_targets.find(worker.m_name);
        if (target != nullptr && target->m_incarnation != worker.m_incarnation) {
            // Either the map or the tracked incarnation is outdated; a new response of the worker decides.
            target->m_incarnation.clear();
            target->m_isProbed = false;
            probe(*target, context);
        }
    }
    m_keyMapChanged = true;
}

auto RequestRouter::on(KeyMapNotWritten && /*event*/, EventContext &context) -> void
{
    std::vector<KeyMapCommand> orders;
    m_keyMap.handleFailedProposal(context.m_now, context.m_random, orders);
    emitKeyMapCommands(std::move(orders), context);
}

auto RequestRouter::on(PeerQueryReceived &&event, EventContext &context) -> void
{
    // Required before the answer: after the reply `never sent`, the request must not be sent according to an older map.
    std::vector<KeyMapCommand> orders;
    m_keyMap.requireGeneration(event.m_generation, orders);
    emitKeyMapCommands(std::move(orders), context);
    auto reply = makePeerReply(event.m_requestId, context.m_now);
    reply.m_peer = m_keyMap.self().m_name;
    reply.m_incarnation = m_keyMap.self().m_incarnation;
    reply.m_generation = m_keyMap.map().m_generation;
    context.m_commands.emplace_back(AnswerPeer{event.m_ticket, std::move(reply)});
}

auto RequestRouter::makePeerReply(std::string_view id, TimePoint now) -> PeerReply
{
    using Status = PeerReply::Status;
    // In the order of KeyState.
    static constexpr std::array<Status, 5> statuses{Status::NeverSent, Status::Running, Status::Answered, Status::Unknown, Status::Conflict};
    PeerReply reply;
    const auto state = m_keys.lookUp(id, now);
    reply.m_status = statuses[static_cast<std::size_t>(state)];
    if (state == KeyState::New && m_keys.mayHaveEvicted(now)) {
        reply.m_status = Status::Unknown;
    } else if (state == KeyState::InProgress) {
        const Exchange *const exchange = m_exchanges.find(m_keys.entry(id).m_exchange);
        const bool isSent = exchange == nullptr || exchange->m_mayHaveRun || exchange->m_mayHaveRunBefore;
        reply.m_status = isSent ? Status::Running : Status::NeverSent;
    } else if (state == KeyState::Stored) {
        const auto &answer = m_keys.entry(id).m_answer;
        reply.m_status = answer.m_outcome == Outcome::Failed ? Status::Failed : Status::Answered;
        reply.m_body = answer.m_body;
    }
    return reply;
}

auto RequestRouter::on(PeerReplied &&event, EventContext &context) -> void
{
    using Handler = auto (RequestRouter::*)(Exchange &, PeerReply &&, EventContext &)->void;
    // In the order of PeerReply::Status.
    static constexpr std::array<Handler, 7> handlers{
        &RequestRouter::handlePeerNeverSent,
        &RequestRouter::handlePeerInconclusive,
        &RequestRouter::handlePeerUnknown,
        &RequestRouter::handlePeerAnswer,
        &RequestRouter::handlePeerFailure,
        &RequestRouter::handlePeerConflict,
        &RequestRouter::handlePeerInconclusive,
    };
    auto &reply = event.m_reply;
    std::vector<KeyMapCommand> orders;
    m_keyMap.requireGeneration(reply.m_generation, orders);
    emitKeyMapCommands(std::move(orders), context);
    if (Exchange *const exchange = findCurrent(reply.m_dispatch, ExchangeState::QueryingPeers); exchange != nullptr) {
        std::erase(exchange->m_pendingPeers, reply.m_peer);
        (this->*handlers[static_cast<std::size_t>(reply.m_status)])(*exchange, std::move(reply), context);
    }
}

auto RequestRouter::handlePeerNeverSent(Exchange &exchange, PeerReply &&reply, EventContext &context) -> void
{
    const auto &entries = m_keyMap.map().m_entries;
    const bool isMember = std::ranges::find(entries, KeyMapMember{reply.m_peer, reply.m_incarnation}) != entries.end();
    // A reply from another incarnation proves nothing, because it has no record of what the listed one sent.
    exchange.m_repeatPeerQuery = exchange.m_repeatPeerQuery || !isMember;
    continueAfterPeerReplies(exchange, context);
}

auto RequestRouter::handlePeerInconclusive(Exchange &exchange, PeerReply && /*reply*/, EventContext &context) -> void
{
    exchange.m_repeatPeerQuery = true;
    continueAfterPeerReplies(exchange, context);
}

auto RequestRouter::handlePeerUnknown(Exchange &exchange, PeerReply && /*reply*/, EventContext &context) -> void
{
    exchange.m_hasUnknownPeerReply = true;
    continueAfterPeerReplies(exchange, context);
}

auto RequestRouter::handlePeerAnswer(Exchange &exchange, PeerReply &&reply, EventContext &context) -> void
{
    finish(exchange, Outcome::Answered, ErrorCode::Internal, std::move(reply.m_body), context);
}

auto RequestRouter::handlePeerFailure(Exchange &exchange, PeerReply &&reply, EventContext &context) -> void
{
    finish(exchange, Outcome::Failed, ErrorCode::ExecutionFailed, std::move(reply.m_body), context);
}

auto RequestRouter::handlePeerConflict(Exchange &exchange, PeerReply && /*reply*/, EventContext &context) -> void
{
    finish(exchange, Outcome::Refused, ErrorCode::IdempotencyConflict, {}, context);
}

auto RequestRouter::continueAfterPeerReplies(Exchange &exchange, EventContext &context) -> void
{
    if (!exchange.m_pendingPeers.empty()) {
        return;
    }
    if (exchange.m_hasUnknownPeerReply) {
        finish(exchange, Outcome::Unknown, ErrorCode::OutcomeUnknown, {}, context);
    } else if (exchange.m_repeatPeerQuery) {
        waitWithBackoff(exchange, ExchangeState::PeerQueryPause, exchange.m_request.m_deadline, context);
    } else {
        exchange.m_confirmedUnsentGeneration = exchange.m_keyGeneration;
        place(exchange, context);
    }
}

auto RequestRouter::usesKeyMap(const Exchange &exchange) const noexcept -> bool
{
    return m_keyMap.isEnabled() && m_limits.m_guards.m_keyMap && !exchange.m_request.m_idempotent && !exchange.m_request.m_idempotencyKey.empty();
}

auto RequestRouter::emitKeyMapCommands(std::vector<KeyMapCommand> &&commands, EventContext &context) -> void
{
    for (auto &command : commands) {
        std::visit(
            [&context](auto &content) {
                context.m_commands.emplace_back(std::move(content));
            },
            command);
    }
}

auto RequestRouter::recordIncarnation(Target &target, std::string_view incarnation, EventContext &context) -> void
{
    if (incarnation.empty() || target.m_incarnation == incarnation) {
        return;
    }
    TargetTable::recordIncarnation(target, incarnation);
    m_keyMap.recordWorkerIncarnation(target.m_record.m_name, incarnation, context.m_now, context.m_random);
    m_keyMapChanged = true;
}

auto RequestRouter::placeByKeyMap(Exchange &exchange, EventContext &context) -> void
{
    const auto &map = m_keyMap.map();
    if (exchange.m_keyGeneration != map.m_generation) {
        // A tombstone is lost when its worker restarts, and the order of the workers may have changed.
        exchange.m_keyGeneration = map.m_generation;
        exchange.m_excluded.clear();
    }
    const bool isConfirmedUnsent = map.m_generation > 0 && exchange.m_confirmedUnsentGeneration == map.m_generation;
    const KeyHome home = m_keyMap.homeOf(keyPartOf(exchange.m_request.m_id), exchange.m_excluded);
    Target *const target = home.m_worker == nullptr ? nullptr : m_targets.find(home.m_worker->m_name);
    if (m_keyMap.isUsable() && home.m_worker == nullptr) {
        finishWithoutAnswer(exchange, ErrorCode::NoTarget, context);
    } else if (!isConfirmedUnsent && map.m_generation > 0 && !home.m_isStable) {
        queryPeers(exchange, context);
    } else if (isConfirmedUnsent && !home.m_isStable && (m_keyMap.hasLostEntry() || m_keys.mayHaveEvicted(context.m_now))) {
        finish(exchange, Outcome::Unknown, ErrorCode::OutcomeUnknown, {}, context);
    } else if (!m_keyMap.isUsable() || target == nullptr || !target->m_listed) {
        awaitKeyMap(exchange, context);
    } else if (target->m_incarnation != home.m_worker->m_incarnation) {
        probe(*target, context);
        awaitKeyMap(exchange, context);
    } else {
        sendTo(exchange, *target, context);
    }
}

auto RequestRouter::awaitKeyMap(Exchange &exchange, EventContext & /*context*/) -> void
{
    exchange.m_state = ExchangeState::KeyMapWait;
    m_exchanges.setTimer(exchange, exchange.m_request.m_deadline);
    m_awaitingKeyMap.insert(exchange.m_number);
}

auto RequestRouter::placeAwaitingKeyMap(EventContext &context) -> void
{
    if (!std::exchange(m_keyMapChanged, false)) {
        return;
    }
    for (const auto number : std::exchange(m_awaitingKeyMap, {})) {
        Exchange *const exchange = m_exchanges.find(number);
        if (exchange != nullptr && (exchange->m_state == ExchangeState::KeyMapWait || exchange->m_state == ExchangeState::PeerQueryPause)) {
            place(*exchange, context);
        }
    }
}

auto RequestRouter::queryPeers(Exchange &exchange, EventContext &context) -> void
{
    exchange.m_state = ExchangeState::QueryingPeers;
    exchange.m_pendingPeers.clear();
    exchange.m_hasUnknownPeerReply = false;
    exchange.m_repeatPeerQuery = false;
    m_exchanges.setTimer(exchange, exchange.m_request.m_deadline);
    m_awaitingKeyMap.insert(exchange.m_number);
    ++exchange.m_sequence;
    for (const auto &entry : m_keyMap.map().m_entries) {
        const auto peer = m_peers.find(entry.m_name);
        if (entry.m_name == m_keyMap.self().m_name) {
            continue;
        }
        if (peer == m_peers.end()) {
            exchange.m_repeatPeerQuery = true;
            continue;
        }
        PeerQuery query = peer->second;
        query.m_dispatch = {exchange.m_number, exchange.m_sequence};
        query.m_requestId = exchange.m_request.m_id;
        query.m_generation = m_keyMap.map().m_generation;
        query.m_timeout = std::min<Duration>(m_limits.m_settleTimeout, exchange.m_request.m_deadline - context.m_now);
        exchange.m_pendingPeers.push_back(entry.m_name);
        context.m_commands.emplace_back(std::move(query));
    }
    continueAfterPeerReplies(exchange, context);
}

auto RequestRouter::handleKeyMapWaitEnd(Exchange &exchange, EventContext &context) -> void
{
    const bool isUnsent =
        exchange.m_confirmedUnsentGeneration > 0 && exchange.m_confirmedUnsentGeneration == m_keyMap.map().m_generation && !m_keyMap.hasLostEntry();
    if (isUnsent) {
        finishWithoutAnswer(exchange, ErrorCode::KeysUnavailable, context);
    } else {
        // Another entry daemon may have sent the request.
        finish(exchange, Outcome::Unknown, ErrorCode::OutcomeUnknown, {}, context);
    }
}

auto RequestRouter::handlePeerQueryPauseEnd(Exchange &exchange, EventContext &context) -> void
{
    if (exchange.m_request.m_deadline <= context.m_now) {
        handleKeyMapWaitEnd(exchange, context);
    } else {
        place(exchange, context);
    }
}
}
