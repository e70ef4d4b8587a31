#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httpclient.hpp"

#include <string_view>

namespace Burdockspur
{
/// @brief Parses an endpoint of the form `ADDRESS:PORT` or `[ADDRESS]:PORT`.
/// @param text a numeric IPv4 address, or an IPv6 address in brackets, followed by a colon and a port from 1 to 65535
/// @returns the endpoint, or ErrorCode::BadRequest whose message describes the expected form
[[nodiscard]] auto parseEndpoint(std::string_view text) -> Result<HttpEndpoint>;
}
