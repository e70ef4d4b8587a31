#include "burdockspur/host/idempotencytable.hpp"
#include "burdockspur/host/routerlimits.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;
using namespace std::chrono_literals;

namespace
{
constexpr TimePoint start(1h);

[[nodiscard]] auto idOf(std::string_view key, std::string_view body = "a", std::string_view service = "seats", std::string_view caller = "c") -> std::string
{
    ServiceRequest request;
    request.m_caller = caller;
    request.m_idempotencyKey = key;
    request.m_service = service;
    request.m_body = body;
    return requestIdOfKey(request);
}

[[nodiscard]] auto answerWith(std::string_view body) -> RequestAnswer
{
    RequestAnswer answer;
    answer.m_outcome = Outcome::Answered;
    answer.m_body = body;
    return answer;
}
}

// Guards against callers that share a key by accident.
TEST(IdempotencyTableTest, RequestIdsKeepCallerAndKeyApart)
{
    EXPECT_NE(keyPartOf(idOf("c", "a", "s", "ab")), keyPartOf(idOf("bc", "a", "s", "a")));
    EXPECT_EQ(idOf("c", "a", "s", "ab"), idOf("c", "a", "s", "ab"));
}

// Guards against the answer to another body under a reused key.
TEST(IdempotencyTableTest, AnotherBodyOrServiceIsAConflict)
{
    const RouterLimits limits;
    IdempotencyTable table(limits);
    ASSERT_TRUE(table.begin(idOf("k1"), 1, start));
    EXPECT_EQ(table.lookUp(idOf("k1"), start), KeyState::InProgress);
    EXPECT_EQ(table.lookUp(idOf("k1", "b"), start), KeyState::Conflict);
    EXPECT_EQ(table.lookUp(idOf("k1", "a", "vans"), start), KeyState::Conflict);
}

// Guards against a table that grows without bound or drops a request in progress to make room.
TEST(IdempotencyTableTest, FullTableGivesUpFinishedKeysOnly)
{
    RouterLimits limits;
    limits.m_idempotencyEntries = 2;
    IdempotencyTable table(limits);
    ASSERT_TRUE(table.begin(idOf("k1"), 1, start));
    ASSERT_TRUE(table.begin(idOf("k2"), 2, start));
    EXPECT_FALSE(table.begin(idOf("k3"), 3, start));
    table.store(idOf("k1"), answerWith("x"), start);
    EXPECT_TRUE(table.begin(idOf("k3"), 3, start));
    EXPECT_EQ(table.lookUp(idOf("k1"), start), KeyState::New);
    EXPECT_EQ(table.lookUp(idOf("k2"), start), KeyState::InProgress);
}

// Guards against stored answers that exhaust memory.
TEST(IdempotencyTableTest, StoredBytesAndTimeAreBounded)
{
    RouterLimits limits;
    limits.m_idempotencyBytes = 1000;
    IdempotencyTable table(limits);
    for (int i = 0; i < 10; ++i) {
        const auto id = idOf("k" + std::to_string(i));
        ASSERT_TRUE(table.begin(id, 1, start));
        table.store(id, answerWith(std::string(300, 'x')), start);
    }
    EXPECT_LE(table.bytes(), 1000U);
    EXPECT_EQ(table.size(), 3U);
    EXPECT_EQ(table.lookUp(idOf("k9"), start), KeyState::Stored);
    EXPECT_EQ(table.lookUp(idOf("k9"), start + limits.m_idempotencyTtl), KeyState::New);
    EXPECT_EQ(table.size(), 0U);
    EXPECT_EQ(table.bytes(), 0U);
}

// Guards against an entry that expires by its old age after it was taken into use again.
TEST(IdempotencyTableTest, UnresolvedKeyTakenUpAgainStays)
{
    const RouterLimits limits;
    IdempotencyTable table(limits);
    ASSERT_TRUE(table.begin(idOf("k1"), 1, start));
    table.leaveUnresolved(idOf("k1"), "w1", "start-1", start);
    EXPECT_EQ(table.lookUp(idOf("k1"), start), KeyState::Unresolved);
    EXPECT_EQ(table.entry(idOf("k1")).m_worker, "w1");
    ASSERT_TRUE(table.begin(idOf("k1"), 2, start));
    EXPECT_EQ(table.lookUp(idOf("k1"), start + 2 * limits.m_idempotencyTtl), KeyState::InProgress);
}
