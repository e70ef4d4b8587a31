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
        m_used->handle(std::move(event), m_now, m_random, m_commands);
    }

    auto setHosts(std::vector<HostRecord> hosts) -> void
    {
        apply(HostsChanged{{1, std::move(hosts)}});
    }

    auto arrive(CallerTicket ticket, std::string_view key = {}, bool idempotent = false, std::string_view body = "body") -> void
    {
        ServiceRequest request{"r" + std::to_string(ticket), "seats", "caller", std::string(key), idempotent, m_now + 1s, std::string(body)};
        apply(RequestArrived{ticket, std::move(request)});
    }

    /// @brief Lets the workers answer the question for their incarnation, which the host list caused.
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

    auto passTimer() -> void
    {
        m_now = m_used->nextDeadline();
        apply(TimePassed{});
    }

    /// @brief The only command of a kind among those of the last event.
    template<typename Command>
    [[nodiscard]] auto the() const -> Command
    {
        std::optional<Command> found;
        for (const auto &command : m_commands) {
            if (const auto *const match = std::get_if<Command>(&command)) {
                EXPECT_FALSE(found) << "two commands of a kind";
                found = *match;
            }
        }
        EXPECT_TRUE(found) << "no such command";
        return found.value_or(Command{});
    }

    auto expectAnswer(CallerTicket ticket, Outcome outcome, ErrorCode code) const -> void
    {
        const auto answer = the<AnswerCaller>();
        EXPECT_EQ(answer.m_ticket, ticket);
        EXPECT_EQ(outcomeName(answer.m_answer.m_outcome), outcomeName(outcome));
        EXPECT_EQ(errorName(answer.m_answer.m_code), errorName(code));
    }

    RouterLimits m_limits;
    RequestRouter m_router{m_limits, "zone-a"};
    RequestRouter *m_used = &m_router; ///< takes the events
    RandomSource m_random{7};
    TimePoint m_now = start;
    std::vector<RouterCommand> m_commands;
};

/// @brief Router of the entry daemon h1, which knows a key map with h1, h2 and the worker w1.
class KeyMapRouterTest : public RequestRouterTest
{
protected:
    auto SetUp() -> void override
    {
        m_used = &m_mapped;
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

    /// @brief Lets the home of every key have a recent restart.
    auto readChangedMap(KeyMapChange::Kind kind = KeyMapChange::Kind::EntryAdded) -> void
    {
        readMap("start-1", {{KeyMapChange::Kind::WorkerRestarted, "w1", 1}, {kind, "h2", 1}});
    }

    auto replyOfPeer(PeerReply::Status status, std::string_view body = {}, std::string_view incarnation = "boot-1", std::uint64_t generation = 1) -> void
    {
        const auto question = the<PeerQuery>();
        EXPECT_EQ(question.m_peer, "h2");
        apply(PeerReplied{{question.m_dispatch, "h2", status, std::string(body), std::string(incarnation), generation, {}}});
    }

    RequestRouter m_mapped{m_limits, "zone-a", {"h1", "boot-1"}};
    std::uint64_t m_generation = 0;
};
}

// Guards against traffic to other zones, several milliseconds away, while the own zone has a free slot.
TEST_F(RequestRouterTest, PrefersItsOwnZoneAndUsesOthersWhenItIsFull)
{
    setHosts({workerIn("w1", "zone-b"), workerIn("w2", "zone-a"), workerIn("w3", "zone-b")});
    arrive(1);
    EXPECT_EQ(the<ForwardOrder>().m_target.m_worker, "w2");
    arrive(2);
    EXPECT_NE(the<ForwardOrder>().m_target.m_worker, "w2");
}

// Guards against an answer that is delivered twice, or to the caller of an earlier request.
TEST_F(RequestRouterTest, DeliversTheAnswerOnce)
{
    setHosts({workerIn("w1", "zone-a")});
    arrive(1);
    const auto order = the<ForwardOrder>();
    reply(order, TargetReply::Status::Answered, "seat 4");
    expectAnswer(1, Outcome::Answered, ErrorCode::Internal);
    EXPECT_EQ(the<AnswerCaller>().m_answer.m_body, "seat 4");
    reply(order, TargetReply::Status::Answered, "seat 5");
    EXPECT_TRUE(m_commands.empty());
}

