#include "burdockspur/port/serviceport.hpp"

#include <QJsonDocument>
#include <QJsonObject>

#include <array>

namespace Burdockspur
{
namespace
{
struct StatusEntry {
    int m_status;
    ErrorCode m_code;
};

constexpr std::array<StatusEntry, 3> statusTable{{
    {429, ErrorCode::RateLimited},
    {500, ErrorCode::Unavailable},
    {503, ErrorCode::Unavailable},
}};

[[nodiscard]] auto codeOfStatus(int status) noexcept -> ErrorCode
{
    for (const auto &entry : statusTable) {
        if (entry.m_status == status) {
            return entry.m_code;
        }
    }
    return ErrorCode::AnswerCorrupt;
}
}

ServicePort::ServicePort(HttpClient &client, HttpEndpoint endpoint, Duration timeout)
    : m_client(&client)
    , m_endpoint(std::move(endpoint))
    , m_timeout(timeout)
{
}

auto ServicePort::call(std::string_view method, std::string target, std::string body, HttpClient::Callback callback) const -> void
{
    call(HttpRequest{std::string(method), std::move(target), {}, std::move(body)}, std::move(callback));
}

auto ServicePort::call(HttpRequest &&request, HttpClient::Callback callback) const -> void
{
    m_client->call(m_endpoint, std::move(request), m_timeout, std::move(callback));
}

auto codeOfResponse(const HttpResponse &response) -> std::string
{
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(response.m_body));
    return document.object().value(QLatin1String("code")).toString().toStdString();
}

auto errorOfReply(const HttpReply &reply, std::string_view call) -> Error
{
    if (!reply) {
        return {reply.error().m_error.m_code, std::string(call) + ": " + reply.error().m_error.m_message};
    }
    const auto code = codeOfResponse(*reply);
    std::string message = std::string(call) + ": status " + std::to_string(reply->m_status);
    if (!code.empty()) {
        message += " " + code;
    }
    return {codeOfStatus(reply->m_status), std::move(message)};
}

auto corruptAnswer(std::string_view call, std::string_view reason) -> Error
{
    return {ErrorCode::AnswerCorrupt, std::string(call) + ": malformed answer: " + std::string(reason)};
}
}
