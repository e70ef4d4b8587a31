#include "burdockspur/link/endpointtext.hpp"

#include "burdockspur/impl/ipaddress.hpp"

#include <charconv>

namespace Burdockspur
{
auto parseEndpoint(std::string_view text) -> Result<HttpEndpoint>
{
    const auto invalid = failure(ErrorCode::BadRequest, "an IP address and a port, e.g. 10.0.0.1:8080 or [::1]:8080");
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid;
    }
    auto address = text.substr(0, colon);
    const auto portText = text.substr(colon + 1);
    const bool isBracketed = address.starts_with('[') && address.ends_with(']');
    if (isBracketed) {
        address = address.substr(1, address.size() - 2);
    }
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    const bool isAddress = isIpAddress(address) && isIpv6Address(address) == isBracketed;
    const bool isPort = error == std::errc() && end == portText.data() + portText.size() && port > 0;
    return isAddress && isPort ? Result<HttpEndpoint>(HttpEndpoint{std::string(address), port}) : invalid;
}
}