// Guards against a second booking: after a lost answer only the worker's tombstone allows another send.
TEST_F(RequestRouterTest, LostAnswerIsSettledBeforeAnotherSend)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-b")});
    answerProbes("start-1");
    arrive(1);
    const auto first = the<ForwardOrder>();
    reply(first, TargetReply::Status::Lost);
    const auto settleOrder = the<SettleOrder>();
    EXPECT_EQ(settleOrder.m_requestId, first.m_requestId);
    EXPECT_EQ(settleOrder.m_target.m_worker, "w1");
    settle(settleOrder, SettleReply::Status::NeverStarted, {}, "start-1");
    const auto second = the<ForwardOrder>();
    EXPECT_EQ(second.m_target.m_worker, "w2");
    EXPECT_NE(second.m_requestId, first.m_requestId);
}

// Guards against a second booking and a false "refused" after a worker has run the request, crashed and restarted:
// its "never started" then says only that it forgot.
TEST_F(RequestRouterTest, NeverStartedOfARestartedWorkerIsNoProof)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-b")});
    answerProbes("start-1");
    arrive(1);
    reply(the<ForwardOrder>(), TargetReply::Status::Lost);
    settle(the<SettleOrder>(), SettleReply::Status::NeverStarted, {}, "start-2");
    EXPECT_EQ(m_commands.size(), 1U);
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
    // The response told the new incarnation, so the next request has its proof.
    m_now += m_limits.m_avoidMax;
    arrive(2);
    reply(the<ForwardOrder>(), TargetReply::Status::Lost);
    settle(the<SettleOrder>(), SettleReply::Status::NeverStarted, {}, "start-2");
    EXPECT_EQ(the<ForwardOrder>().m_target.m_worker, "w2");
}

// Guards against a proof from a worker that never tells its incarnation, or told it only after the send.
TEST_F(RequestRouterTest, NeverStartedIsNoProofWithoutAKnownIncarnation)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-b")});
    arrive(1);
    reply(the<ForwardOrder>(), TargetReply::Status::Lost);
    settle(the<SettleOrder>(), SettleReply::Status::NeverStarted);
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
    arrive(2);
    reply(the<ForwardOrder>(), TargetReply::Status::Lost);
    settle(the<SettleOrder>(), SettleReply::Status::NeverStarted, {}, "start-1");
    expectAnswer(2, Outcome::Unknown, ErrorCode::OutcomeUnknown);
}

// Guards against an idempotent request that ends unknown although another worker can run it, and against
// "refused" for it after the first worker has forgotten whether it ran.
TEST_F(RequestRouterTest, IdempotentKeyIsSentAgainAfterARestartButNeverRefused)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-a")});
    answerProbes("start-1");
    arrive(1, "key", true);
    const auto first = the<ForwardOrder>();
    reply(first, TargetReply::Status::Lost);
    settle(the<SettleOrder>(), SettleReply::Status::NeverStarted, {}, "start-2");
    const auto second = the<ForwardOrder>();
    EXPECT_NE(second.m_target.m_worker, first.m_target.m_worker);
    reply(second, TargetReply::Status::Leaving, {}, "start-1");
    settle(the<SettleOrder>(), SettleReply::Status::NeverStarted, {}, "start-1");
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
}

// Guards against a worker that is asked again and again, or never again after the question was lost.
TEST_F(RequestRouterTest, IncarnationIsAskedOnceUnlessTheQuestionFailed)
{
    const std::vector<HostRecord> hosts{workerIn("w1", "zone-a")};
    setHosts(hosts);
    settle(the<SettleOrder>(), SettleReply::Status::NoReply);
    setHosts(hosts);
    const auto probe = the<SettleOrder>();
    setHosts(hosts);
    EXPECT_TRUE(m_commands.empty());
    settle(probe, SettleReply::Status::NeverStarted);
    setHosts(hosts);
    EXPECT_TRUE(m_commands.empty());
}

