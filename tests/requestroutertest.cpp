#include "burdockspur/host/requestrouter.hpp"
#include "burdockspur/core/randomsource.hpp"

#include <gtest/gtest.h>

#include <optional>

using namespace Burdockspur;
using namespace std::chrono_literals;

namespace
{
constexpr TimePoint start(1h);

[[nodiscard]] auto workerIn(std::string_view name, std::string_view zone, HostState state = HostState::Live) -> HostRecord
{
    HostRecord record;
    record.m_name = name;
    record.m_address = "127.0.0.1";
    record.m_port = 80;
    record.m_state = state;
    record.m_slots = 1;
    record.m_place.m_zone = zone;
    return record;
}

class RequestRouterTest : public testing::Test
{
protected:
    auto apply(RouterEvent &&event) -> void
    {
        m_commands.clear();
        m_routerUnderTest->handle(std::move(event), m_now, m_random, m_commands);
    }

    auto setHosts(std::vector<HostRecord> hosts) -> void
    {
        apply(HostsChanged{{1, std::move(hosts)}});
    }

    auto sendRequest(CallerTicket ticket, std::string_view key = {}, bool idempotent = false, std::string_view body = "body") -> void
    {
        ServiceRequest request{"r" + std::to_string(ticket), "seats", "caller", std::string(key), idempotent, m_now + 1s, std::string(body)};
        apply(RequestArrived{ticket, std::move(request)});
    }

    /// @brief Replies to the incarnation probes that the host list triggered.
    auto answerProbes(std::string_view incarnation) -> void
    {
        std::vector<SettleOrder> probes;
        probes.reserve(m_commands.size());
        for (const auto &command : m_commands) {
            probes.push_back(std::get<SettleOrder>(command));
        }
        for (const auto &probe : probes) {
            EXPECT_EQ(probe.m_dispatch.m_exchange, 0U);
            settle(probe, SettleReply::Status::NeverStarted, {}, incarnation);
        }
    }

    auto reply(const ForwardOrder &order, TargetReply::Status status, std::string_view body = {}, std::string_view incarnation = {}) -> void
    {
        apply(TargetReplied{{order.m_dispatch, status, std::string(body), {ErrorCode::ConnectionClosed, {}}, std::string(incarnation)}});
    }

    auto settle(const SettleOrder &order, SettleReply::Status status, std::string_view body = {}, std::string_view incarnation = {}) -> void
    {
        apply(SettleReplied{{order.m_dispatch, status, std::string(body), {}, std::string(incarnation)}});
    }

    auto expireTimer() -> void
    {
        m_now = m_routerUnderTest->nextDeadline();
        apply(TimerExpired{});
    }

    /// @brief Returns the only command of a type among those of the latest event.
    template<typename Command>
    [[nodiscard]] auto onlyCommand() const -> Command
    {
        std::optional<Command> found;
        for (const auto &command : m_commands) {
            if (const auto *const match = std::get_if<Command>(&command)) {
                EXPECT_FALSE(found) << "more than one command of this type";
                found = *match;
            }
        }
        EXPECT_TRUE(found) << "no command of this type";
        return found.value_or(Command{});
    }

    auto expectAnswer(CallerTicket ticket, Outcome outcome, ErrorCode code) const -> void
    {
        const auto answer = onlyCommand<AnswerCaller>();
        EXPECT_EQ(answer.m_ticket, ticket);
        EXPECT_EQ(outcomeName(answer.m_answer.m_outcome), outcomeName(outcome));
        EXPECT_EQ(errorName(answer.m_answer.m_code), errorName(code));
    }

    RouterLimits m_limits;
    RequestRouter m_router{m_limits, "zone-a"};
    RequestRouter *m_routerUnderTest = &m_router; ///< receives the events
    RandomSource m_random{7};
    TimePoint m_now = start;
    std::vector<RouterCommand> m_commands;
};

/// @brief Fixture for the router of entry daemon h1, with a key map that lists h1, h2 and the worker w1.
class KeyMapRouterTest : public RequestRouterTest
{
protected:
    auto SetUp() -> void override
    {
        m_routerUnderTest = &m_keyMapRouter;
        auto peer = workerIn("h2", "zone-a");
        peer.m_role = HostRole::Entry;
        auto self = peer;
        self.m_name = "h1";
        setHosts({workerIn("w1", "zone-a"), self, peer});
        answerProbes("start-1");
    }

