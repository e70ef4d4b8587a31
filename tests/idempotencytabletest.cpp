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

// Guards against different callers whose names and keys result in the same request id.
TEST(IdempotencyTableTest, RequestIdsKeepCallerAndKeyApart)
{
    EXPECT_NE(keyPartOf(idOf("c", "a", "s", "ab")), keyPartOf(idOf("bc", "a", "s", "a")));
    EXPECT_EQ(idOf("c", "a", "s", "ab"), idOf("c", "a", "s", "ab"));
}

// Guards against returning the answer to another body or service for a reused key.
TEST(IdempotencyTableTest, AnotherBodyOrServiceIsAConflict)
{
    const RouterLimits limits;
    IdempotencyTable table(limits);
    ASSERT_TRUE(table.markInProgress(idOf("k1"), 1, start));
    EXPECT_EQ(table.lookUp(idOf("k1"), start), KeyState::InProgress);
    EXPECT_EQ(table.lookUp(idOf("k1", "b"), start), KeyState::Conflict);
    EXPECT_EQ(table.lookUp(idOf("k1", "a", "vans"), start), KeyState::Conflict);
}

// Guards against a table that grows without bound or evicts a request in progress.
TEST(IdempotencyTableTest, FullTableEvictsFinishedKeysOnly)
{
    RouterLimits limits;
    limits.m_idempotencyEntries = 2;
    IdempotencyTable table(limits);
    ASSERT_TRUE(table.markInProgress(idOf("k1"), 1, start));
    ASSERT_TRUE(table.markInProgress(idOf("k2"), 2, start));
    EXPECT_FALSE(table.markInProgress(idOf("k3"), 3, start));
    table.store(idOf("k1"), answerWith("x"), start);
    EXPECT_TRUE(table.markInProgress(idOf("k3"), 3, start));
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
        ASSERT_TRUE(table.markInProgress(id, 1, start));
        table.store(id, answerWith(std::string(300, 'x')), start);
    }
    EXPECT_LE(table.bytes(), 1000U);
    EXPECT_EQ(table.size(), 3U);
    EXPECT_EQ(table.lookUp(idOf("k9"), start), KeyState::Stored);
    EXPECT_EQ(table.lookUp(idOf("k9"), start + limits.m_idempotencyTtl), KeyState::New);
    EXPECT_EQ(table.size(), 0U);
    EXPECT_EQ(table.bytes(), 0U);
}

// Guards against an entry that expires at its former expiry although it is in progress again.
TEST(IdempotencyTableTest, UnresolvedKeyInProgressAgainDoesNotExpire)
{
    const RouterLimits limits;
    IdempotencyTable table(limits);
    ASSERT_TRUE(table.markInProgress(idOf("k1"), 1, start));
    table.storeUnresolved(idOf("k1"), "w1", "start-1", start);
    EXPECT_EQ(table.lookUp(idOf("k1"), start), KeyState::Unresolved);
    EXPECT_EQ(table.entry(idOf("k1")).m_worker, "w1");
    ASSERT_TRUE(table.markInProgress(idOf("k1"), 2, start));
    EXPECT_EQ(table.lookUp(idOf("k1"), start + 2 * limits.m_idempotencyTtl), KeyState::InProgress);
}
