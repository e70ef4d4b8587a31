#include "burdockspur/port/httptargetport.hpp"
#include "burdockspur/core/identifiers.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
[[nodiscard]] auto response(int status, std::string_view body, std::string_view id = "r1") -> HttpResponse
{
    return {status, {{"Burdockspur-Request-Id", std::string(id)}, {"Burdockspur-Checksum", hexOf(hashOf(body))}}, std::string(body)};
}
}

// Guards against the answer to another request, or a damaged one, that reaches a caller.
TEST(HttpTargetPortTest, OnlyACompleteAnswerToTheRequestCounts)
{
    using Status = TargetReply::Status;
    EXPECT_EQ(decodeTargetReply(response(200, "seat 4"), "r1").m_status, Status::Answered);
    EXPECT_EQ(decodeTargetReply(response(200, "seat 4", "r2"), "r1").m_status, Status::Lost);
    auto damaged = response(200, "seat 4");
    damaged.m_body = "seat 5";
    EXPECT_EQ(decodeTargetReply(std::move(damaged), "r1").m_status, Status::Lost);
    EXPECT_EQ(decodeTargetReply(HttpResponse{200, {}, "seat 4"}, "r1").m_status, Status::Lost);
}

// Guards against concluding "did not run" from a response that does not prove it for this request.
TEST(HttpTargetPortTest, OnlyTheWorkersCodesProveThatARequestDidNotRun)
{
    using Status = TargetReply::Status;
    EXPECT_EQ(decodeTargetReply(response(503, R"({"code":"slots_exhausted"})"), "r1").m_status, Status::SlotsExhausted);
    EXPECT_EQ(decodeTargetReply(response(503, R"({"code":"leaving"})"), "r1").m_status, Status::Leaving);
    EXPECT_EQ(decodeTargetReply(response(503, R"({"code":"tombstoned"})"), "r1").m_status, Status::Tombstoned);
    EXPECT_EQ(decodeTargetReply(response(500, R"({"code":"execution_failed"})"), "r1").m_status, Status::Failed);
    EXPECT_EQ(decodeTargetReply(response(503, R"({"code":"leaving"})", "r2"), "r1").m_status, Status::Lost);
    EXPECT_EQ(decodeTargetReply(response(503, R"({"code":"overloaded"})"), "r1").m_status, Status::Lost);
    EXPECT_EQ(decodeTargetReply(response(500, R"({"code":"leaving"})"), "r1").m_status, Status::Lost);
    EXPECT_EQ(decodeTargetReply(response(502, "gateway"), "r1").m_status, Status::Lost);
}

// Guards against a failed call that counts as not sent although the worker may have received it.
TEST(HttpTargetPortTest, AFailureAfterTheFirstByteIsALostAnswer)
{
    using Status = TargetReply::Status;
    EXPECT_EQ(decodeTargetReply(std::unexpected(HttpFailure{{ErrorCode::Timeout, ""}, true}), "r1").m_status, Status::Lost);
    EXPECT_EQ(decodeTargetReply(std::unexpected(HttpFailure{{ErrorCode::ConnectionClosed, ""}, false}), "r1").m_status, Status::NotSent);
}

// Guards against a reply that loses the worker's incarnation, and against one taken from the response to another request.
TEST(HttpTargetPortTest, RepliesCarryTheIncarnationOfTheWorker)
{
    const auto withIncarnation = [](HttpResponse answer) {
        answer.m_fields.push_back({"Burdockspur-Incarnation", "start-1"});
        return answer;
    };
    EXPECT_EQ(decodeTargetReply(withIncarnation(response(200, "seat 4")), "r1").m_incarnation, "start-1");
    EXPECT_EQ(decodeTargetReply(withIncarnation(response(503, R"({"code":"tombstoned"})")), "r1").m_incarnation, "start-1");
    EXPECT_EQ(decodeTargetReply(withIncarnation(response(503, R"({"code":"leaving"})", "r2")), "r1").m_incarnation, "");
    EXPECT_EQ(decodeSettleReply(withIncarnation(response(200, R"({"state":"never_started"})")), "r1").m_incarnation, "start-1");
    EXPECT_EQ(decodeSettleReply(response(200, R"({"state":"never_started"})"), "r1").m_incarnation, "");
}

// Guards against a second send after a settle whose answer is damaged or belongs to another request.
TEST(HttpTargetPortTest, OnlyAValidSettleCounts)
{
    using Status = SettleReply::Status;
    EXPECT_EQ(decodeSettleReply(response(200, R"({"state":"never_started"})"), "r1").m_status, Status::NeverStarted);
    const auto answered = decodeSettleReply(HttpResponse{200, {}, R"({"state":"answered","body":"seat 4"})"}, "r1");
    EXPECT_EQ(answered.m_status, Status::Answered);
    EXPECT_EQ(answered.m_body, "seat 4");
    EXPECT_EQ(decodeSettleReply(response(200, R"({"state":"never_started"})", "r2"), "r1").m_status, Status::NoReply);
    EXPECT_EQ(decodeSettleReply(response(200, R"({"state":"answered"})"), "r1").m_status, Status::NoReply);
    EXPECT_EQ(decodeSettleReply(response(200, R"({"state":"gone"})"), "r1").m_status, Status::NoReply);
    EXPECT_EQ(decodeSettleReply(response(200, R"({"state":)"), "r1").m_status, Status::NoReply);
    EXPECT_EQ(decodeSettleReply(response(503, R"({"state":"never_started"})"), "r1").m_status, Status::NoReply);
}
