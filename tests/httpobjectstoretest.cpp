#include "burdockspur/port/httpobjectstore.hpp"

#include "httpstub.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
class HttpObjectStoreTest : public testing::Test
{
protected:
    HttpStub m_stub;
    HttpObjectStore m_store{m_stub.client(), m_stub.endpoint(), Milliseconds(60'000)};
};
}

// Guards against snapshots whose bytes are changed in transit.
TEST_F(HttpObjectStoreTest, BytesArriveUnchanged)
{
    const std::string bytes("\0\r\n\xff", 4);
    m_stub.respondWith(201, "{}");
    const auto put = HttpStub::await<Result<void>>([&](auto callback) {
        m_store.put("shard-1-7", bytes, std::move(callback));
    });
    EXPECT_TRUE(put);
    EXPECT_EQ(m_stub.requests().back().m_body, bytes);
    EXPECT_EQ(m_stub.requests().back().m_target, "/v1/objects/shard-1-7");
    m_stub.respondWith(200, bytes);
    const auto got = HttpStub::await<Result<std::string>>([&](auto callback) {
        m_store.get("shard-1-7", std::move(callback));
    });
    EXPECT_EQ(got.value(), bytes);
}

// Guards against an absent object that is mistaken for an outage or for an empty snapshot.
TEST_F(HttpObjectStoreTest, AbsentObjectsAndOutagesDiffer)
{
    const auto get = [this] {
        return HttpStub::await<Result<std::string>>([this](auto callback) {
            m_store.get("s", std::move(callback));
        });
    };
    const auto remove = [this] {
        return HttpStub::await<Result<void>>([this](auto callback) {
            m_store.remove("s", std::move(callback));
        });
    };
    m_stub.respondWith(404, "{}");
    EXPECT_EQ(get().error().m_code, ErrorCode::UnknownRoute);
    EXPECT_TRUE(remove());
    m_stub.respondWith(503, "{}");
    EXPECT_EQ(get().error().m_code, ErrorCode::Unavailable);
    EXPECT_EQ(remove().error().m_code, ErrorCode::Unavailable);
}
