#include "burdockspur/fleet/refusals/storereachability.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
using namespace std::chrono_literals;

const TimePoint start{std::chrono::hours(1)};
constexpr Milliseconds noWait{0};
}

// Guards against submissions that hang in a silent store until their time-out, because only the time-out of a call shows the silence.
TEST(StoreReachabilityTest, TwoOverdueCallsShowASilentStore)
{
    StoreReachability store;
    EXPECT_FALSE(store.end(store.begin(start, noWait), StoreCallEnd::Answered, start + 4ms));
    const auto first = store.begin(start + 100ms, noWait);
    EXPECT_FALSE(store.check(start + 500ms, start + 500ms)) << "one answer may be lost";
    const auto second = store.begin(start + 500ms, noWait);
    EXPECT_FALSE(store.check(start + 899ms, start + 899ms));
    EXPECT_TRUE(store.check(start + 900ms, start + 900ms));
    EXPECT_EQ(store.condition(), StoreCondition::Silent);
    EXPECT_EQ(store.report().m_since, start + 100ms);
    EXPECT_FALSE(store.end(first, StoreCallEnd::Unanswered, start + 1'300ms));
    EXPECT_TRUE(store.end(second, StoreCallEnd::Answered, start + 1'400ms));
    EXPECT_EQ(store.condition(), StoreCondition::Answering);
    EXPECT_EQ(store.report().m_lastOutage, 1'300ms);
    EXPECT_EQ(store.report().m_silentUntil, start + 500ms) << "what was sent before the answered call is not answered any more";
    EXPECT_FALSE(store.check(start + 3s, start + 3s)) << "a call from the time of the silence shows no second one";
}

// Guards against an outage that is seen while a slow store, or one that loses answers, serves.
TEST(StoreReachabilityTest, AStoreThatAnswersOtherCallsIsNotSilent)
{
    StoreReachability store;
    for (int i = 0; i < 4; ++i) {
        static_cast<void>(store.begin(start, noWait));
    }
    EXPECT_FALSE(store.end(store.begin(start + 100ms, noWait), StoreCallEnd::Answered, start + 350ms));
    EXPECT_FALSE(store.check(start + 700ms, start + 700ms));
    EXPECT_FALSE(store.end(store.begin(start + 400ms, noWait), StoreCallEnd::Answered, start + 710ms));
    EXPECT_FALSE(store.check(start + 1'100ms, start + 1'100ms));
    EXPECT_EQ(store.condition(), StoreCondition::Answering);
}

// Guards against a call that waits for a change, as it should, and counts as a sign of silence.
TEST(StoreReachabilityTest, ACallThatWaitsForChangesIsNotOverdueBeforeItsWaitIsOver)
{
    StoreReachability store;
    static_cast<void>(store.begin(start, 800ms));
    static_cast<void>(store.begin(start, 1'000ms));
    EXPECT_FALSE(store.check(start + 1'200ms, start + 1'200ms));
    EXPECT_TRUE(store.check(start + 1'400ms, start + 1'400ms));
}

// Guards against a host whose machine was suspended, and that takes its own pause for a silence of the store.
TEST(StoreReachabilityTest, APauseOfTheHostIsNoSilence)
{
    StoreReachability store;
    static_cast<void>(store.begin(start, noWait));
    static_cast<void>(store.begin(start + 10ms, noWait));
    EXPECT_FALSE(store.check(start + 410ms, start + 4s)) << "the answers may lie in the sockets";
    EXPECT_FALSE(store.check(start + 4s, start + 4s + 100ms));
    EXPECT_TRUE(store.check(start + 4s + 400ms, start + 4s + 400ms));
}

// Guards against an outage that a single closed connection, or the restart of the store, brings about.
TEST(StoreReachabilityTest, OnlyARefusalOfALaterCallShowsThatTheStoreRefuses)
{
    StoreReachability store;
    const auto first = store.begin(start, noWait);
    const auto second = store.begin(start, noWait);
    EXPECT_FALSE(store.end(first, StoreCallEnd::Refused, start + 4ms));
    EXPECT_FALSE(store.end(second, StoreCallEnd::Refused, start + 4ms));
    EXPECT_TRUE(store.end(store.begin(start + 200ms, noWait), StoreCallEnd::Refused, start + 204ms));
    EXPECT_EQ(store.condition(), StoreCondition::Refusing);
    EXPECT_EQ(store.report().m_since, start);
    EXPECT_TRUE(store.end(store.begin(start + 4s, noWait), StoreCallEnd::Answered, start + 4s + 4ms));
    EXPECT_EQ(store.report().m_lastOutage, 4s + 4ms);
    EXPECT_FALSE(store.end(store.begin(start + 5s, noWait), StoreCallEnd::Refused, start + 5s + 4ms));
    EXPECT_EQ(store.condition(), StoreCondition::Answering) << "refusals before the last answer do not count";
}

// Guards against an outage that is counted twice when its kind changes midway.
TEST(StoreReachabilityTest, ASilenceThatTurnsIntoRefusalsIsOneOutage)
{
    StoreReachability store;
    static_cast<void>(store.begin(start, noWait));
    static_cast<void>(store.begin(start, noWait));
    ASSERT_TRUE(store.check(start + 400ms, start + 400ms));
    EXPECT_FALSE(store.end(store.begin(start + 1s, noWait), StoreCallEnd::Refused, start + 1s));
    EXPECT_TRUE(store.end(store.begin(start + 2s, noWait), StoreCallEnd::Refused, start + 2s));
    EXPECT_EQ(store.report().m_since, start);
}

// Guards against conditions that follow from calls which never reached the store.
TEST(StoreReachabilityTest, CallsThatWereNotSentSayNothing)
{
    StoreReachability store;
    for (int i = 0; i < 5; ++i) {
        EXPECT_FALSE(store.end(store.begin(start, noWait), StoreCallEnd::NotSent, start + 10ms));
    }
    EXPECT_FALSE(store.check(start + 2s, start + 2s));
    EXPECT_EQ(store.condition(), StoreCondition::Answering);
}