    auto readMap(std::string_view incarnation, std::vector<KeyMapChange> changes = {}) -> void
    {
        apply(KeyMapRead{{++m_generation, 1, {{"w1", std::string(incarnation)}}, {{"h1", "boot-1"}, {"h2", "boot-1"}}, std::move(changes)}});
    }

    /// @brief Reads a map in which the home of every key has recently restarted.
    auto readMapWithRecentChanges(KeyMapChange::Kind kind = KeyMapChange::Kind::EntryAdded) -> void
    {
        readMap("start-1", {{KeyMapChange::Kind::WorkerRestarted, "w1", 1}, {kind, "h2", 1}});
    }

    auto replyAsPeer(PeerReply::Status status, std::string_view body = {}, std::string_view incarnation = "boot-1", std::uint64_t generation = 1) -> void
    {
        const auto question = onlyCommand<PeerQuery>();
        EXPECT_EQ(question.m_peer, "h2");
        apply(PeerReplied{{question.m_dispatch, "h2", status, std::string(body), std::string(incarnation), generation, {}}});
    }

    RequestRouter m_keyMapRouter{m_limits, "zone-a", {"h1", "boot-1"}};
    std::uint64_t m_generation = 0;
};
}

// Guards against traffic to other zones, several milliseconds away, while the own zone has a free slot.
TEST_F(RequestRouterTest, PrefersItsOwnZoneAndUsesOthersWhenItIsFull)
{
    setHosts({workerIn("w1", "zone-b"), workerIn("w2", "zone-a"), workerIn("w3", "zone-b")});
    sendRequest(1);
    EXPECT_EQ(onlyCommand<ForwardOrder>().m_target.m_worker, "w2");
    sendRequest(2);
    EXPECT_NE(onlyCommand<ForwardOrder>().m_target.m_worker, "w2");
}

// Guards against an answer that is delivered twice, or to the caller of an earlier request.
TEST_F(RequestRouterTest, DeliversTheAnswerOnce)
{
    setHosts({workerIn("w1", "zone-a")});
    sendRequest(1);
    const auto order = onlyCommand<ForwardOrder>();
    reply(order, TargetReply::Status::Answered, "seat 4");
    expectAnswer(1, Outcome::Answered, ErrorCode::Internal);
    EXPECT_EQ(onlyCommand<AnswerCaller>().m_answer.m_body, "seat 4");
    reply(order, TargetReply::Status::Answered, "seat 5");
    EXPECT_TRUE(m_commands.empty());
}

// Guards against a second execution: after a lost answer, only a tombstone of the worker permits another send.
TEST_F(RequestRouterTest, LostAnswerIsSettledBeforeAnotherSend)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-b")});
    answerProbes("start-1");
    sendRequest(1);
    const auto first = onlyCommand<ForwardOrder>();
    reply(first, TargetReply::Status::Lost);
    const auto settleOrder = onlyCommand<SettleOrder>();
    EXPECT_EQ(settleOrder.m_requestId, first.m_requestId);
    EXPECT_EQ(settleOrder.m_target.m_worker, "w1");
    settle(settleOrder, SettleReply::Status::NeverStarted, {}, "start-1");
    const auto second = onlyCommand<ForwardOrder>();
    EXPECT_EQ(second.m_target.m_worker, "w2");
    EXPECT_NE(second.m_requestId, first.m_requestId);
}

// Guards against a second execution and a false "refused" after a worker has run the request, crashed and restarted:
// it then replies "never started" because its records are lost.
TEST_F(RequestRouterTest, NeverStartedFromARestartedWorkerIsNoProof)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-b")});
    answerProbes("start-1");
    sendRequest(1);
    reply(onlyCommand<ForwardOrder>(), TargetReply::Status::Lost);
    settle(onlyCommand<SettleOrder>(), SettleReply::Status::NeverStarted, {}, "start-2");
    EXPECT_EQ(m_commands.size(), 1U);
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
    // The response contained the new incarnation, so the same reply to the next request is a proof.
    m_now += m_limits.m_avoidMax;
    sendRequest(2);
    reply(onlyCommand<ForwardOrder>(), TargetReply::Status::Lost);
    settle(onlyCommand<SettleOrder>(), SettleReply::Status::NeverStarted, {}, "start-2");
    EXPECT_EQ(onlyCommand<ForwardOrder>().m_target.m_worker, "w2");
}

