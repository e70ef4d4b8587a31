#include "burdockspur/fleet/tablefollower.hpp"
#include "burdockspur/operations/log.hpp"

#include <gtest/gtest.h>

#include <deque>

using namespace Burdockspur;

namespace
{
/// @brief A store that answers a call only when the test calls answer().
class ManualStore : public ChangeStore
{
public:
    auto commit(const Transaction & /*transaction*/, CommitCallback /*callback*/) -> void override
    {
    }

    auto read(std::string_view /*key*/, RowsCallback /*callback*/) -> void override
    {
    }

    auto scan(std::string_view /*prefix*/, std::string_view /*after*/, std::uint32_t /*limit*/, RowsCallback /*callback*/) -> void override
    {
    }

    auto list(std::string_view /*table*/, std::string_view /*partition*/, std::string_view after, std::uint32_t limit, PageCallback callback) -> void override
    {
        m_listLimit = limit;
        m_listedAfter = after;
        m_calls.push_back(std::move(callback));
    }

    auto follow(std::string_view /*table*/, std::uint64_t version, Milliseconds wait, PageCallback callback) -> void override
    {
        m_followedFrom = version;
        m_followWait = wait;
        m_calls.push_back(std::move(callback));
    }

    auto answer(Result<RowPage> &&page) -> void
    {
        ASSERT_FALSE(m_calls.empty());
        const auto call = std::move(m_calls.front());
        m_calls.pop_front();
        call(std::move(page));
    }

    std::deque<PageCallback> m_calls;
    std::uint64_t m_followedFrom = 0;
    Milliseconds m_followWait{0}; ///< of the last call for changes
    std::uint32_t m_listLimit = 0; ///< of the last list
    std::string m_listedAfter; ///< name after which the last list begins
};

[[nodiscard]] auto pageAt(std::uint64_t version) -> RowPage
{
    RowPage page;
    page.m_version = version;
    return page;
}
}

// Guards against an outage whose end is not logged, and against a log line for each failed call (incident inc-746c, 2026-12-04).
TEST(TableFollowerTest, LogsAnOutageOnceAndItsEndOnce)
{
    ASSERT_TRUE(configureLogging("test", "h1", "info"));
    ManualStore store;
    std::deque<std::function<void()>> later;
    TableFollower follower(store,
                           "table",
                           {},
                           {.m_listed = [](const RowPage &, TimePoint) {},
                            .m_changed = [](const RowPage &, TimePoint) {},
                            .m_lost = nullptr,
                            .m_runLater =
                                [&later](Milliseconds, std::function<void()> call) {
                                    later.push_back(std::move(call));
                                }});
    testing::internal::CaptureStderr();
    follower.start();
    store.answer(pageAt(7));
    EXPECT_EQ(store.m_followedFrom, 7U);
    for (int i = 0; i < 3; ++i) {
        store.answer(failure(ErrorCode::Unavailable, "reset"));
        ASSERT_FALSE(later.empty());
        later.front()();
        later.pop_front();
    }
    store.answer(pageAt(9));
    store.answer(pageAt(9));
    const auto lines = testing::internal::GetCapturedStderr();
    const auto count = [&lines](std::string_view event) {
        std::size_t found = 0;
        for (auto at = lines.find(event); at != std::string::npos; at = lines.find(event, at + 1)) {
            ++found;
        }
        return found;
    };
    EXPECT_EQ(count("event=table_unreachable table=table step=follow version=7 reason=reset"), 1U) << lines;
    EXPECT_EQ(count("event=table_reachable table=table away_ms="), 1U) << lines;
    EXPECT_EQ(store.m_followedFrom, 9U);
}

// Guards against a follower that never recovers: the answer with all changes grows until a slow link cannot transfer it within the
// time-out of a call (the cause of the incident of 2026-12-05, there in another read).
TEST(TableFollowerTest, ListsInPagesAfterTimeoutsOfTheFeed)
{
    ManualStore store;
    std::deque<std::function<void()>> later;
    int listings = 0;
    TableFollower follower(store,
                           "table",
                           {},
                           {.m_listed =
                                [&listings](const RowPage &, TimePoint) {
                                    ++listings;
                                },
                            .m_changed = [](const RowPage &, TimePoint) {},
                            .m_lost = nullptr,
                            .m_runLater =
                                [&later](Milliseconds, std::function<void()> call) {
                                    later.push_back(std::move(call));
                                }});
    follower.startAfter(7);
    for (int i = 0; i < 2; ++i) {
        store.answer(failure(ErrorCode::Timeout, "no response in time"));
        ASSERT_FALSE(later.empty());
        later.front()();
        later.pop_front();
    }
    EXPECT_GT(store.m_listLimit, 0U) << "a list without a page limit would time out as well";
    store.answer(pageAt(30));
    EXPECT_EQ(listings, 1);
    EXPECT_EQ(store.m_followedFrom, 30U);
}

