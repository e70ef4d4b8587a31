#include "endpointlist.hpp"

#include <charconv>
#include <ranges>

namespace Burdockspur::Bench
{
namespace
{
[[nodiscard]] auto parseEndpoint(std::string_view text) -> Result<HttpEndpoint>
{
    const std::size_t colon = text.rfind(':');
    HttpEndpoint endpoint;
    if (colon != std::string_view::npos) {
        endpoint.m_address = text.substr(0, colon);
        const std::string_view port = text.substr(colon + 1);
        const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), endpoint.m_port);
        if (error == std::errc{} && end == port.data() + port.size() && endpoint.m_port > 0 && !endpoint.m_address.empty()) {
            return endpoint;
        }
    }
    return failure(ErrorCode::BadRequest, "'" + std::string(text) + "' is not ADDRESS:PORT");
}
}

auto parseEndpoints(std::string_view text) -> Result<std::vector<HttpEndpoint>>
{
    std::vector<HttpEndpoint> endpoints;
    for (const auto part : std::views::split(text, ',')) {
        const auto endpoint = parseEndpoint(std::string_view(part.begin(), part.end()));
        if (!endpoint) {
            return std::unexpected(endpoint.error());
        }
        endpoints.push_back(*endpoint);
    }
    if (endpoints.empty()) {
        return failure(ErrorCode::BadRequest, "expected ADDRESS:PORT,...");
    }
    return endpoints;
}
}
