#include "burdockspur/host/jobrouter.hpp"
#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/core/randomsource.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;
using namespace std::chrono_literals;

namespace
{
[[nodiscard]] auto jobNamed(std::string_view id) -> Job
{
    Job job;
    job.m_id = id;
    return job;
}

class JobRouterTest : public testing::Test
{
protected:
    JobRouterTest()
    {
        Configuration configuration;
        configuration.m_shards = 2;
        apply(ConfigurationChanged{configuration});
    }

    auto apply(JobEvent &&event) -> void
    {
        m_orders.clear();
        m_router.handle(std::move(event), m_now, m_random, m_orders);
    }

    auto reportOwnership(std::string_view host, std::initializer_list<ShardId> shards, Epoch epoch) -> void
    {
        apply(LinkStateChanged{std::string(host), true});
        OwnershipReport report;
        for (const ShardId shard : shards) {
            report.m_shards.push_back({shard, epoch, std::string(host), 1});
        }
        apply(PeerMessageReceived{std::string(host), {0, 0, report}});
    }

    auto expireTimer() -> void
    {
        m_now = m_router.nextDeadline();
        apply(TimerExpired{});
    }

    auto reply(std::string_view host, std::uint64_t correlation, PeerMessage::Body &&body) -> void
    {
        apply(PeerMessageReceived{std::string(host), {0, correlation, std::move(body)}});
    }

    template<typename Order>
    [[nodiscard]] auto first() const -> Order
    {
        EXPECT_FALSE(m_orders.empty());
        const auto *const order = m_orders.empty() ? nullptr : std::get_if<Order>(&m_orders.front());
        EXPECT_NE(order, nullptr);
        return order == nullptr ? Order{} : *order;
    }

    JobRouter m_router;
    RandomSource m_random{3};
    TimePoint m_now{1h};
    std::vector<JobOrder> m_orders;
    std::string m_job = jobIdOf("caller", "key");
    ShardId m_shard = shardOf(m_job, 2);
};
}

// Guards against commands that are sent to the former owner after its late report arrives behind a takeover.
TEST_F(JobRouterTest, HighestEpochDeterminesTheOwner)
{
    reportOwnership("e2", {m_shard}, 5);
    reportOwnership("e1", {m_shard}, 4);
    apply(JobCommand{1, m_now + 5s, QueryJob{m_job}});
    EXPECT_EQ(first<SendToPeer>().m_host, "e2");
}

// Guards against a command that is refused at once, or never answered, while the shard has no owner.
TEST_F(JobRouterTest, CommandWaitsForAnOwnerUntilItsDeadline)
{
    apply(JobCommand{1, m_now + 5s, CancelJob{m_job}});
    EXPECT_TRUE(m_orders.empty());
    reportOwnership("e1", {m_shard}, 1);
    EXPECT_EQ(first<SendToPeer>().m_host, "e1");
    apply(JobCommand{2, m_now + 5s, CancelJob{"other"}});
    const TimePoint deadline = m_now + 5s;
    while (m_now < deadline && m_router.nextDeadline() < deadline) {
        expireTimer();
    }
    expireTimer();
    EXPECT_EQ(m_now, deadline);
    ASSERT_FALSE(m_orders.empty());
}

// Guards against a lost command when its link closes, and against two answers to it.
TEST_F(JobRouterTest, ClosedLinkRepeatsTheCommandAndLateRepliesAreIgnored)
{
    reportOwnership("e1", {m_shard}, 1);
    apply(JobCommand{1, m_now + 5s, SubmitJob{m_job, {}}});
    const auto sent = first<SendToPeer>();
    apply(LinkStateChanged{"e1", false});
    reportOwnership("e2", {m_shard}, 2);
    const auto again = first<SendToPeer>();
    EXPECT_EQ(again.m_host, "e2");
    reply("e1", sent.m_message.m_correlation, JobReply{});
    EXPECT_TRUE(m_orders.empty());
    reply("e2", again.m_message.m_correlation, JobReply{jobNamed(m_job)});
    EXPECT_EQ(first<AnswerJob>().m_ticket, 1U);
    reply("e2", again.m_message.m_correlation, JobReply{});
    EXPECT_TRUE(m_orders.empty());
    EXPECT_EQ(m_router.nextDeadline(), TimePoint::max());
}

