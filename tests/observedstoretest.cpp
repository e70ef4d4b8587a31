#include "burdockspur/fleet/refusals/observedstore.hpp"
#include "burdockspur/fleet/jobstore.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <optional>

using namespace Burdockspur;

namespace
{
using namespace std::chrono_literals;

/// @brief A store that keeps every call until the test answers it.
class HeldStore final : public ChangeStore
{
public:
    auto commit(const Transaction & /*transaction*/, CommitCallback callback) -> void override
    {
        m_commits.push_back(std::move(callback));
    }

    auto read(std::string_view /*key*/, RowsCallback callback) -> void override
    {
        m_reads.push_back(std::move(callback));
    }

    auto scan(std::string_view /*prefix*/, std::string_view /*after*/, std::uint32_t /*limit*/, RowsCallback callback) -> void override
    {
        m_reads.push_back(std::move(callback));
    }

    auto list(std::string_view /*table*/, std::string_view /*partition*/, std::string_view /*after*/, std::uint32_t /*limit*/, PageCallback callback)
        -> void override
    {
        m_pages.push_back(std::move(callback));
    }

    auto follow(std::string_view /*table*/, std::uint64_t /*version*/, Milliseconds /*wait*/, PageCallback callback) -> void override
    {
        m_pages.push_back(std::move(callback));
    }

    std::deque<CommitCallback> m_commits;
    std::deque<RowsCallback> m_reads;
    std::deque<PageCallback> m_pages;
};

class ObservedStoreTest : public testing::Test
{
protected:
    [[nodiscard]] auto viewOf(ObservedStore::DuringOutage duringOutage) -> std::unique_ptr<ObservedStore>
    {
        return std::make_unique<ObservedStore>(m_store,
                                               m_reachability,
                                               duringOutage,
                                               ObservedStore::Listener{.m_changed =
                                                                           [this] {
                                                                               ++m_changes;
                                                                           },
                                                                       .m_runLater =
                                                                           [this](Milliseconds pause, std::function<void()> call) {
                                                                               if (pause == 0ms) {
                                                                                   m_later.push_back(std::move(call));
                                                                               }
                                                                           }});
    }

    /// @brief Runs what was deferred to the event loop.
    auto run() -> void
    {
        while (!m_later.empty()) {
            const auto call = std::move(m_later.front());
            m_later.pop_front();
            call();
        }
    }

    /// @brief Lets the store be silent since a time.
    auto beSilentFor(Milliseconds length) -> void
    {
        const TimePoint since = Clock::now() - length;
        m_silentCall = m_reachability.begin(since, 0ms);
        static_cast<void>(m_reachability.begin(since, 0ms));
        ASSERT_TRUE(m_reachability.check(since + StoreReachability::overdueAfter, since + StoreReachability::overdueAfter));
    }

    HeldStore m_store;
    StoreReachability m_reachability;
    StoreReachability::CallNumber m_silentCall = 0;
    std::deque<std::function<void()>> m_later;
    int m_changes = 0;
};
}

// Guards against a submission that hangs in a silent store for three time-outs, one for the transaction and two for the reads after it,
// so that its caller leaves without an answer.
TEST_F(ObservedStoreTest, ASubmissionUnderWayEndsAsUnknownWhenTheSilenceIsKnown)
{
    const auto view = viewOf(ObservedStore::DuringOutage::Refuse);
    JobStore jobs(*view);
    TaskJob job;
    job.m_id = "5c0e7a21d94b36f8";
    std::optional<Result<JobPhase>> result;
    jobs.submit(job, [&result](Result<JobPhase> &&received) {
        result = std::move(received);
    });
    ASSERT_EQ(m_store.m_commits.size(), 1U);
    beSilentFor(2s);
    view->applyCondition();
    run();
    ASSERT_TRUE(result);
    ASSERT_FALSE(*result);
    EXPECT_EQ(result->error().m_code, ErrorCode::OutcomeUnknown) << "the store may have stored it";
    EXPECT_TRUE(m_store.m_reads.empty()) << "nothing is sent to a store that is known to be silent";
    m_store.m_commits.front()(CommitResult{.m_status = CommitResult::Status::Committed, .m_rows = {}, .m_error = {}});
    run();
    EXPECT_EQ(result->error().m_code, ErrorCode::OutcomeUnknown) << "the late answer must not be passed on";
    EXPECT_EQ(m_changes, 1) << "the late answer shows that the store answers";
}