// Guards against a tombstone of a restarted worker that is taken for a proof; a refusal for lack of slots comes
// from the process that received the request and stays one.
TEST_F(RequestRouterTest, OnlyRefusalsOfTheForwardItselfNeedNoIncarnation)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-b")});
    answerProbes("start-1");
    arrive(1, "key");
    reply(the<ForwardOrder>(), TargetReply::Status::Tombstoned, {}, "start-2");
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
    arrive(2);
    reply(the<ForwardOrder>(), TargetReply::Status::SlotsExhausted, {}, "start-3");
    EXPECT_EQ(the<ForwardOrder>().m_target.m_worker, "w2");
}

// Guards against a false proof for a repeated key: the incarnation before its first send decides, not the present one.
TEST_F(RequestRouterTest, UnresolvedKeyKeepsTheIncarnationOfItsSend)
{
    setHosts({workerIn("w1", "zone-a")});
    answerProbes("start-1");
    arrive(1, "key");
    reply(the<ForwardOrder>(), TargetReply::Status::Lost);
    settle(the<SettleOrder>(), SettleReply::Status::NeverStarted, {}, "start-2");
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
    arrive(2, "key");
    settle(the<SettleOrder>(), SettleReply::Status::NeverStarted, {}, "start-2");
    expectAnswer(2, Outcome::Unknown, ErrorCode::OutcomeUnknown);
}

// Guards against "refused" for a request that may have run, and against settling for ever.
TEST_F(RequestRouterTest, UnsettledRequestEndsUnknownAfterTheGrace)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-b")});
    arrive(1);
    reply(the<ForwardOrder>(), TargetReply::Status::Lost);
    int settles = 0;
    for (auto order = the<SettleOrder>(); settles < 100; order = the<SettleOrder>()) {
        ++settles;
        settle(order, SettleReply::Status::NoReply);
        passTimer();
        if (std::holds_alternative<AnswerCaller>(m_commands.front())) {
            break;
        }
    }
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
    EXPECT_EQ(m_now, start + 1s + m_limits.m_settleGrace);
    EXPECT_GT(settles, 3);
    EXPECT_LT(settles, 30);
}

// Guards against an idempotent request that waits for a dead worker although another is free.
TEST_F(RequestRouterTest, IdempotentRequestIsSentAgainAtOnce)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-b")});
    arrive(1, {}, true);
    reply(the<ForwardOrder>(), TargetReply::Status::Lost);
    EXPECT_EQ(the<ForwardOrder>().m_target.m_worker, "w2");
    // The first send may have run, so a refusal of the second does not make it `refused`.
    reply(the<ForwardOrder>(), TargetReply::Status::Leaving);
    setHosts({});
    passTimer();
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
}

// Guards against new work on a worker that is leaving.
TEST_F(RequestRouterTest, LeavingWorkersGetNoNewRequests)
{
    setHosts({workerIn("w1", "zone-a", HostState::Leaving), workerIn("w2", "zone-b")});
    arrive(1);
    const auto order = the<ForwardOrder>();
    EXPECT_EQ(order.m_target.m_worker, "w2");
    reply(order, TargetReply::Status::Leaving);
    expectAnswer(1, Outcome::Refused, ErrorCode::NoTarget);
    arrive(2);
    expectAnswer(2, Outcome::Refused, ErrorCode::NoTarget);
    m_now += m_limits.m_leavingMark;
    arrive(3);
    EXPECT_EQ(the<ForwardOrder>().m_target.m_worker, "w2");
}

// Guards against a retry storm when every worker refuses.
TEST_F(RequestRouterTest, RetriesEndWithTheBudget)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-a")});
    arrive(1);
    int forwards = 0;
    while (forwards < 100 && (m_commands.empty() || std::holds_alternative<ForwardOrder>(m_commands.front()))) {
        if (m_commands.empty()) {
            passTimer();
            continue;
        }
        ++forwards;
        reply(the<ForwardOrder>(), TargetReply::Status::SlotsExhausted);
    }
    EXPECT_EQ(forwards, 11);
    expectAnswer(1, Outcome::Refused, ErrorCode::RetryBudgetExhausted);
}

