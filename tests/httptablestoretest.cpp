#include "burdockspur/port/httptablestore.hpp"

#include "httpstub.hpp"

#include <gtest/gtest.h>

#include <array>

using namespace Burdockspur;

namespace
{
// Long enough that no test reaches it on a slow machine.
constexpr Milliseconds longTimeout{60'000};

class HttpTableStoreTest : public testing::Test
{
protected:
    auto commit(const Transaction &transaction) -> CommitResult
    {
        HttpTableStore store(m_stub.client(), m_stub.endpoint(), longTimeout);
        return HttpStub::await<CommitResult>([&](auto callback) {
            store.commit(transaction, std::move(callback));
        });
    }

    auto read(std::string_view key) -> Result<std::vector<TableRow>>
    {
        HttpTableStore store(m_stub.client(), m_stub.endpoint(), longTimeout);
        return HttpStub::await<Result<std::vector<TableRow>>>([&](auto callback) {
            store.read(key, std::move(callback));
        });
    }

    auto scan(std::string_view prefix, std::string_view after, std::uint32_t limit) -> Result<std::vector<TableRow>>
    {
        HttpTableStore store(m_stub.client(), m_stub.endpoint(), longTimeout);
        return HttpStub::await<Result<std::vector<TableRow>>>([&](auto callback) {
            store.scan(prefix, after, limit, std::move(callback));
        });
    }

    HttpStub m_stub;
    Transaction m_transaction{{{"config", 3}}, {{"config", std::string("\0\xff", 2)}}, {"old"}};
};
}

// Guards against values that JSON cannot carry: a journal row holds arbitrary bytes.
TEST_F(HttpTableStoreTest, CommitSendsBase64AndReturnsTheNewVersions)
{
    m_stub.respondWith(200, R"({"versions":[{"key":"config","version":4}]})");
    const auto result = commit(m_transaction);
    ASSERT_EQ(result.m_status, CommitResult::Status::Committed) << result.m_error.m_message;
    ASSERT_EQ(result.m_rows.size(), 1U);
    EXPECT_EQ(result.m_rows[0].m_version, 4U);
    const auto &request = m_stub.requests().front();
    EXPECT_EQ(request.m_method + " " + request.m_target, "POST /v1/transactions");
    EXPECT_EQ(request.m_body, R"({"conditions":[{"key":"config","version":3}],"deletes":["old"],"puts":[{"key":"config","value":"AP8="}]})");
}

// Guards against a conflict without the current rows, which the losing writer needs.
TEST_F(HttpTableStoreTest, ConflictReturnsTheCurrentRows)
{
    m_stub.respondWith(409, R"({"code":"conflict","conflicts":[{"key":"config","version":7,"value":"AP8="},{"key":"b","version":0,"value":""}]})");
    const auto result = commit(m_transaction);
    ASSERT_EQ(result.m_status, CommitResult::Status::Conflict) << result.m_error.m_message;
    ASSERT_EQ(result.m_rows.size(), 2U);
    EXPECT_EQ(result.m_rows[0].m_version, 7U);
    EXPECT_EQ(result.m_rows[0].m_value, std::string("\0\xff", 2));
    EXPECT_EQ(result.m_rows[1].m_version, 0U);
}

// Guards against a write that took effect and is reported as not applied, or the reverse.
TEST_F(HttpTableStoreTest, OnlyDefiniteRefusalsAreNotApplied)
{
    struct Case {
        int m_status;
        std::string_view m_body;
        CommitResult::Status m_expected;
    };
    using Status = CommitResult::Status;
    constexpr std::array<Case, 9> cases{{
        {429, R"({"code":"rate_limited"})", Status::NotApplied},
        {503, R"({"code":"unavailable"})", Status::NotApplied},
        {500, "", Status::Unknown},
        {404, "", Status::Unknown},
        {200, "garbage", Status::Unknown},
        {200, R"({"versions":[]})", Status::Unknown},
        {200, R"({"versions":[{"key":"config","version":-1}]})", Status::Unknown},
        {409, R"({"conflicts":[]})", Status::Unknown},
        {409, R"({"conflicts":[{"key":"config","version":2,"value":"*"}]})", Status::Unknown},
    }};
    for (const auto &[status, body, expected] : cases) {
        m_stub.respondWith(status, body);
        const auto result = commit(m_transaction);
        EXPECT_EQ(result.m_status, expected) << status << " " << body;
        EXPECT_FALSE(result.m_error.m_message.empty());
    }
    EXPECT_EQ(m_stub.requests().size(), cases.size());
}

// Guards against a commit that is sent twice after its answer was lost.
TEST_F(HttpTableStoreTest, LostAnswerIsUnknownAndNotResent)
{
    m_stub.respondWith([](const HttpRequest &) {
        return std::nullopt;
    });
    EXPECT_EQ(commit(m_transaction).m_status, CommitResult::Status::Unknown);
    EXPECT_EQ(m_stub.requests().size(), 1U);
}

// Guards against waiting for the outcome of a write that was never sent.
TEST_F(HttpTableStoreTest, NoConnectionIsNotApplied)
{
    m_stub.closeServer();
    EXPECT_EQ(commit(m_transaction).m_status, CommitResult::Status::NotApplied);
}

// Guards against a key with slashes that becomes another path, and against an absent row that is mistaken for an outage.
TEST_F(HttpTableStoreTest, ReadGivesOneRowOrNone)
{
    m_stub.respondWith(200, R"({"key":"shard/1/owner","version":2,"value":"AP8="})");
    const auto rows = read("shard/1/owner");
    ASSERT_TRUE(rows) << rows.error().m_message;
    ASSERT_EQ(rows->size(), 1U);
    EXPECT_EQ((*rows)[0].m_value, std::string("\0\xff", 2));
    EXPECT_EQ(m_stub.requests().front().m_target, "/v1/rows/shard%2F1%2Fowner");
    m_stub.respondWith(404, "{}");
    EXPECT_TRUE(read("shard/1/owner").value().empty());
    m_stub.respondWith(503, "{}");
    EXPECT_EQ(read("shard/1/owner").error().m_code, ErrorCode::Unavailable);
    m_stub.respondWith(200, R"({"key":"other","version":2,"value":""})");
    EXPECT_EQ(read("shard/1/owner").error().m_code, ErrorCode::AnswerCorrupt);
}

// Guards against foreign rows in a recovered journal.
TEST_F(HttpTableStoreTest, ScanAcceptsOnlyTheRangeInOrder)
{
    constexpr std::string_view first = R"({"key":"a/1","version":1,"value":""})";
    constexpr std::string_view second = R"({"key":"a/2","version":1,"value":""})";
    const auto answer = [this](std::initializer_list<std::string_view> rows) {
        std::string body = R"({"rows":[)";
        for (const auto row : rows) {
            body.append(body.ends_with('}') ? "," : "").append(row);
        }
        m_stub.respondWith(200, body + "]}");
    };
    answer({first, second});
    EXPECT_EQ(scan("a/", "", 2).value().size(), 2U);
    EXPECT_EQ(m_stub.requests().front().m_target, "/v1/rows?prefix=a%2F&after=&limit=2");
    EXPECT_FALSE(scan("a/", "", 1)) << "more rows than asked for";
    EXPECT_FALSE(scan("a/", "a/1", 2)) << "a row before the range";
    EXPECT_FALSE(scan("b/", "", 2)) << "a row with another prefix";
    answer({second, first});
    EXPECT_FALSE(scan("a/", "", 2)) << "not in order";
    m_stub.respondWith(200, R"({"rows":[1]})");
    EXPECT_EQ(scan("a/", "", 2).error().m_message, "GET /v1/rows?prefix=a/: malformed answer: rows[0]: found 1, expected an object");
}
