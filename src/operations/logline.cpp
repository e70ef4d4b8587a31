#include "burdockspur/operations/logline.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// @brief Removes a value and the space after it from the front of a text.
/// @returns the unquoted value
[[nodiscard]] auto consumeValue(std::string_view &rest) -> std::string
{
    std::string value;
    if (!rest.starts_with('"')) {
        const auto end = std::min(rest.find(' '), rest.size());
        value = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        return value;
    }
    std::size_t at = 1;
    while (at < rest.size() && rest[at] != '"') {
        const bool isEscaped = rest[at] == '\\' && at + 1 < rest.size();
        at += isEscaped ? 1 : 0;
        value += isEscaped && rest[at] == 'n' ? '\n' : rest[at];
        ++at;
    }
    // Removes the closing quote and the space after it.
    rest.remove_prefix(std::min(at + 2, rest.size()));
    return value;
}
}

auto LogLine::parse(std::string_view text) -> std::optional<LogLine>
{
    const auto begin = text.find("ts=");
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    text.remove_prefix(begin);
    text = text.substr(0, text.find_last_not_of("\r\n ") + 1);
    LogLine line;
    line.m_text = text;
    while (!text.empty()) {
        const auto equals = text.find_first_of("= ");
        if (equals == std::string_view::npos) {
            break;
        }
        std::string key(text.substr(0, equals));
        const bool hasValue = text[equals] == '=';
        text.remove_prefix(equals + 1);
        if (hasValue) {
            auto value = consumeValue(text);
            line.m_fields.emplace_back(std::move(key), std::move(value));
        }
    }
    const bool isEvent = !line.time().empty() && !line.event().empty();
    return isEvent ? std::optional(std::move(line)) : std::nullopt;
}

auto LogLine::value(std::string_view key) const noexcept -> std::string_view
{
    const auto field = std::ranges::find(m_fields, key, &std::pair<std::string, std::string>::first);
    return field == m_fields.end() ? std::string_view{} : std::string_view(field->second);
}
}