// Guards against a worker that drops connections and still gets half of the requests.
TEST_F(RequestRouterTest, FailingWorkerIsAvoidedUnlessNothingElseIsLeft)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-b")});
    arrive(1);
    reply(the<ForwardOrder>(), TargetReply::Status::NotSent);
    EXPECT_EQ(the<ForwardOrder>().m_target.m_worker, "w2");
    arrive(2);
    EXPECT_EQ(the<ForwardOrder>().m_target.m_worker, "w1");
}

// Guards against a queue that grows without bound; the request least likely to be in time gives way.
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
    arrive(1);
    const auto first = the<ForwardOrder>();
    arrive(2);
    EXPECT_TRUE(m_commands.empty());
    arrive(3);
    reply(first, TargetReply::Status::Answered);
    EXPECT_EQ(the<ForwardOrder>().m_requestId, "r2");
    passTimer();
    expectAnswer(3, Outcome::Refused, ErrorCode::DeadlineExceeded);
    EXPECT_EQ(m_router.queued(), 0U);
}

// Guards against a second execution when two callers, or one twice, use the same key.
TEST_F(RequestRouterTest, RequestsWithTheSameKeyShareOneExecution)
{
    setHosts({workerIn("w1", "zone-a")});
    arrive(1, "key");
    const auto order = the<ForwardOrder>();
    EXPECT_EQ(order.m_requestId, requestIdOfKey({{}, "seats", "caller", "key", false, {}, "body"}));
    arrive(2, "key");
    EXPECT_TRUE(m_commands.empty());
    arrive(3, "key", false, "other body");
    expectAnswer(3, Outcome::Refused, ErrorCode::IdempotencyConflict);
    reply(order, TargetReply::Status::Answered, "seat 4");
    EXPECT_EQ(m_commands.size(), 2U);
    arrive(4, "key");
    expectAnswer(4, Outcome::Answered, ErrorCode::Internal);
    EXPECT_EQ(the<AnswerCaller>().m_answer.m_body, "seat 4");
}

// Guards against a key that runs on two workers because the first is leaving and its answer was lost.
TEST_F(RequestRouterTest, KeyMovesToAnotherWorkerOnlyAfterATombstone)
{
    setHosts({workerIn("w1", "zone-a"), workerIn("w2", "zone-a")});
    arrive(1, "key");
    const auto order = the<ForwardOrder>();
    const auto first = order.m_target.m_worker;
    const auto second = first == "w1" ? "w2" : "w1";
    reply(order, TargetReply::Status::Leaving);
    const auto question = the<SettleOrder>();
    EXPECT_EQ(question.m_target.m_worker, first);
    settle(question, SettleReply::Status::NeverStarted);
    EXPECT_EQ(the<ForwardOrder>().m_target.m_worker, second);
    reply(the<ForwardOrder>(), TargetReply::Status::Answered);
    // An entry host that has never seen the key asks the leaving worker too.
    RequestRouter other(m_limits, "zone-a");
    other.handle(HostsChanged{{1, {workerIn(first, "zone-a", HostState::Leaving), workerIn(second, "zone-a")}}}, m_now, m_random, m_commands);
    m_commands.clear();
    ServiceRequest request{"r9", "seats", "caller", "key", false, m_now + 1s, "body"};
    other.handle(RequestArrived{9, std::move(request)}, m_now, m_random, m_commands);
    EXPECT_EQ(the<SettleOrder>().m_target.m_worker, first);
    EXPECT_EQ(the<SettleOrder>().m_requestId, order.m_requestId);
}