// Guards against accepting "never started" as proof from a worker that reports no incarnation, or only after the send.
TEST_F(RequestRouterTest, NeverStartedIsNoProofWithoutAKnownIncarnation)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-b")});
    sendRequest(1);
    reply(onlyCommand<ForwardOrder>(), TargetReply::Status::Lost);
    settle(onlyCommand<SettleOrder>(), SettleReply::Status::NeverStarted);
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
    sendRequest(2);
    reply(onlyCommand<ForwardOrder>(), TargetReply::Status::Lost);
    settle(onlyCommand<SettleOrder>(), SettleReply::Status::NeverStarted, {}, "start-1");
    expectAnswer(2, Outcome::Unknown, ErrorCode::OutcomeUnknown);
}

// Guards against an idempotent request that ends unknown although another worker can run it, and against
// "refused" for it after the first worker has lost its record of whether it ran.
TEST_F(RequestRouterTest, IdempotentKeyIsSentAgainAfterARestartButNeverRefused)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-a")});
    answerProbes("start-1");
    sendRequest(1, "key", true);
    const auto first = onlyCommand<ForwardOrder>();
    reply(first, TargetReply::Status::Lost);
    settle(onlyCommand<SettleOrder>(), SettleReply::Status::NeverStarted, {}, "start-2");
    const auto second = onlyCommand<ForwardOrder>();
    EXPECT_NE(second.m_target.m_worker, first.m_target.m_worker);
    reply(second, TargetReply::Status::Leaving, {}, "start-1");
    settle(onlyCommand<SettleOrder>(), SettleReply::Status::NeverStarted, {}, "start-1");
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
}

// Guards against probing a worker again after it replied, and against never probing it again after a lost probe.
TEST_F(RequestRouterTest, IncarnationIsProbedOnceUnlessTheProbeFailed)
{
    const std::vector<HostRecord> hosts{workerIn("w1", "zone-a")};
    setHosts(hosts);
    settle(onlyCommand<SettleOrder>(), SettleReply::Status::NoReply);
    setHosts(hosts);
    const auto probe = onlyCommand<SettleOrder>();
    setHosts(hosts);
    EXPECT_TRUE(m_commands.empty());
    settle(probe, SettleReply::Status::NeverStarted);
    setHosts(hosts);
    EXPECT_TRUE(m_commands.empty());
}

// Guards against accepting a tombstone of a restarted worker as proof. A rejection for lack of slots needs no check of
// the incarnation: it comes from the process that received the request.
TEST_F(RequestRouterTest, OnlyRefusalsOfTheForwardItselfNeedNoIncarnation)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-b")});
    answerProbes("start-1");
    sendRequest(1, "key");
    reply(onlyCommand<ForwardOrder>(), TargetReply::Status::Tombstoned, {}, "start-2");
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
    sendRequest(2);
    reply(onlyCommand<ForwardOrder>(), TargetReply::Status::SlotsExhausted, {}, "start-3");
    EXPECT_EQ(onlyCommand<ForwardOrder>().m_target.m_worker, "w2");
}

// Guards against a false proof for a repeated key: the incarnation before its first send counts, not the current one.
TEST_F(RequestRouterTest, UnresolvedKeyKeepsTheIncarnationOfItsSend)
{
    setHosts({workerIn("w1", "zone-a")});
    answerProbes("start-1");
    sendRequest(1, "key");
    reply(onlyCommand<ForwardOrder>(), TargetReply::Status::Lost);
    settle(onlyCommand<SettleOrder>(), SettleReply::Status::NeverStarted, {}, "start-2");
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
    sendRequest(2, "key");
    settle(onlyCommand<SettleOrder>(), SettleReply::Status::NeverStarted, {}, "start-2");
    expectAnswer(2, Outcome::Unknown, ErrorCode::OutcomeUnknown);
}

