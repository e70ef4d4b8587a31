#include "burdockspur/link/httpmessage.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

// Guards against a read past the end, or lost text, at malformed escapes.
TEST(HttpMessageTest, MalformedEscapesStayAsTheyAre)
{
    EXPECT_EQ(percentDecoded("a%20b"), "a b");
    EXPECT_EQ(percentDecoded("%"), "%");
    EXPECT_EQ(percentDecoded("%4"), "%4");
    EXPECT_EQ(percentDecoded("%zz%41"), "%zzA");
    EXPECT_EQ(percentDecoded("%%41"), "%A");
    EXPECT_EQ(percentDecoded("%-1"), "%-1");
}

// Guards against table keys that are changed by encoding them into a path and decoding them again.
TEST(HttpMessageTest, EncodingIsReversible)
{
    std::string allBytes;
    for (int byte = 0; byte < 256; ++byte) {
        allBytes += static_cast<char>(byte);
    }
    EXPECT_EQ(percentDecoded(percentEncoded(allBytes)), allBytes);
    EXPECT_EQ(percentEncoded("shard/3/owner"), "shard%2F3%2Fowner");
}

// Guards against a lookup that returns the value of another parameter or reads past the end.
TEST(HttpMessageTest, QueryFindsExactNames)
{
    const HttpRequest request{.m_method = "GET", .m_target = "/v1/jobs?after=j%261&limit=&state&x", .m_fields = {}, .m_body = {}};
    EXPECT_EQ(request.path(), "/v1/jobs");
    EXPECT_EQ(request.query("after"), "j&1");
    EXPECT_EQ(request.query("limit"), "");
    EXPECT_EQ(request.query("state"), "");
    EXPECT_EQ(request.query("fter"), "");
    const HttpRequest plain{.m_method = "GET", .m_target = "/v1/jobs", .m_fields = {}, .m_body = {}};
    EXPECT_EQ(plain.query("after"), "");
    EXPECT_EQ(plain.path(), "/v1/jobs");
}

// Guards against fields that are not found because the case of their name differs.
TEST(HttpMessageTest, FieldNamesIgnoreCase)
{
    const HttpResponse response{.m_status = 200, .m_fields = {{"Content-Type", "text/plain"}}, .m_body = {}};
    EXPECT_EQ(response.field("content-TYPE"), "text/plain");
    EXPECT_TRUE(response.field("content").empty());
}