// Guards against a second send of a key whose first request ended unknown.
TEST_F(RequestRouterTest, UnresolvedKeyIsSettledWithItsWorkerFirst)
{
    setHosts({workerIn("w1", "zone-a")});
    arrive(1, "key");
    reply(the<ForwardOrder>(), TargetReply::Status::Lost);
    m_now += 10s;
    apply(TimePassed{});
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
    arrive(2, "key");
    settle(the<SettleOrder>(), SettleReply::Status::Answered, "seat 4");
    expectAnswer(2, Outcome::Answered, ErrorCode::Internal);
    EXPECT_EQ(the<AnswerCaller>().m_answer.m_body, "seat 4");
}

// Guards against requests that are interrupted by a planned stop, and against a drain that never ends.
TEST_F(RequestRouterTest, DrainRefusesNewRequestsAndFinishesTheOthers)
{
    setHosts({workerIn("w1", "zone-a")});
    arrive(1);
    const auto order = the<ForwardOrder>();
    apply(DrainRequested{});
    arrive(2);
    expectAnswer(2, Outcome::Refused, ErrorCode::Draining);
    EXPECT_FALSE(m_router.isDrained());
    reply(order, TargetReply::Status::Answered);
    expectAnswer(1, Outcome::Answered, ErrorCode::Internal);
    EXPECT_TRUE(m_router.isDrained());
}

// Guards against work for callers that have left while their request waited.
TEST_F(RequestRouterTest, QueuedRequestOfACallerWhoLeftIsDropped)
{
    setHosts({workerIn("w1", "zone-a")});
    arrive(1);
    const auto order = the<ForwardOrder>();
    arrive(2, "key");
    apply(CallerLeft{2});
    reply(order, TargetReply::Status::Answered);
    expectAnswer(1, Outcome::Answered, ErrorCode::Internal);
    EXPECT_EQ(m_commands.size(), 1U);
    arrive(3, "key");
    EXPECT_EQ(the<ForwardOrder>().m_target.m_worker, "w1");
}

// Guards against requests for services that the configuration does not define.
TEST_F(RequestRouterTest, UnknownServiceAndPastDeadlineAreRefused)
{
    setHosts({workerIn("w1", "zone-a")});
    Configuration configuration;
    configuration.m_services.push_back({"vans", {}, 0});
    apply(ConfigurationChanged{configuration});
    arrive(1);
    expectAnswer(1, Outcome::Refused, ErrorCode::UnknownService);
    apply(RequestArrived{2, {"r2", "vans", "caller", {}, false, m_now, {}}});
    expectAnswer(2, Outcome::Refused, ErrorCode::DeadlineExceeded);
}

// Guards against a question or a wait for keys whose home did not change, and for requests without a key.
TEST_F(KeyMapRouterTest, SettledHomeIsUsedAtOnceByItsIncarnation)
{
    arrive(1, "key");
    EXPECT_TRUE(m_commands.empty()) << "no map was read";
    arrive(2);
    EXPECT_EQ(the<ForwardOrder>().m_expectedIncarnation, "");
    reply(the<ForwardOrder>(), TargetReply::Status::Answered);
    readMap("start-1");
    EXPECT_EQ(m_commands.size(), 1U);
    EXPECT_EQ(the<ForwardOrder>().m_expectedIncarnation, "start-1");
}

// Guards against a send to the next process of a worker before the map names it, and after that without a question.
TEST_F(KeyMapRouterTest, ARestartedHomeWaitsForTheMapAndThenAsks)
{
    readMap("start-1");
    arrive(1, "key");
    reply(the<ForwardOrder>(), TargetReply::Status::OtherIncarnation, {}, "start-2");
    EXPECT_TRUE(m_commands.empty());
    readMap("start-2", {{KeyMapChange::Kind::WorkerRestarted, "w1", 2}});
    EXPECT_EQ(the<PeerQuery>().m_generation, 2U);
    replyOfPeer(PeerReply::Status::NeverSent);
    EXPECT_EQ(the<ForwardOrder>().m_expectedIncarnation, "start-2");
}

