#pragma once

#include "burdockspur/link/httpclient.hpp"

#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Sends HTTP requests to one service of the platform.
class ServicePort
{
public:
    /// @param client must live in the same thread and outlive the port
    /// @param endpoint address of the service
    /// @param timeout longest duration of each call
    ServicePort(HttpClient &client, HttpEndpoint endpoint, Duration timeout);

    auto call(std::string_view method, std::string target, std::string body, HttpClient::Callback callback) const -> void;

    /// @brief Sends a request that has its own header fields.
    auto call(HttpRequest &&request, HttpClient::Callback callback) const -> void;

private:
    HttpClient *m_client;
    HttpEndpoint m_endpoint;
    Duration m_timeout;
};

/// @brief Member `code` of a JSON error, or an empty text.
[[nodiscard]] auto codeOfResponse(const HttpResponse &response) -> std::string;

/// @brief Error for a reply that is not a success: that of a failed call, RateLimited, Unavailable, or AnswerCorrupt for any other status.
/// @param reply a failure, or a response with an unexpected status
/// @param call for the message, e.g. `GET /v1/hosts`
[[nodiscard]] auto errorOfReply(const HttpReply &reply, std::string_view call) -> Error;

/// @brief AnswerCorrupt error for a body that violates the protocol.
[[nodiscard]] auto corruptAnswer(std::string_view call, std::string_view reason) -> Error;
}