// Guards against "refused" for a request that may have run, and against settling forever.
TEST_F(RequestRouterTest, UnsettledRequestEndsUnknownAfterTheGrace)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-b")});
    sendRequest(1);
    reply(onlyCommand<ForwardOrder>(), TargetReply::Status::Lost);
    int settles = 0;
    for (auto order = onlyCommand<SettleOrder>(); settles < 100; order = onlyCommand<SettleOrder>()) {
        ++settles;
        settle(order, SettleReply::Status::NoReply);
        expireTimer();
        if (std::holds_alternative<AnswerCaller>(m_commands.front())) {
            break;
        }
    }
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
    EXPECT_EQ(m_now, start + 1s + m_limits.m_settleGrace);
    EXPECT_GT(settles, 3);
    EXPECT_LT(settles, 30);
}

// Guards against an idempotent request that waits for a dead worker although another worker is free.
TEST_F(RequestRouterTest, IdempotentRequestIsSentAgainAtOnce)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-b")});
    sendRequest(1, {}, true);
    reply(onlyCommand<ForwardOrder>(), TargetReply::Status::Lost);
    EXPECT_EQ(onlyCommand<ForwardOrder>().m_target.m_worker, "w2");
    // The first send may have run, so a rejection of the second must not lead to `refused`.
    reply(onlyCommand<ForwardOrder>(), TargetReply::Status::Leaving);
    setHosts({});
    expireTimer();
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
}

// Guards against new work on a worker that is leaving.
TEST_F(RequestRouterTest, LeavingWorkersGetNoNewRequests)
{
    setHosts({workerIn("w1", "zone-a", HostState::Leaving), workerIn("w2", "zone-b")});
    sendRequest(1);
    const auto order = onlyCommand<ForwardOrder>();
    EXPECT_EQ(order.m_target.m_worker, "w2");
    reply(order, TargetReply::Status::Leaving);
    expectAnswer(1, Outcome::Refused, ErrorCode::NoTarget);
    sendRequest(2);
    expectAnswer(2, Outcome::Refused, ErrorCode::NoTarget);
    m_now += m_limits.m_leavingMark;
    sendRequest(3);
    EXPECT_EQ(onlyCommand<ForwardOrder>().m_target.m_worker, "w2");
}

// Guards against a retry storm when every worker refuses.
TEST_F(RequestRouterTest, RetriesEndWithTheBudget)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-a")});
    sendRequest(1);
    int forwards = 0;
    while (forwards < 100 && (m_commands.empty() || std::holds_alternative<ForwardOrder>(m_commands.front()))) {
        if (m_commands.empty()) {
            expireTimer();
            continue;
        }
        ++forwards;
        reply(onlyCommand<ForwardOrder>(), TargetReply::Status::SlotsExhausted);
    }
    EXPECT_EQ(forwards, 11);
    expectAnswer(1, Outcome::Refused, ErrorCode::RetryBudgetExhausted);
}

// Guards against a worker that drops connections and still gets half of the requests.
TEST_F(RequestRouterTest, FailingWorkerIsAvoidedUnlessNothingElseIsLeft)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-b")});
    sendRequest(1);
    reply(onlyCommand<ForwardOrder>(), TargetReply::Status::NotSent);
    EXPECT_EQ(onlyCommand<ForwardOrder>().m_target.m_worker, "w2");
    sendRequest(2);
    EXPECT_EQ(onlyCommand<ForwardOrder>().m_target.m_worker, "w1");
}

// Guards against a queue that grows without bound, and against dropping another request than the one that is least
// likely to meet its deadline.
TEST_F(RequestRouterTest, FullQueueShedsTheEarliestDeadline)
{
    RouterLimits limits;
    limits.m_maxQueuedPerClass = 2;
    RequestRouter router(limits, "zone-a");
    router.handle(HostsChanged{{1, {workerIn("w1", "zone-a")}}}, m_now, m_random, m_commands);
    for (CallerTicket ticket = 1; ticket <= 4; ++ticket) {
        m_commands.clear();
        ServiceRequest request{"r", "seats", "caller", {}, false, m_now + ticket * 1s, {}};
        router.handle(RequestArrived{ticket, std::move(request)}, m_now, m_random, m_commands);
    }
    expectAnswer(2, Outcome::Refused, ErrorCode::Overloaded);
    EXPECT_EQ(router.queued(), 2U);
}

