#include "burdockspur/operations/log.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

// Guards against log injection: a value must not add pairs or lines.
TEST(LogTest, ValuesAreQuotedAndEscaped)
{
    EXPECT_EQ(formatLogLine("start", {{"job", "j1"}, {"count", 3}}), "event=start job=j1 count=3");
    EXPECT_EQ(formatLogLine("start", {{"reason", "no capacity"}}), "event=start reason=\"no capacity\"");
    EXPECT_EQ(formatLogLine("start", {{"v", "a\"b\nlevel=error"}}), "event=start v=\"a\\\"b\\nlevel=error\"");
    EXPECT_EQ(formatLogLine("start", {{"v", ""}}), "event=start v=\"\"");
}

// Guards against a mistyped level that silences the log.
TEST(LogTest, UnknownLevelIsAnError)
{
    const auto result = configureLogging("test", "h1", "loud");
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().m_code, ErrorCode::BadSettings);
}
