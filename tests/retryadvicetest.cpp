#include "burdockspur/fleet/refusals/retryadvice.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace Burdockspur;

namespace
{
using namespace std::chrono_literals;

const TimePoint start{std::chrono::hours(1)};

[[nodiscard]] auto outage(StoreCondition condition, Duration lastOutage = 0s) -> StoreReport
{
    return {.m_condition = condition, .m_since = start, .m_lastOutage = lastOutage, .m_silentUntil = {}};
}

/// @brief Callers that come 20 a second to one host during an outage and follow the advice for four further tries.
struct Crowd {
    std::size_t m_callers = 0;
    std::size_t m_served = 0;
    std::vector<Duration> m_returns; ///< times from the end of the outage to the first try after it
};

[[nodiscard]] auto playCrowd(Duration outageLength, Duration lastOutage, int fixedSeconds = 0) -> Crowd
{
    constexpr int tries = 5;
    RetryAdvice advice;
    advice.observe(outage(StoreCondition::Silent, lastOutage));
    std::multimap<TimePoint, std::pair<std::string, int>> requests;
    Crowd crowd;
    for (TimePoint at = start; at < start + outageLength; at += 50ms) {
        requests.emplace(at, std::pair("job-" + std::to_string(crowd.m_callers++), 1));
    }
    while (!requests.empty()) {
        const auto [at, request] = *requests.begin();
        requests.erase(requests.begin());
        if (at >= start + outageLength) {
            ++crowd.m_served;
            crowd.m_returns.push_back(at - (start + outageLength));
        } else if (request.second < tries) {
            const int seconds = fixedSeconds > 0 ? fixedSeconds : advice.adviseRefused(request.first, at);
            requests.emplace(at + std::chrono::seconds(seconds), std::pair(request.first, request.second + 1));
        }
    }
    return crowd;
}
}

// Guards against callers that spend all their tries inside an outage of the store because each refusal says one second.
TEST(RetryAdviceTest, CallersKeepATryForTheEndOfALongOutage)
{
    const auto fixed = playCrowd(12s, 0s, 1);
    EXPECT_LT(fixed.m_served, fixed.m_callers / 2) << "what the advice is compared with";
    const auto crowd = playCrowd(12s, 0s);
    EXPECT_GE(crowd.m_served * 10, crowd.m_callers * 9);
    EXPECT_LE(*std::ranges::max_element(crowd.m_returns), 12s) << "nobody stays away longer than the store did";
}

// Guards against an advice that keeps callers away from a store that is back: their objectives are a few seconds.
TEST(RetryAdviceTest, CallersOfAShortOutageReturnSoon)
{
    const auto crowd = playCrowd(2s, 0s);
    EXPECT_EQ(crowd.m_served, crowd.m_callers);
    EXPECT_LE(*std::ranges::max_element(crowd.m_returns), 3s);
}

// Guards against callers that learn nothing from the outage before: with its length known, one pause leads past the end.
TEST(RetryAdviceTest, ThePauseLeadsPastAnOutageOfKnownLength)
{
    RetryAdvice advice;
    advice.observe(outage(StoreCondition::Refusing, 5s));
    for (int i = 0; i < 20; ++i) {
        const auto seconds = advice.adviseRefused("job-" + std::to_string(i), start + 1s);
        EXPECT_GE(seconds, 4);
        EXPECT_LE(seconds, 6);
    }
    EXPECT_EQ(playCrowd(5s, 5s).m_served, 100U);
}

// Guards against a crowd that returns in the same second, and against an advice that changes for the same job by chance.
TEST(RetryAdviceTest, ACrowdIsSpreadOverTheSecondsAfterTheEnd)
{
    RetryAdvice advice;
    advice.observe(outage(StoreCondition::Silent, 4s));
    std::map<int, int> bySecond;
    constexpr int callers = 300;
    for (int i = 0; i < callers; ++i) {
        ++bySecond[advice.adviseRefused("job-" + std::to_string(i), start + 1s)];
    }
    EXPECT_EQ(advice.refused(), 300U);
    for (const auto &[seconds, count] : bySecond) {
        EXPECT_LE(count, callers / 2) << seconds;
    }
    EXPECT_EQ(advice.adviseRefused("job-7", start + 1s), advice.adviseRefused("job-7", start + 1s));
}

// Guards against long pauses for callers that are refused while the store answers, and against an outage without end that has no bound.
TEST(RetryAdviceTest, ThePauseIsOneSecondInCalmAndBoundedInALongOutage)
{
    RetryAdvice advice;
    EXPECT_EQ(advice.adviseRefused("job", start), 1);
    advice.observe(outage(StoreCondition::Silent));
    EXPECT_EQ(advice.adviseRefused("job", start + 1h), RetryAdvice::maxSeconds);
    auto report = outage(StoreCondition::Answering, 1h);
    report.m_since = start + 1h;
    advice.observe(report);
    EXPECT_EQ(advice.adviseRefused("job", start + 1h + 1s), 1);
}
