#include "burdockspur/port/httptargetport.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/impl/jsonreader.hpp"
#include "burdockspur/port/peercodec.hpp"
#include "burdockspur/port/serviceport.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
namespace
{
constexpr int statusOk = 200;
constexpr std::string_view requestIdField = "Burdockspur-Request-Id";
constexpr std::string_view incarnationField = "Burdockspur-Incarnation";

/// @brief HTTP status and error code of a worker's response, and the outcome that they prove.
struct CodeEntry {
    int m_httpStatus;
    std::string_view m_code;
    TargetReply::Status m_status;
};

constexpr std::array<CodeEntry, 5> codeTable{{
    {503, "slots_exhausted", TargetReply::Status::SlotsExhausted},
    {503, "leaving", TargetReply::Status::Leaving},
    {503, "tombstoned", TargetReply::Status::Tombstoned},
    {503, "other_incarnation", TargetReply::Status::OtherIncarnation},
    {500, "execution_failed", TargetReply::Status::Failed},
}};

struct StateEntry {
    std::string_view m_name;
    SettleReply::Status m_status;
};

constexpr std::array<StateEntry, 4> stateTable{{
    {"never_started", SettleReply::Status::NeverStarted},
    {"running", SettleReply::Status::Running},
    {"answered", SettleReply::Status::Answered},
    {"failed", SettleReply::Status::Failed},
}};

[[nodiscard]] auto lostReply(std::string message) -> TargetReply
{
    TargetReply reply;
    reply.m_error = {ErrorCode::AnswerCorrupt, std::move(message)};
    return reply;
}

[[nodiscard]] auto requestOf(ForwardOrder &&order) -> HttpRequest
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_target.append("/v1/services/").append(percentEncoded(order.m_service)).append("/requests");
    request.m_fields.reserve(4);
    request.m_fields.push_back({std::string(requestIdField), std::move(order.m_requestId)});
    request.m_fields.push_back({"Burdockspur-Deadline-Ms", std::to_string(order.m_deadline.count())});
    if (!order.m_idempotencyKey.empty()) {
        request.m_fields.push_back({"Idempotency-Key", std::move(order.m_idempotencyKey)});
    }
    if (!order.m_expectedIncarnation.empty()) {
        request.m_fields.push_back({"Burdockspur-Expected-Incarnation", std::move(order.m_expectedIncarnation)});
    }
    request.m_body = std::move(order.m_body);
    return request;
}

[[nodiscard]] auto decodeCode(const HttpResponse &response) -> TargetReply
{
    const auto code = codeOfResponse(response);
    const auto *const found = std::ranges::find_if(codeTable, [&](const CodeEntry &entry) {
        return entry.m_httpStatus == response.m_status && entry.m_code == code;
    });
    if (found == codeTable.end()) {
        return lostReply("status " + std::to_string(response.m_status) + " code " + code + " does not say whether the request ran");
    }
    TargetReply reply;
    reply.m_status = found->m_status;
    reply.m_incarnation = response.field(incarnationField);
    return reply;
}

[[nodiscard]] auto noReply(Error &&error) -> SettleReply
{
    SettleReply reply;
    reply.m_error = std::move(error);
    return reply;
}
}

auto decodeTargetReply(HttpReply &&reply, std::string_view requestId) -> TargetReply
{
    if (!reply) {
        TargetReply failed;
        failed.m_status = reply.error().m_sent ? TargetReply::Status::Lost : TargetReply::Status::NotSent;
        failed.m_error = std::move(reply.error().m_error);
        return failed;
    }
    if (reply->field(requestIdField) != requestId) {
        return lostReply("the response belongs to request '" + std::string(reply->field(requestIdField)) + "'");
    }
    if (reply->m_status != statusOk) {
        return decodeCode(*reply);
    }
    if (reply->field("Burdockspur-Checksum") != hexOf(hashOf(reply->m_body))) {
        return lostReply("the checksum of the response does not match its body");
    }
    TargetReply answered;
    answered.m_status = TargetReply::Status::Answered;
    answered.m_incarnation = reply->field(incarnationField);
    answered.m_body = std::move(reply->m_body);
    return answered;
}

auto decodeSettleReply(const HttpReply &reply, std::string_view requestId) -> SettleReply
{
    if (!reply) {
        return noReply(Error(reply.error().m_error));
    }
    const auto named = reply->field(requestIdField);
    if (reply->m_status != statusOk || (!named.empty() && named != requestId)) {
        return noReply({ErrorCode::AnswerCorrupt, "status " + std::to_string(reply->m_status) + " for request '" + std::string(named) + "'"});
    }
    std::vector<std::string> errors;
    SettleReply settled;
    settled.m_incarnation = reply->field(incarnationField);
    if (auto reader = JsonReader::parse(reply->m_body, errors)) {
        const auto name = reader->text("state", {}).value_or("");
        const auto *const state = std::ranges::find(stateTable, std::string_view(name), &StateEntry::m_name);
        if (state == stateTable.end()) {
            reader->report("state", "never_started, running, answered or failed");
        } else {
            settled.m_status = state->m_status;
        }
        if (settled.m_status == SettleReply::Status::Answered) {
            settled.m_body = reader->text("body", {}).value_or("");
        }
    }
    return errors.empty() ? settled : noReply(corruptAnswer("settle", joinedErrors(errors, "; ")));
}

HttpTargetPort::HttpTargetPort(HttpClient &forwards, HttpClient &settles)
    : m_forwards(&forwards)
    , m_settles(&settles)
{
}

auto HttpTargetPort::forward(ForwardOrder &&order, ForwardCallback callback) -> void
{
    const HttpEndpoint endpoint{order.m_target.m_address, order.m_target.m_port};
    const auto timeout = order.m_timeout;
    auto handleReply = [dispatch = order.m_dispatch, requestId = order.m_requestId, callback = std::move(callback)](HttpReply &&reply) {
        auto decoded = decodeTargetReply(std::move(reply), requestId);
        decoded.m_dispatch = dispatch;
        callback(std::move(decoded));
    };
    m_forwards->call(endpoint, requestOf(std::move(order)), timeout, std::move(handleReply));
}

auto HttpTargetPort::settle(SettleOrder &&order, SettleCallback callback) -> void
{
    const HttpEndpoint endpoint{order.m_target.m_address, order.m_target.m_port};
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/v1/requests/" + percentEncoded(order.m_requestId) + "/settle";
    auto handleReply = [dispatch = order.m_dispatch, requestId = std::move(order.m_requestId), callback = std::move(callback)](HttpReply &&reply) {
        auto decoded = decodeSettleReply(reply, requestId);
        decoded.m_dispatch = dispatch;
        callback(std::move(decoded));
    };
    m_settles->call(endpoint, std::move(request), order.m_timeout, std::move(handleReply));
}

auto HttpTargetPort::queryPeer(PeerQuery &&question, PeerCallback callback) -> void
{
    const HttpEndpoint endpoint{question.m_address, question.m_port};
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/v1/requests/" + percentEncoded(question.m_requestId) + "/settle";
    request.m_body = encodePeerQuery(question.m_generation);
    auto handleReply = [dispatch = question.m_dispatch, peer = std::move(question.m_peer), callback = std::move(callback)](HttpReply &&reply) {
        auto decoded = decodePeerReply(reply);
        decoded.m_dispatch = dispatch;
        decoded.m_peer = peer;
        callback(std::move(decoded));
    };
    m_settles->call(endpoint, std::move(request), question.m_timeout, std::move(handleReply));
}
}