// Guards against a queued request that waits although a slot is free, or is sent after its deadline.
TEST_F(RequestRouterTest, QueuedRequestIsSentWhenASlotIsFreeOrRefusedAtItsDeadline)
{
    setHosts({workerIn("w1", "zone-a")});
    sendRequest(1);
    const auto first = onlyCommand<ForwardOrder>();
    sendRequest(2);
    EXPECT_TRUE(m_commands.empty());
    sendRequest(3);
    reply(first, TargetReply::Status::Answered);
    EXPECT_EQ(onlyCommand<ForwardOrder>().m_requestId, "r2");
    expireTimer();
    expectAnswer(3, Outcome::Refused, ErrorCode::DeadlineExceeded);
    EXPECT_EQ(m_router.queued(), 0U);
}

// Guards against a second execution when the same key arrives twice while the request is in progress, or afterwards.
TEST_F(RequestRouterTest, RequestsWithTheSameKeyShareOneExecution)
{
    setHosts({workerIn("w1", "zone-a")});
    sendRequest(1, "key");
    const auto order = onlyCommand<ForwardOrder>();
    EXPECT_EQ(order.m_requestId, requestIdOfKey({{}, "seats", "caller", "key", false, {}, "body"}));
    sendRequest(2, "key");
    EXPECT_TRUE(m_commands.empty());
    sendRequest(3, "key", false, "other body");
    expectAnswer(3, Outcome::Refused, ErrorCode::IdempotencyConflict);
    reply(order, TargetReply::Status::Answered, "seat 4");
    EXPECT_EQ(m_commands.size(), 2U);
    sendRequest(4, "key");
    expectAnswer(4, Outcome::Answered, ErrorCode::Internal);
    EXPECT_EQ(onlyCommand<AnswerCaller>().m_answer.m_body, "seat 4");
}

// Guards against a key that runs on two workers because the first is leaving and its answer was lost.
TEST_F(RequestRouterTest, KeyMovesToAnotherWorkerOnlyAfterATombstone)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-a")});
    sendRequest(1, "key");
    const auto order = onlyCommand<ForwardOrder>();
    const auto first = order.m_target.m_worker;
    const auto second = first == "w1" ? "w2" : "w1";
    reply(order, TargetReply::Status::Leaving);
    const auto question = onlyCommand<SettleOrder>();
    EXPECT_EQ(question.m_target.m_worker, first);
    settle(question, SettleReply::Status::NeverStarted);
    EXPECT_EQ(onlyCommand<ForwardOrder>().m_target.m_worker, second);
    reply(onlyCommand<ForwardOrder>(), TargetReply::Status::Answered);
    // An entry host that receives the key for the first time must settle it with the leaving worker too.
    RequestRouter other(m_limits, "zone-a");
    other.handle(HostsChanged{{1, {workerIn(first, "zone-a", HostState::Leaving), workerIn(second, "zone-a")}}}, m_now, m_random, m_commands);
    m_commands.clear();
    ServiceRequest request{"r9", "seats", "caller", "key", false, m_now + 1s, "body"};
    other.handle(RequestArrived{9, std::move(request)}, m_now, m_random, m_commands);
    EXPECT_EQ(onlyCommand<SettleOrder>().m_target.m_worker, first);
    EXPECT_EQ(onlyCommand<SettleOrder>().m_requestId, order.m_requestId);
}

// Guards against a second send of a key whose first request ended unknown.
TEST_F(RequestRouterTest, UnresolvedKeyIsSettledWithItsWorkerFirst)
{
    setHosts({workerIn("w1", "zone-a")});
    sendRequest(1, "key");
    reply(onlyCommand<ForwardOrder>(), TargetReply::Status::Lost);
    m_now += 10s;
    apply(TimerExpired{});
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
    sendRequest(2, "key");
    settle(onlyCommand<SettleOrder>(), SettleReply::Status::Answered, "seat 4");
    expectAnswer(2, Outcome::Answered, ErrorCode::Internal);
    EXPECT_EQ(onlyCommand<AnswerCaller>().m_answer.m_body, "seat 4");
}