// Guards against a second run when another entry daemon has sent the key, and against an answer that is withheld.
TEST_F(KeyMapRouterTest, RepliesOfPeersDecideAboutAKeyWithoutASettledHome)
{
    readChangedMap();
    arrive(1, "answered");
    replyOfPeer(PeerReply::Status::Answered, "seat 4");
    expectAnswer(1, Outcome::Answered, ErrorCode::Internal);
    EXPECT_EQ(the<AnswerCaller>().m_answer.m_body, "seat 4");
    arrive(2, "failed");
    replyOfPeer(PeerReply::Status::Failed);
    expectAnswer(2, Outcome::Failed, ErrorCode::ExecutionFailed);
    arrive(3, "unknown");
    replyOfPeer(PeerReply::Status::Unknown);
    expectAnswer(3, Outcome::Unknown, ErrorCode::OutcomeUnknown);
    arrive(4, "conflict");
    replyOfPeer(PeerReply::Status::Conflict);
    expectAnswer(4, Outcome::Refused, ErrorCode::IdempotencyConflict);
    arrive(5, "running");
    replyOfPeer(PeerReply::Status::Running);
    passTimer();
    replyOfPeer(PeerReply::Status::NeverSent, {}, "boot-2");
    passTimer();
    replyOfPeer(PeerReply::Status::NeverSent);
    EXPECT_EQ(the<ForwardOrder>().m_target.m_worker, "w1");
}

// Guards against the word of the remaining daemons for one whose memory has ended.
TEST_F(KeyMapRouterTest, ALostEntryDaemonLeavesTheOutcomeUnknown)
{
    readChangedMap(KeyMapChange::Kind::EntryReplaced);
    arrive(1, "key");
    replyOfPeer(PeerReply::Status::NeverSent);
    expectAnswer(1, Outcome::Unknown, ErrorCode::OutcomeUnknown);
}

// Guards against a send by a map that is older than the one of the daemon that replied.
TEST_F(KeyMapRouterTest, AHigherGenerationOfAPeerIsReadFirst)
{
    readChangedMap();
    arrive(1, "key");
    replyOfPeer(PeerReply::Status::NeverSent, {}, "boot-1", 2);
    EXPECT_EQ(m_commands.size(), 1U);
    static_cast<void>(the<ReadKeyMap>());
    readMap("start-1");
    EXPECT_EQ(the<ForwardOrder>().m_target.m_worker, "w1");
}

// Guards against a false word to another daemon: what was sent, answered or left open, and what is sent afterwards.
TEST_F(KeyMapRouterTest, TellsPeersWhatItKnowsAndAdoptsTheirGeneration)
{
    readMap("start-1");
    arrive(1, "key");
    const auto order = the<ForwardOrder>();
    const auto statusOf = [&](std::string_view id, std::uint64_t generation) {
        apply(PeerAsked{7, std::string(id), generation});
        return the<AnswerPeer>().m_reply;
    };
    EXPECT_EQ(statusOf(order.m_requestId, 1).m_status, PeerReply::Status::Running);
    EXPECT_EQ(statusOf(order.m_requestId, 1).m_incarnation, "boot-1");
    reply(order, TargetReply::Status::Answered, "seat 4");
    EXPECT_EQ(statusOf(order.m_requestId, 1).m_status, PeerReply::Status::Answered);
    EXPECT_EQ(statusOf(order.m_requestId, 1).m_body, "seat 4");
    EXPECT_EQ(statusOf("k0-0", 2).m_status, PeerReply::Status::NeverSent);
    arrive(2, "later");
    EXPECT_TRUE(m_commands.empty()) << "sent by the map of generation 1 after generation 2 was adopted";
}

// Guards against a caller that waits past its deadline for a map, and against a `refused` that is not proved.
TEST_F(KeyMapRouterTest, AKeyEndsAtItsDeadlineWithoutAMap)
{
    arrive(1, "key");
    m_now += 1s;
    apply(TimePassed{});
    bool isAnswered = false;
    for (const auto &command : m_commands) {
        const auto *const given = std::get_if<AnswerCaller>(&command);
        isAnswered = isAnswered || (given != nullptr && given->m_answer.m_outcome == Outcome::Unknown);
    }
    EXPECT_TRUE(isAnswered);
}
