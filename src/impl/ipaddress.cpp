#include "burdockspur/impl/ipaddress.hpp"

#include <arpa/inet.h>

#include <array>
#include <string>

namespace Burdockspur
{
namespace
{
[[nodiscard]] auto isAddress(int family, std::string_view text) -> bool
{
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    // inet_pton() would ignore everything after a zero byte.
    return !text.contains('\0') && ::inet_pton(family, std::string(text).c_str(), buffer.data()) == 1;
}
}

auto isIpAddress(std::string_view text) -> bool
{
    return isAddress(AF_INET, text) || isAddress(AF_INET6, text);
}

auto isIpv6Address(std::string_view text) -> bool
{
    return isAddress(AF_INET6, text);
}
}
