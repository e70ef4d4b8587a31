#include "burdockspur/operations/log.hpp"

#include <gtest/gtest.h>

#include <regex>

using namespace Burdockspur;

// Guards against log injection: a value must not add pairs or lines.
TEST(LogTest, ValuesAreQuotedAndEscaped)
{
    EXPECT_EQ(formatLogLine("start", {{"job", "j1"}, {"count", 3}}), "event=start job=j1 count=3");
    EXPECT_EQ(formatLogLine("start", {{"reason", "no capacity"}}), "event=start reason=\"no capacity\"");
    EXPECT_EQ(formatLogLine("start", {{"v", "a\"b\nlevel=error"}}), "event=start v=\"a\\\"b\\nlevel=error\"");
    EXPECT_EQ(formatLogLine("start", {{"v", ""}}), "event=start v=\"\"");
}

// Guards against a mistyped level that turns off the log.
TEST(LogTest, UnknownLevelIsAnError)
{
    const auto result = configureLogging("test", "h1", "loud");
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().m_code, ErrorCode::BadSettings);
}

// Guards against lines that tools cannot parse: section 6.6 of the design page defines the format of time and level.
TEST(LogTest, LinesHaveTheTimeAndLevelFormatOfTheDesignPage)
{
    ASSERT_TRUE(configureLogging("test", "h1", "info"));
    testing::internal::CaptureStderr();
    logEvent(LogLevel::Warning, "sample", {{"job", "j1"}});
    logEvent(LogLevel::Debug, "hidden", {});
    const auto lines = testing::internal::GetCapturedStderr();
    const std::regex form("ts=[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9]{2}:[0-9]{2}:[0-9]{2}\\.[0-9]{3}Z program=test host=h1 level=warning event=sample job=j1\n");
    EXPECT_TRUE(std::regex_match(lines, form)) << lines;
}
