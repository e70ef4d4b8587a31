#include "burdockspur/impl/httptext.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace Burdockspur
{
namespace
{
[[nodiscard]] constexpr auto toAsciiLower(char character) noexcept -> char
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

[[nodiscard]] constexpr auto isAlphanumeric(char character) noexcept -> bool
{
    return (toAsciiLower(character) >= 'a' && toAsciiLower(character) <= 'z') || (character >= '0' && character <= '9');
}

constexpr auto framingFields = std::to_array<std::string_view>({"content-length", "transfer-encoding", "connection", "host"});

constexpr auto reasonTable = std::to_array<std::pair<int, std::string_view>>({
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {400, "Bad Request"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {413, "Payload Too Large"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
    {507, "Insufficient Storage"},
});
}

auto equalsIgnoringCase(std::string_view left, std::string_view right) noexcept -> bool
{
    return std::ranges::equal(left, right, {}, toAsciiLower, toAsciiLower);
}

auto isToken(std::string_view text) noexcept -> bool
{
    static constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::ranges::all_of(text, [](char character) {
        return isAlphanumeric(character) || punctuation.contains(character);
    });
}

auto isSafeValue(std::string_view text) noexcept -> bool
{
    return std::ranges::none_of(text, [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return (byte < ' ' && character != '\t') || byte == 0x7F;
    });
}

auto isFramingField(std::string_view name) noexcept -> bool
{
    return std::ranges::any_of(framingFields, [name](std::string_view framing) {
        return equalsIgnoringCase(framing, name);
    });
}

auto reasonPhrase(int status) noexcept -> std::string_view
{
    const auto *const found = std::ranges::find(reasonTable, status, &std::pair<int, std::string_view>::first);
    return found == reasonTable.end() ? std::string_view("Status") : found->second;
}

auto jsonQuoted(std::string_view text) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string quoted = "\"";
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            quoted += '\\';
            quoted += character;
        } else if (byte < ' ') {
            quoted += "\\u00";
            quoted += digits[byte >> 4U];
            quoted += digits[byte & 0xFU];
        } else {
            quoted += character;
        }
    }
    quoted += '"';
    return quoted;
}
}
