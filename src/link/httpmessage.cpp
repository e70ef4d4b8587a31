#include "burdockspur/link/httpmessage.hpp"

#include "burdockspur/impl/httptext.hpp"

#include <algorithm>
#include <span>

namespace Burdockspur
{
namespace
{
constexpr std::string_view upperDigits = "0123456789ABCDEF";

[[nodiscard]] auto fieldValue(std::span<const HttpField> fields, std::string_view name) noexcept -> std::string_view
{
    const auto found = std::ranges::find_if(fields, [name](const HttpField &field) {
        return equalsIgnoringCase(field.m_name, name);
    });
    return found == fields.end() ? std::string_view() : std::string_view(found->m_value);
}

/// Value of a hex digit, or -1.
[[nodiscard]] constexpr auto digitValue(char character) noexcept -> int
{
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    if (character >= 'a' && character <= 'f') {
        return character - 'a' + 10;
    }
    return character >= 'A' && character <= 'F' ? character - 'A' + 10 : -1;
}

[[nodiscard]] constexpr auto isUnreserved(char character) noexcept -> bool
{
    return (character >= 'A' && character <= 'Z') || (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9')
        || std::string_view("-._~").contains(character);
}
}

auto HttpRequest::field(std::string_view name) const noexcept -> std::string_view
{
    return fieldValue(m_fields, name);
}

auto HttpRequest::path() const noexcept -> std::string_view
{
    const std::string_view target = m_target;
    return target.substr(0, target.find('?'));
}

auto HttpRequest::query(std::string_view name) const -> std::string
{
    std::string_view rest = m_target;
    const std::size_t mark = rest.find('?');
    rest = mark == std::string_view::npos ? std::string_view() : rest.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (percentDecoded(pair.substr(0, equals)) == name) {
            return percentDecoded(pair.substr(std::min(equals + 1, pair.size())));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

auto HttpResponse::field(std::string_view name) const noexcept -> std::string_view
{
    return fieldValue(m_fields, name);
}

auto jsonResponse(int status, std::string body) -> HttpResponse
{
    return {.m_status = status, .m_fields = {{"Content-Type", "application/json"}}, .m_body = std::move(body)};
}

auto percentDecoded(std::string_view text) -> std::string
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool complete = text[i] == '%' && text.size() - i > 2;
        const int high = complete ? digitValue(text[i + 1]) : -1;
        const int low = complete ? digitValue(text[i + 2]) : -1;
        if (high < 0 || low < 0) {
            // A malformed escape is copied unchanged.
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>((high * 16) + low);
        i += 2;
    }
    return decoded;
}

auto percentEncoded(std::string_view text) -> std::string
{
    std::string encoded;
    encoded.reserve(text.size());
    for (const char character : text) {
        if (isUnreserved(character)) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += upperDigits[byte >> 4U];
        encoded += upperDigits[byte & 0xFU];
    }
    return encoded;
}
}
