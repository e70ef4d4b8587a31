#include "burdockspur/impl/jsonvalue.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
[[nodiscard]] auto listOf(std::size_t count, std::string_view entry) -> std::string
{
    std::string text = R"({"rows":[)";
    for (std::size_t i = 0; i < count; ++i) {
        text.append(i == 0 ? "" : ",").append(entry);
    }
    return text + "]}";
}
}

// Guards against a list of millions of empty values, which takes many times its bytes when it is parsed.
TEST(JsonValueTest, AListOfAbsurdSizeIsRefused)
{
    JsonValue::Value document;
    EXPECT_FALSE(JsonValue::parseObject(document, listOf(JsonValue::maxValues, "{}")));
    EXPECT_TRUE(document.is_null());
    EXPECT_FALSE(JsonValue::parseObject(document, listOf(JsonValue::maxValues + 1, "1")));
}

// Guards against a limit that a full list of the platform meets: 500 rows of seven fields, or one value of a megabyte.
TEST(JsonValueTest, AFullListOfThePlatformIsParsed)
{
    JsonValue::Value document;
    EXPECT_TRUE(JsonValue::parseObject(document, listOf(500, R"({"table":"t","part":"","key":"k","ver":1,"value":"e30=","tombstone":false,"n":0})")));
    EXPECT_TRUE(JsonValue::parseObject(document, R"({"value":")" + std::string(std::size_t{1024} * 1024, ',') + R"("})"));
}
