#include "burdockspur/fleet/evacuation/zonerequestreader.hpp"
#include "burdockspur/fleet/tablefollower.hpp"
#include "platform/messagecodec.hpp"

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

    auto list(std::string_view /*table*/, std::string_view /*partition*/, std::string_view /*after*/, std::uint32_t /*limit*/, PageCallback callback)
        -> void override
    {
        m_calls.push_back(std::move(callback));
    }

    auto follow(std::string_view /*table*/, std::uint64_t /*version*/, Milliseconds /*wait*/, PageCallback callback) -> void override
    {
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
};

[[nodiscard]] auto page(std::uint64_t version, std::initializer_list<std::string_view> keys, bool areDeleted = false) -> RowPage
{
    RowPage made;
    made.m_version = version;
    for (const auto key : keys) {
        made.m_rows.push_back({{std::string(key), version, "{}"}, areDeleted});
    }
    return made;
}

/// @brief The operator's table as a host follows it.
class FollowedTable
{
public:
    FollowedTable()
    {
        const auto take = [this](bool isList) {
            return [this, isList](const RowPage &read, TimePoint confirmedAt) {
                m_hasChanged = isList ? m_reader.takeList(read, confirmedAt, Clock::now()) : m_reader.takeChanges(read, confirmedAt, Clock::now());
            };
        };
        m_follower = std::make_unique<TableFollower>(
            m_store,
            m_codec.configurationTable(),
            TableFollowerOptions{},
            TableFollower::Listener{
                .m_listed = take(true), .m_changed = take(false), .m_lost = nullptr, .m_runLater = [this](Milliseconds, std::function<void()> call) {
                    m_later.push_back(std::move(call));
                }});
        m_follower->start();
    }

    auto runLater() -> void
    {
        ASSERT_FALSE(m_later.empty());
        const auto call = std::move(m_later.front());
        m_later.pop_front();
        call();
    }

    [[nodiscard]] auto isClosed(std::string_view zone) const -> bool
    {
        return m_reader.zones().isClosed(zone);
    }

    ManualStore m_store;
    std::deque<std::function<void()>> m_later;
    Platform::MessageCodec m_codec;
    ZoneRequestReader m_reader{m_codec};
    bool m_hasChanged = false;
    std::unique_ptr<TableFollower> m_follower;
};
}

// Guards against a request that is not recognised, and against other rows of the operator that close a zone (EVAC).
TEST(PlatformZoneRequestsTest, OnlyTheKeyOfARequestNamesAZone)
{
    const Platform::MessageCodec codec;
    EXPECT_EQ(codec.closedZoneOf("op//evacuate/tw-central-a"), "tw-central-a");
    EXPECT_EQ(codec.closedZoneOf("op//evacuate/odd/zone"), "odd/zone");
    for (const std::string_view key : {"op//config", "op//evacuate/", "op//evacuate", "op//wave/1", "op/evacuate/a", "servers//evacuate/a", ""}) {
        EXPECT_FALSE(codec.closedZoneOf(key)) << key;
    }
}

// Guards against a request that a host misses in the first list or in the feed, and against one that outlives its row (EVAC).
TEST(PlatformZoneRequestsTest, ARowClosesAZoneUntilItIsRemoved)
{
    FollowedTable table;
    table.m_store.answer(page(3, {"op//config", "op//evacuate/a"}));
    EXPECT_TRUE(table.isClosed("a"));
    table.m_store.answer(page(5, {"op//evacuate/b"}));
    EXPECT_TRUE(table.isClosed("a") && table.isClosed("b"));
    table.m_store.answer(page(6, {"op//config"}));
    EXPECT_FALSE(table.m_hasChanged);
    table.m_store.answer(page(8, {"op//evacuate/a"}, true));
    EXPECT_FALSE(table.isClosed("a"));
    EXPECT_TRUE(table.isClosed("b"));
}

// Guards against a value that is no JSON and makes the host ignore the request.
TEST(PlatformZoneRequestsTest, AnUnreadableValueClosesTheZone)
{
    FollowedTable table;
    auto list = page(3, {"op//evacuate/a"});
    list.m_rows.front().m_row.m_value = "\xff[";
    table.m_store.answer(std::move(list));
    EXPECT_TRUE(table.isClosed("a"));
}

// Guards against a zone that stays closed for good because the row was removed while the store had dropped its history.
TEST(PlatformZoneRequestsTest, ARequestThatGoesAwayWithTheHistoryIsWithdrawn)
{
    FollowedTable table;
    table.m_store.answer(page(3, {"op//evacuate/a"}));
    RowPage compacted;
    compacted.m_isHistoryCompacted = true;
    table.m_store.answer(std::move(compacted));
    EXPECT_TRUE(table.isClosed("a")) << "until the list shows otherwise";
    table.m_store.answer(page(9, {"op//config"}));
    EXPECT_FALSE(table.isClosed("a"));
}

// Guards against a zone that stays closed, or is missed, when its row changes during an outage of the store.
TEST(PlatformZoneRequestsTest, RequestsThatChangeDuringAnOutageAreFoundAfterIt)
{
    FollowedTable table;
    table.m_store.answer(page(3, {"op//evacuate/a"}));
    for (int i = 0; i < 2; ++i) {
        table.m_store.answer(failure(ErrorCode::Timeout, "silent"));
        table.runLater();
    }
    // After two timeouts the whole table is listed.
    table.m_store.answer(page(9, {"op//config", "op//evacuate/b"}));
    EXPECT_FALSE(table.isClosed("a"));
    EXPECT_TRUE(table.isClosed("b"));
}
