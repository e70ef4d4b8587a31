#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/host/requestrouter.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
auto RequestRouter::on(KeyMapRead &&event, Turn &turn) -> void
{
    m_keyMap.takeMap(std::move(event.m_map), turn.m_now, turn.m_random);
    for (const auto &worker : m_keyMap.map().m_workers) {
        Target *const target = m_targets.find(worker.m_name);
        if (target != nullptr && target->m_incarnation != worker.m_incarnation) {
            // One of both is old; only a response from now on tells which.
            target->m_incarnation.clear();
            target->m_isProbed = false;
            probe(*target, turn);
        }
    }
    m_mapMoved = true;
}

auto RequestRouter::on(KeyMapNotWritten && /*event*/, Turn &turn) -> void
{
    std::vector<KeyMapCommand> orders;
    m_keyMap.proposalFailed(turn.m_now, turn.m_random, orders);
    orderMap(std::move(orders), turn);
}

auto RequestRouter::on(PeerAsked &&event, Turn &turn) -> void
{
    // Before the answer: what was never sent is not sent by an older map afterwards.
    std::vector<KeyMapCommand> orders;
    m_keyMap.adopt(event.m_generation, orders);
    orderMap(std::move(orders), turn);
    auto reply = knowledgeOf(event.m_requestId, turn.m_now);
    reply.m_peer = m_keyMap.self().m_name;
    reply.m_incarnation = m_keyMap.self().m_incarnation;
    reply.m_generation = m_keyMap.map().m_generation;
    turn.m_commands.emplace_back(AnswerPeer{event.m_ticket, std::move(reply)});
}

