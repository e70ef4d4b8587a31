#include "burdockspur/port/httpobjectstore.hpp"

namespace Burdockspur
{
namespace
{
constexpr int notFound = 404;

[[nodiscard]] auto isSuccess(const HttpReply &reply) noexcept -> bool
{
    constexpr int firstSuccess = 200;
    constexpr int firstRedirection = 300;
    return reply && reply->m_status >= firstSuccess && reply->m_status < firstRedirection;
}

[[nodiscard]] auto targetOf(std::string_view name) -> std::string
{
    return "/v1/objects/" + percentEncoded(name);
}
}

HttpObjectStore::HttpObjectStore(HttpClient &client, HttpEndpoint endpoint, Duration timeout)
    : m_port(client, std::move(endpoint), timeout)
{
}

auto HttpObjectStore::put(std::string_view name, std::string bytes, DoneCallback callback) -> void
{
    m_port.call("PUT", targetOf(name), std::move(bytes), [name = std::string(name), callback = std::move(callback)](HttpReply &&reply) {
        callback(isSuccess(reply) ? Result<void>() : std::unexpected(errorOfReply(reply, "PUT /v1/objects/" + name)));
    });
}

auto HttpObjectStore::get(std::string_view name, BytesCallback callback) -> void
{
    m_port.call("GET", targetOf(name), "", [name = std::string(name), callback = std::move(callback)](HttpReply &&reply) {
        if (reply && reply->m_status == notFound) {
            callback(failure(ErrorCode::UnknownRoute, "object " + name + " does not exist"));
        } else if (!reply || reply->m_status != 200) {
            callback(std::unexpected(errorOfReply(reply, "GET /v1/objects/" + name)));
        } else {
            callback(std::move(reply->m_body));
        }
    });
}

auto HttpObjectStore::remove(std::string_view name, DoneCallback callback) -> void
{
    m_port.call("DELETE", targetOf(name), "", [name = std::string(name), callback = std::move(callback)](HttpReply &&reply) {
        const bool isGone = isSuccess(reply) || (reply && reply->m_status == notFound);
        callback(isGone ? Result<void>() : std::unexpected(errorOfReply(reply, "DELETE /v1/objects/" + name)));
    });
}
}
