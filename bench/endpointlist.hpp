#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httpclient.hpp"

#include <string_view>
#include <vector>

namespace Burdockspur::Bench
{
/// @brief Parses a list in the form `ADDRESS:PORT,ADDRESS:PORT`.
/// @param text IPv4 addresses with ports from 1 to 65535
/// @returns at least one endpoint, or ErrorCode::BadRequest with the part that cannot be parsed
[[nodiscard]] auto parseEndpoints(std::string_view text) -> Result<std::vector<HttpEndpoint>>;
}