// Guards against a list that restarts at its first page after each lost answer. While a third of the answers is lost, only one in five
// attempts would read all of four pages, and a new owner has no workers until then (review of the incident of 2026-12-05).
TEST(TableFollowerTest, RepeatsOnlyTheFailedPageOfAList)
{
    ManualStore store;
    std::deque<std::function<void()>> later;
    std::size_t rows = 0;
    TableFollower follower(store,
                           "table",
                           {},
                           {.m_listed =
                                [&rows](const RowPage &page, TimePoint) {
                                    rows = page.m_rows.size();
                                },
                            .m_changed = [](const RowPage &, TimePoint) {},
                            .m_lost = nullptr,
                            .m_runLater =
                                [&later](Milliseconds, std::function<void()> call) {
                                    later.push_back(std::move(call));
                                }});
    follower.start();
    auto first = pageAt(7);
    first.m_rows.push_back({TableRow{"table//a", 1, {}}, false});
    first.m_hasMore = true;
    store.answer(std::move(first));
    EXPECT_EQ(store.m_listedAfter, "a");
    store.answer(failure(ErrorCode::Timeout, "no response in time"));
    ASSERT_FALSE(later.empty());
    later.front()();
    EXPECT_EQ(store.m_listedAfter, "a");
    auto second = pageAt(8);
    second.m_rows.push_back({TableRow{"table//b", 1, {}}, false});
    store.answer(std::move(second));
    EXPECT_EQ(rows, 2U);
    EXPECT_EQ(store.m_followedFrom, 7U) << "changes after the first page may be missing from it";
}

// Guards against a host that refuses callers for 0.8 s after the return of the store, because its first call waits for a change of the
// configuration before it confirms it.
TEST(TableFollowerTest, TheFirstCallAfterAnOutageDoesNotWaitForChanges)
{
    ManualStore store;
    std::deque<std::function<void()>> later;
    int confirmations = 0;
    TableFollower follower(store,
                           "table",
                           {.m_wait = Milliseconds{800}},
                           {.m_listed = [](const RowPage &, TimePoint) {},
                            .m_changed =
                                [&confirmations](const RowPage &, TimePoint confirmedAt) {
                                    EXPECT_LE(confirmedAt, Clock::now());
                                    ++confirmations;
                                },
                            .m_lost = nullptr,
                            .m_runLater =
                                [&later](Milliseconds, std::function<void()> call) {
                                    later.push_back(std::move(call));
                                }});
    follower.startAfter(7);
    EXPECT_EQ(store.m_followWait, Milliseconds{800});
    store.answer(failure(ErrorCode::Unavailable, "reset"));
    later.front()();
    EXPECT_EQ(store.m_followWait, Milliseconds{0});
    store.answer(pageAt(7));
    EXPECT_EQ(confirmations, 1);
    EXPECT_EQ(store.m_followWait, Milliseconds{800});
}

// Guards against a follower that waits for the time-out of its call in a silent store although a later call is answered, and against
// changes that are taken twice when both are answered.
TEST(TableFollowerTest, AProbeIsAnsweredInPlaceOfACallThatHangs)
{
    ManualStore store;
    std::deque<std::function<void()>> later;
    std::vector<std::uint64_t> versions;
    TableFollower follower(store,
                           "table",
                           {.m_wait = Milliseconds{800}},
                           {.m_listed = [](const RowPage &, TimePoint) {},
                            .m_changed =
                                [&versions](const RowPage &page, TimePoint) {
                                    versions.push_back(page.m_version);
                                },
                            .m_lost = nullptr,
                            .m_runLater =
                                [&later](Milliseconds, std::function<void()> call) {
                                    later.push_back(std::move(call));
                                }});
    follower.startAfter(7);
    follower.probe();
    EXPECT_EQ(store.m_followWait, Milliseconds{0});
    follower.probe();
    ASSERT_EQ(store.m_calls.size(), 3U);
    store.answer(failure(ErrorCode::Timeout, "no response in time"));
    EXPECT_TRUE(later.empty()) << "later calls are under way";
    store.answer(pageAt(9));
    EXPECT_EQ(store.m_followedFrom, 9U);
    store.answer(pageAt(8));
    EXPECT_EQ(versions, (std::vector<std::uint64_t>{9})) << "changes before version 9 were taken with the first answer";
    EXPECT_EQ(store.m_calls.size(), 1U) << "one call at a time once the store answers";
}

// Guards against a follower that falls behind: at 3,000 workers a table changes 2,700 times a second, an answer has at most 500 changes, and
// with a pause after each of them a worker's notice that it leaves was read 19 s late (DRAIN in the sweep at 300 hosts).
TEST(TableFollowerTest, FollowsAtOnceAfterAnAnswerThatIsNotWhole)
{
    ManualStore store;
    std::deque<std::function<void()>> later;
    std::size_t rows = 0;
    TimePoint confirmed;
    TableFollower follower(store,
                           "table",
                           {.m_pause = Milliseconds{400}},
                           {.m_listed = [](const RowPage &, TimePoint) {},
                            .m_changed =
                                [&](const RowPage &page, TimePoint confirmedAt) {
                                    rows += page.m_rows.size();
                                    confirmed = confirmedAt;
                                },
                            .m_lost = nullptr,
                            .m_runLater =
                                [&later](Milliseconds, std::function<void()> call) {
                                    later.push_back(std::move(call));
                                }});
    follower.startAfter(7);
    for (std::uint64_t version = 8; version < 11; ++version) {
        auto cut = pageAt(version);
        cut.m_rows.push_back({TableRow{"table//a", version, {}}, false});
        cut.m_hasMore = true;
        store.answer(std::move(cut));
        EXPECT_TRUE(later.empty()) << "the follower pauses although there are more changes";
        ASSERT_EQ(store.m_calls.size(), 1U);
        EXPECT_EQ(store.m_followedFrom, version);
        EXPECT_EQ(confirmed, TimePoint{}) << "later changes exist";
    }
    store.answer(pageAt(11));
    EXPECT_GT(confirmed, TimePoint{});
    EXPECT_EQ(rows, 3U);
    EXPECT_TRUE(store.m_calls.empty());
    EXPECT_EQ(later.size(), 1U) << "the last answer is whole, so the follower pauses";
}
