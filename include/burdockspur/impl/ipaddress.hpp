#pragma once

#include <string_view>

namespace Burdockspur
{
/// @brief True for an IPv4 or IPv6 address in numeric form; short forms such as `127.1` are not accepted.
[[nodiscard]] auto isIpAddress(std::string_view text) -> bool;

/// @brief True for an IPv6 address in numeric form.
[[nodiscard]] auto isIpv6Address(std::string_view text) -> bool;
}