// Guards against "refused" for a submission that a scheduler may have accepted.
TEST_F(JobRouterTest, UnansweredSubmissionMayHaveTakenEffect)
{
    reportOwnership("e1", {m_shard}, 1);
    apply(JobCommand{1, m_now + 5s, SubmitJob{m_job, {}}});
    expireTimer();
    const auto answer = first<AnswerJob>();
    EXPECT_TRUE(answer.m_mayHaveTakenEffect);
    ASSERT_FALSE(answer.m_result);
    EXPECT_EQ(answer.m_result.error().m_code, ErrorCode::Unavailable);
}

// Guards against "unknown" for a submission that its owner rejected each time as overloaded.
TEST_F(JobRouterTest, OverloadedOwnerLeavesTheSubmissionRefused)
{
    reportOwnership("e1", {m_shard}, 1);
    apply(JobCommand{1, m_now + 5s, SubmitJob{m_job, {}}});
    reply("e1", first<SendToPeer>().m_message.m_correlation, ErrorReply{{.m_code = ErrorCode::Overloaded, .m_message = "full"}});
    EXPECT_TRUE(m_orders.empty());
    for (expireTimer(); std::holds_alternative<SendToPeer>(m_orders.front()); expireTimer()) {
        reply("e1", first<SendToPeer>().m_message.m_correlation, ErrorReply{{.m_code = ErrorCode::Overloaded, .m_message = "full"}});
    }
    const auto answer = first<AnswerJob>();
    EXPECT_FALSE(answer.m_mayHaveTakenEffect);
    EXPECT_FALSE(answer.m_result);
}

// Guards against a list that looks complete although a shard's owner did not contribute.
TEST_F(JobRouterTest, ListNeedsEveryShardAndKeepsIdOrderAndLimit)
{
    reportOwnership("e1", {0}, 1);
    apply(JobCommand{1, m_now + 5s, ListJobs{{}, {}, 3}});
    EXPECT_TRUE(m_orders.empty());
    reportOwnership("e2", {1}, 1);
    ASSERT_EQ(m_orders.size(), 2U);
    const auto toFirst = std::get<SendToPeer>(m_orders[0]);
    const auto toSecond = std::get<SendToPeer>(m_orders[1]);
    reply(toFirst.m_host, toFirst.m_message.m_correlation, JobListReply{{{jobNamed("j1"), jobNamed("j4")}}});
    EXPECT_TRUE(m_orders.empty());
    reply(toSecond.m_host, toSecond.m_message.m_correlation, JobListReply{{{jobNamed("j2"), jobNamed("j3")}}});
    const auto answer = first<AnswerJobList>();
    ASSERT_TRUE(answer.m_result);
    ASSERT_EQ(answer.m_result->m_jobs.size(), 3U);
    EXPECT_EQ(answer.m_result->m_jobs.front().m_id, "j1");
    EXPECT_EQ(answer.m_result->m_jobs.back().m_id, "j3");
    EXPECT_TRUE(answer.m_result->m_hasMore);
}

// Guards against paging that skips jobs which a scheduler omitted because its reply would have been too large.
TEST_F(JobRouterTest, ListEndsAtTheLastIdOfATruncatedReply)
{
    reportOwnership("e1", {0}, 1);
    reportOwnership("e2", {1}, 1);
    apply(JobCommand{1, m_now + 5s, ListJobs{{}, {}, 10}});
    ASSERT_EQ(m_orders.size(), 2U);
    const auto toFirst = std::get<SendToPeer>(m_orders[0]);
    const auto toSecond = std::get<SendToPeer>(m_orders[1]);
    reply(toFirst.m_host, toFirst.m_message.m_correlation, JobListReply{{{jobNamed("j1"), jobNamed("j3")}, true}});
    reply(toSecond.m_host, toSecond.m_message.m_correlation, JobListReply{{{jobNamed("j2"), jobNamed("j5")}, false}});
    const auto answer = first<AnswerJobList>();
    ASSERT_TRUE(answer.m_result);
    ASSERT_EQ(answer.m_result->m_jobs.size(), 3U);
    EXPECT_EQ(answer.m_result->m_jobs.back().m_id, "j3");
    EXPECT_TRUE(answer.m_result->m_hasMore);
}
