#include "burdockspur/core/identifiers.hpp"

#include <xxhash.h>

#include <array>

namespace Burdockspur
{
auto hashOf(std::string_view text, std::uint64_t seed) noexcept -> std::uint64_t
{
    return XXH64(text.data(), text.size(), seed);
}

auto hexOf(std::uint64_t value) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int digitCount = 16;
    std::string text(digitCount, '0');
    for (int i = digitCount - 1; i >= 0; --i) {
        text[static_cast<std::size_t>(i)] = digits[value & 0xF];
        value >>= 4;
    }
    return text;
}

auto jobIdOf(std::string_view caller, std::string_view key) -> std::string
{
    // The length prefix keeps ("ab", "c") and ("a", "bc") apart.
    std::string text = std::to_string(caller.size());
    text.append(":").append(caller).append(key);
    return "j" + hexOf(hashOf(text, 1)) + hexOf(hashOf(text, 2));
}

auto shardOf(std::string_view name, std::uint32_t shards) noexcept -> ShardId
{
    return static_cast<ShardId>(hashOf(name) % (shards == 0 ? 1 : shards));
}
}