auto RequestRouter::knowledgeOf(std::string_view id, TimePoint now) -> PeerReply
{
    using Status = PeerReply::Status;
    // In the order of KeyState.
    static constexpr std::array<Status, 5> statuses{Status::NeverSent, Status::Running, Status::Answered, Status::Unknown, Status::Conflict};
    PeerReply reply;
    const auto state = m_keys.lookUp(id, now);
    reply.m_status = statuses[static_cast<std::size_t>(state)];
    if (state == KeyState::New && m_keys.mayHaveForgotten(now)) {
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

auto RequestRouter::on(PeerReplied &&event, Turn &turn) -> void
{
    using Handler = auto (RequestRouter::*)(Exchange &, PeerReply &&, Turn &)->void;
    // In the order of PeerReply::Status.
    static constexpr std::array<Handler, 7> handlers{
        &RequestRouter::peerNeverSent,
        &RequestRouter::peerToAskAgain,
        &RequestRouter::peerDoesNotKnow,
        &RequestRouter::peerAnswered,
        &RequestRouter::peerFailed,
        &RequestRouter::peerConflicts,
        &RequestRouter::peerToAskAgain,
    };
    auto &reply = event.m_reply;
    std::vector<KeyMapCommand> orders;
    m_keyMap.adopt(reply.m_generation, orders);
    orderMap(std::move(orders), turn);
    if (Exchange *const exchange = current(reply.m_dispatch, ExchangeState::AskingPeers); exchange != nullptr) {
        std::erase(exchange->m_peersLeft, reply.m_peer);
        (this->*handlers[static_cast<std::size_t>(reply.m_status)])(*exchange, std::move(reply), turn);
    }
}

auto RequestRouter::peerNeverSent(Exchange &exchange, PeerReply &&reply, Turn &turn) -> void
{
    const auto &entries = m_keyMap.map().m_entries;
    const bool isMember = std::ranges::find(entries, KeyMapMember{reply.m_peer, reply.m_incarnation}) != entries.end();
    // Another incarnation has no memory of what the member sent.
    exchange.m_askAgain = exchange.m_askAgain || !isMember;
    peersReplied(exchange, turn);
}

auto RequestRouter::peerToAskAgain(Exchange &exchange, PeerReply && /*reply*/, Turn &turn) -> void
{
    exchange.m_askAgain = true;
    peersReplied(exchange, turn);
}

auto RequestRouter::peerDoesNotKnow(Exchange &exchange, PeerReply && /*reply*/, Turn &turn) -> void
{
    exchange.m_peerDoesNotKnow = true;
    peersReplied(exchange, turn);
}

auto RequestRouter::peerAnswered(Exchange &exchange, PeerReply &&reply, Turn &turn) -> void
{
    finish(exchange, Outcome::Answered, ErrorCode::Internal, std::move(reply.m_body), turn);
}

auto RequestRouter::peerFailed(Exchange &exchange, PeerReply &&reply, Turn &turn) -> void
{
    finish(exchange, Outcome::Failed, ErrorCode::ExecutionFailed, std::move(reply.m_body), turn);
}

auto RequestRouter::peerConflicts(Exchange &exchange, PeerReply && /*reply*/, Turn &turn) -> void
{
    finish(exchange, Outcome::Refused, ErrorCode::IdempotencyConflict, {}, turn);
}

auto RequestRouter::peersReplied(Exchange &exchange, Turn &turn) -> void
{
    if (!exchange.m_peersLeft.empty()) {
        return;
    }
    if (exchange.m_peerDoesNotKnow) {
        finish(exchange, Outcome::Unknown, ErrorCode::OutcomeUnknown, {}, turn);
    } else if (exchange.m_askAgain) {
        pause(exchange, ExchangeState::AskPause, exchange.m_request.m_deadline, turn);
    } else {
        exchange.m_askedGeneration = exchange.m_keyGeneration;
        place(exchange, turn);
    }
}

auto RequestRouter::isMapped(const Exchange &exchange) const noexcept -> bool
{
    return m_keyMap.isOn() && m_limits.m_guards.m_keyMap && !exchange.m_request.m_idempotent && !exchange.m_request.m_idempotencyKey.empty();
}

auto RequestRouter::orderMap(std::vector<KeyMapCommand> &&commands, Turn &turn) -> void
{
    for (auto &command : commands) {
        std::visit(
            [&turn](auto &content) {
                turn.m_commands.emplace_back(std::move(content));
            },
            command);
    }
}

auto RequestRouter::noteIncarnation(Target &target, std::string_view incarnation, Turn &turn) -> void
{
    if (incarnation.empty() || target.m_incarnation == incarnation) {
        return;
    }
    TargetTable::noteIncarnation(target, incarnation);
    m_keyMap.noteWorker(target.m_record.m_name, incarnation, turn.m_now, turn.m_random);
    m_mapMoved = true;
}

auto RequestRouter::placeByMap(Exchange &exchange, Turn &turn) -> void
{
    const auto &map = m_keyMap.map();
    if (exchange.m_keyGeneration != map.m_generation) {
        // A tombstone ends with its process, and the order of the workers may have changed.
        exchange.m_keyGeneration = map.m_generation;
        exchange.m_excluded.clear();
    }
    const bool isAsked = map.m_generation > 0 && exchange.m_askedGeneration == map.m_generation;
    const KeyHome home = m_keyMap.homeOf(keyPartOf(exchange.m_request.m_id), exchange.m_excluded);
    Target *const target = home.m_worker == nullptr ? nullptr : m_targets.find(home.m_worker->m_name);
    if (m_keyMap.isUsable() && home.m_worker == nullptr) {
        finishWithoutAnswer(exchange, ErrorCode::NoTarget, turn);
    } else if (!isAsked && map.m_generation > 0 && !home.m_isSettled) {
        askPeers(exchange, turn);
    } else if (isAsked && !home.m_isSettled && (m_keyMap.lostEntry() || m_keys.mayHaveForgotten(turn.m_now))) {
        finish(exchange, Outcome::Unknown, ErrorCode::OutcomeUnknown, {}, turn);
    } else if (!m_keyMap.isUsable() || target == nullptr || !target->m_listed) {
        awaitMap(exchange, turn);
    } else if (target->m_incarnation != home.m_worker->m_incarnation) {
        probe(*target, turn);
        awaitMap(exchange, turn);
    } else {
        sendTo(exchange, *target, turn);
    }
}

auto RequestRouter::awaitMap(Exchange &exchange, Turn & /*turn*/) -> void
{
    exchange.m_state = ExchangeState::KeyMapWait;
    m_exchanges.setTimer(exchange, exchange.m_request.m_deadline);
    m_waitingForMap.insert(exchange.m_number);
}

auto RequestRouter::placeWaiting(Turn &turn) -> void
{
    if (!std::exchange(m_mapMoved, false)) {
        return;
    }
    for (const auto number : std::exchange(m_waitingForMap, {})) {
        Exchange *const exchange = m_exchanges.find(number);
        if (exchange != nullptr && (exchange->m_state == ExchangeState::KeyMapWait || exchange->m_state == ExchangeState::AskPause)) {
            place(*exchange, turn);
        }
    }
}

auto RequestRouter::askPeers(Exchange &exchange, Turn &turn) -> void
{
    exchange.m_state = ExchangeState::AskingPeers;
    exchange.m_peersLeft.clear();
    exchange.m_peerDoesNotKnow = false;
    exchange.m_askAgain = false;
    m_exchanges.setTimer(exchange, exchange.m_request.m_deadline);
    m_waitingForMap.insert(exchange.m_number);
    ++exchange.m_sequence;
    for (const auto &entry : m_keyMap.map().m_entries) {
        const auto peer = m_peers.find(entry.m_name);
        if (entry.m_name == m_keyMap.self().m_name) {
            continue;
        }
        if (peer == m_peers.end()) {
            exchange.m_askAgain = true;
            continue;
        }
        PeerQuery question = peer->second;
        question.m_dispatch = {exchange.m_number, exchange.m_sequence};
        question.m_requestId = exchange.m_request.m_id;
        question.m_generation = m_keyMap.map().m_generation;
        question.m_timeout = std::min<Duration>(m_limits.m_settleTimeout, exchange.m_request.m_deadline - turn.m_now);
        exchange.m_peersLeft.push_back(entry.m_name);
        turn.m_commands.emplace_back(std::move(question));
    }
    peersReplied(exchange, turn);
}

auto RequestRouter::keyMapWaitEnded(Exchange &exchange, Turn &turn) -> void
{
    const bool isUnsent = exchange.m_askedGeneration > 0 && exchange.m_askedGeneration == m_keyMap.map().m_generation && !m_keyMap.lostEntry();
    if (isUnsent) {
        finishWithoutAnswer(exchange, ErrorCode::KeysUnavailable, turn);
    } else {
        // Another entry daemon may have sent the key.
        finish(exchange, Outcome::Unknown, ErrorCode::OutcomeUnknown, {}, turn);
    }
}

auto RequestRouter::askPauseEnded(Exchange &exchange, Turn &turn) -> void
{
    if (exchange.m_request.m_deadline <= turn.m_now) {
        keyMapWaitEnded(exchange, turn);
    } else {
        place(exchange, turn);
    }
}
}