// Guards against requests that are interrupted by a planned stop, and against a drain that never ends.
TEST_F(RequestRouterTest, DrainRefusesNewRequestsAndFinishesTheOthers)
{
    setHosts({workerIn("w1", "zone-a")});
    sendRequest(1);
    const auto order = onlyCommand<ForwardOrder>();
    apply(DrainRequested{});
    sendRequest(2);
    expectAnswer(2, Outcome::Refused, ErrorCode::Draining);
    EXPECT_FALSE(m_router.isDrained());
    reply(order, TargetReply::Status::Answered);
    expectAnswer(1, Outcome::Answered, ErrorCode::Internal);
    EXPECT_TRUE(m_router.isDrained());
}

// Guards against executing a queued request whose caller has disconnected.
TEST_F(RequestRouterTest, QueuedRequestOfADisconnectedCallerIsDropped)
{
    setHosts({workerIn("w1", "zone-a")});
    sendRequest(1);
    const auto order = onlyCommand<ForwardOrder>();
    sendRequest(2, "key");
    apply(CallerDisconnected{2});
    reply(order, TargetReply::Status::Answered);
    expectAnswer(1, Outcome::Answered, ErrorCode::Internal);
    EXPECT_EQ(m_commands.size(), 1U);
    sendRequest(3, "key");
    EXPECT_EQ(onlyCommand<ForwardOrder>().m_target.m_worker, "w1");
}

// Guards against forwarding requests for undefined services, and requests whose deadline has passed.
TEST_F(RequestRouterTest, UnknownServiceAndPastDeadlineAreRefused)
{
    setHosts({workerIn("w1", "zone-a")});
    Configuration configuration;
    configuration.m_services.push_back({"vans", {}, 0});
    apply(ConfigurationChanged{configuration});
    sendRequest(1);
    expectAnswer(1, Outcome::Refused, ErrorCode::UnknownService);
    apply(RequestArrived{2, {"r2", "vans", "caller", {}, false, m_now, {}}});
    expectAnswer(2, Outcome::Refused, ErrorCode::DeadlineExceeded);
}

// Guards against delaying requests without a key, and against querying peers about keys whose home has not changed.
TEST_F(KeyMapRouterTest, StableHomeIsUsedAtOnceWithItsIncarnation)
{
    sendRequest(1, "key");
    EXPECT_TRUE(m_commands.empty()) << "sent although no map was read";
    sendRequest(2);
    EXPECT_EQ(onlyCommand<ForwardOrder>().m_expectedIncarnation, "");
    reply(onlyCommand<ForwardOrder>(), TargetReply::Status::Answered);
    readMap("start-1");
    EXPECT_EQ(m_commands.size(), 1U);
    EXPECT_EQ(onlyCommand<ForwardOrder>().m_expectedIncarnation, "start-1");
}

// Guards against a send to the new incarnation of a worker before the map lists it, and then without querying the peers.
TEST_F(KeyMapRouterTest, RequestForARestartedHomeWaitsForTheMapAndQueriesPeers)
{
    readMap("start-1");
    sendRequest(1, "key");
    reply(onlyCommand<ForwardOrder>(), TargetReply::Status::OtherIncarnation, {}, "start-2");
    EXPECT_TRUE(m_commands.empty());
    readMap("start-2", {{KeyMapChange::Kind::WorkerRestarted, "w1", 2}});
    EXPECT_EQ(onlyCommand<PeerQuery>().m_generation, 2U);
    replyAsPeer(PeerReply::Status::NeverSent);
    EXPECT_EQ(onlyCommand<ForwardOrder>().m_expectedIncarnation, "start-2");
}