// Guards against a refusal that says nothing was stored (503) for a submission that was sent, and against one that is sent although it
// is known to hang.
TEST_F(ObservedStoreTest, ASubmissionDuringAnOutageIsRefusedAsNotSent)
{
    const auto view = viewOf(ObservedStore::DuringOutage::Refuse);
    JobStore jobs(*view);
    beSilentFor(1s);
    TaskJob job;
    job.m_id = "5c0e7a21d94b36f8";
    std::optional<Result<JobPhase>> result;
    jobs.submit(job, [&result](Result<JobPhase> &&received) {
        result = std::move(received);
    });
    EXPECT_FALSE(result) << "callbacks run from the event loop";
    run();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->error().m_code, ErrorCode::Unavailable);
    EXPECT_TRUE(m_store.m_commits.empty());
}

// Guards against a stored submission that is answered 504 because a part of the store refuses other calls for a moment.
TEST_F(ObservedStoreTest, ASubmissionUnderWayIsNotEndedByRefusalsOfOtherCalls)
{
    const auto view = viewOf(ObservedStore::DuringOutage::Refuse);
    JobStore jobs(*view);
    TaskJob job;
    job.m_id = "5c0e7a21d94b36f8";
    std::optional<Result<JobPhase>> result;
    jobs.submit(job, [&result](Result<JobPhase> &&received) {
        result = std::move(received);
    });
    const TimePoint now = Clock::now();
    ASSERT_FALSE(m_reachability.end(m_reachability.begin(now, 0ms), StoreCallEnd::Refused, now + 1ms));
    ASSERT_TRUE(m_reachability.end(m_reachability.begin(now + 2ms, 0ms), StoreCallEnd::Refused, now + 3ms));
    view->applyCondition();
    run();
    EXPECT_FALSE(result);
    m_store.m_commits.front()(CommitResult{.m_status = CommitResult::Status::Committed, .m_rows = {}, .m_error = {}});
    ASSERT_TRUE(result);
    EXPECT_TRUE(*result);
}

// Guards against a host that stays without configuration, jobs or ownership for a whole time-out after the return of a silent store.
TEST_F(ObservedStoreTest, CallsFromTheSilenceEndWhenTheStoreAnswersAgain)
{
    const auto view = viewOf(ObservedStore::DuringOutage::Call);
    std::optional<Result<RowPage>> page;
    view->follow("table", 7, 800ms, [&page](Result<RowPage> &&received) {
        page = std::move(received);
    });
    beSilentFor(2s);
    view->applyCondition();
    run();
    EXPECT_FALSE(page) << "a call that is still open may be the first one answered";
    EXPECT_TRUE(m_reachability.end(m_reachability.begin(Clock::now() + 1ms, 0ms), StoreCallEnd::Answered, Clock::now() + 5ms));
    view->applyCondition();
    run();
    ASSERT_TRUE(page);
    EXPECT_EQ(page->error().m_code, ErrorCode::Unavailable) << "not a time-out, which would count as an answer too large for the link";
}

// Guards against time-outs of an outage that make the owner list all submissions again, as if the feed were too large for the link.
TEST_F(ObservedStoreTest, ATimeoutDuringSilenceIsNotTheCallsOwn)
{
    const auto view = viewOf(ObservedStore::DuringOutage::Call);
    std::vector<ErrorCode> codes;
    const auto record = [&codes](Result<RowPage> &&page) {
        codes.push_back(page.error().m_code);
    };
    view->follow("table", 7, 0ms, record);
    m_store.m_pages.front()(failure(ErrorCode::Timeout, "no response in time"));
    beSilentFor(2s);
    view->follow("table", 7, 0ms, record);
    m_store.m_pages.back()(failure(ErrorCode::Timeout, "no response in time"));
    EXPECT_EQ(codes, (std::vector{ErrorCode::Timeout, ErrorCode::Unavailable}));
}
