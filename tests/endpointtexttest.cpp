#include "burdockspur/link/endpointtext.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

// Guards against a second definition of parseEndpoint() without IPv6, which the linker selected without an error.
TEST(EndpointText, ParsesBothAddressFamilies)
{
    const auto ipv4 = parseEndpoint("10.0.0.1:8080");
    ASSERT_TRUE(ipv4);
    EXPECT_EQ(ipv4->m_address, "10.0.0.1");
    EXPECT_EQ(ipv4->m_port, 8080);
    const auto ipv6 = parseEndpoint("[::1]:1");
    ASSERT_TRUE(ipv6);
    EXPECT_EQ(ipv6->m_address, "::1");
    EXPECT_EQ(ipv6->m_port, 1);
}

// Guards against accepting an invalid endpoint, which would fail only when a connection is opened.
TEST(EndpointText, RejectsInvalidEndpoints)
{
    for (const auto *const text : {"", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:8x", "name:80", "::1:80", "[10.0.0.1]:80"}) {
        const auto parsed = parseEndpoint(text);
        ASSERT_FALSE(parsed) << text;
        EXPECT_EQ(parsed.error().m_code, ErrorCode::BadRequest);
        EXPECT_NE(parsed.error().m_message.find("an IP address and a port"), std::string::npos);
    }
}
