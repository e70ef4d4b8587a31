#include "burdockspur/host/idempotencytable.hpp"
#include "burdockspur/host/routerlimits.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;
using namespace std::chrono_literals;

namespace
{
constexpr TimePoint start(1h);

[[nodiscard]] auto requestWith(std::string_view body) -> ServiceRequest
{
    ServiceRequest request;
    request.m_service = "seats";
    request.m_body = body;
    return request;
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
    EXPECT_NE(requestIdOfKey("ab", "c"), requestIdOfKey("a", "bc"));
    EXPECT_EQ(requestIdOfKey("ab", "c"), requestIdOfKey("ab", "c"));
}

// Guards against the answer to another body under a reused key.
TEST(IdempotencyTableTest, AnotherBodyOrServiceIsAConflict)
{
    const RouterLimits limits;
    IdempotencyTable table(limits);
    ASSERT_TRUE(table.begin("k1", requestWith("a"), 1, start));
    EXPECT_EQ(table.lookUp("k1", requestWith("a"), start), KeyState::InProgress);
    EXPECT_EQ(table.lookUp("k1", requestWith("b"), start), KeyState::Conflict);
    auto otherService = requestWith("a");
    otherService.m_service = "vans";
    EXPECT_EQ(table.lookUp("k1", otherService, start), KeyState::Conflict);
}

// Guards against a table that grows without bound or drops a request in progress to make room.
TEST(IdempotencyTableTest, FullTableGivesUpFinishedKeysOnly)
{
    RouterLimits limits;
    limits.m_idempotencyEntries = 2;
    IdempotencyTable table(limits);
    ASSERT_TRUE(table.begin("k1", requestWith("a"), 1, start));
    ASSERT_TRUE(table.begin("k2", requestWith("a"), 2, start));
    EXPECT_FALSE(table.begin("k3", requestWith("a"), 3, start));
    table.store("k1", answerWith("x"), start);
    EXPECT_TRUE(table.begin("k3", requestWith("a"), 3, start));
    EXPECT_EQ(table.lookUp("k1", requestWith("a"), start), KeyState::New);
    EXPECT_EQ(table.lookUp("k2", requestWith("a"), start), KeyState::InProgress);
}

// Guards against stored answers that exhaust memory.
TEST(IdempotencyTableTest, StoredBytesAndTimeAreBounded)
{
    RouterLimits limits;
    limits.m_idempotencyBytes = 1000;
    IdempotencyTable table(limits);
    for (int i = 0; i < 10; ++i) {
        const auto id = "k" + std::to_string(i);
        ASSERT_TRUE(table.begin(id, requestWith("a"), 1, start));
        table.store(id, answerWith(std::string(300, 'x')), start);
    }
    EXPECT_LE(table.bytes(), 1000U);
    EXPECT_EQ(table.size(), 3U);
    EXPECT_EQ(table.lookUp("k9", requestWith("a"), start), KeyState::Stored);
    EXPECT_EQ(table.lookUp("k9", requestWith("a"), start + limits.m_idempotencyTtl), KeyState::New);
    EXPECT_EQ(table.size(), 0U);
    EXPECT_EQ(table.bytes(), 0U);
}

// Guards against an entry that expires by its old age after it was taken into use again.
TEST(IdempotencyTableTest, UnresolvedKeyTakenUpAgainStays)
{
    const RouterLimits limits;
    IdempotencyTable table(limits);
    ASSERT_TRUE(table.begin("k1", requestWith("a"), 1, start));
    table.leaveUnresolved("k1", "w1", start);
    EXPECT_EQ(table.lookUp("k1", requestWith("a"), start), KeyState::Unresolved);
    EXPECT_EQ(table.entry("k1").m_worker, "w1");
    ASSERT_TRUE(table.begin("k1", requestWith("a"), 2, start));
    EXPECT_EQ(table.lookUp("k1", requestWith("a"), start + 2 * limits.m_idempotencyTtl), KeyState::InProgress);
}