// Guards against a second execution when another entry daemon has sent the key, and against ignoring the answer that it
// has stored.
TEST_F(KeyMapRouterTest, RepliesOfPeersDecideAboutAKeyWithoutAStableHome)
{
    readMapWithRecentChanges();
    sendRequest(1, "answered");
    replyAsPeer(PeerReply::Status::Answered, "seat 4");
    expectAnswer(1, Outcome::Answered, ErrorCode::Internal);
    EXPECT_EQ(onlyCommand<AnswerCaller>().m_answer.m_body, "seat 4");
    sendRequest(2, "failed");
    replyAsPeer(PeerReply::Status::Failed);
    expectAnswer(2, Outcome::Failed, ErrorCode::ExecutionFailed);
    sendRequest(3, "unknown");
    replyAsPeer(PeerReply::Status::Unknown);
    expectAnswer(3, Outcome::Unknown, ErrorCode::OutcomeUnknown);
    sendRequest(4, "conflict");
    replyAsPeer(PeerReply::Status::Conflict);
    expectAnswer(4, Outcome::Refused, ErrorCode::IdempotencyConflict);
    sendRequest(5, "running");
    replyAsPeer(PeerReply::Status::Running);
    expireTimer();
    replyAsPeer(PeerReply::Status::NeverSent, {}, "boot-2");
    expireTimer();
    replyAsPeer(PeerReply::Status::NeverSent);
    EXPECT_EQ(onlyCommand<ForwardOrder>().m_target.m_worker, "w1");
}

// Guards against a send because the remaining daemons never sent the key, although one whose records are lost may have.
TEST_F(KeyMapRouterTest, ALostEntryDaemonLeavesTheOutcomeUnknown)
{
    readMapWithRecentChanges(KeyMapChange::Kind::EntryReplaced);
    sendRequest(1, "key");
    replyAsPeer(PeerReply::Status::NeverSent);
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
}

// Guards against a send according to a map that is older than that of the daemon that replied.
TEST_F(KeyMapRouterTest, AHigherGenerationOfAPeerIsReadFirst)
{
    readMapWithRecentChanges();
    sendRequest(1, "key");
    replyAsPeer(PeerReply::Status::NeverSent, {}, "boot-1", 2);
    EXPECT_EQ(m_commands.size(), 1U);
    static_cast<void>(onlyCommand<ReadKeyMap>());
    readMap("start-1");
    EXPECT_EQ(onlyCommand<ForwardOrder>().m_target.m_worker, "w1");
}

// Guards against a wrong reply to another daemon about a running, answered or unsent key, and against sending according
// to an older map after the reply.
TEST_F(KeyMapRouterTest, RepliesToPeersAndRequiresTheirGeneration)
{
    readMap("start-1");
    sendRequest(1, "key");
    const auto order = onlyCommand<ForwardOrder>();
    const auto statusOf = [&](std::string_view id, std::uint64_t generation) {
        apply(PeerQueryReceived{7, std::string(id), generation});
        return onlyCommand<AnswerPeer>().m_reply;
    };
    EXPECT_EQ(statusOf(order.m_requestId, 1).m_status, PeerReply::Status::Running);
    EXPECT_EQ(statusOf(order.m_requestId, 1).m_incarnation, "boot-1");
    reply(order, TargetReply::Status::Answered, "seat 4");
    EXPECT_EQ(statusOf(order.m_requestId, 1).m_status, PeerReply::Status::Answered);
    EXPECT_EQ(statusOf(order.m_requestId, 1).m_body, "seat 4");
    EXPECT_EQ(statusOf("k0-0", 2).m_status, PeerReply::Status::NeverSent);
    sendRequest(2, "later");
    EXPECT_TRUE(m_commands.empty()) << "sent according to the map of generation 1 after a reply to a peer with generation 2";
}

// Guards against a caller that waits past its deadline for a map, and against `refused` without proof.
TEST_F(KeyMapRouterTest, RequestWithoutAKeyMapEndsAtItsDeadline)
{
    sendRequest(1, "key");
    m_now += 1s;
    apply(TimerExpired{});
    bool isAnswered = false;
    for (const auto &command : m_commands) {
        const auto *const answer = std::get_if<AnswerCaller>(&command);
        isAnswered = isAnswered || (answer != nullptr && answer->m_answer.m_outcome == Outcome::Unknown);
    }
    EXPECT_TRUE(isAnswered);
}
