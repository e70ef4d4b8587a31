#pragma once

#include <nlohmann/json.hpp>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Burdockspur
{
/// @brief Typed access to JSON values; a member that is absent or has another type yields no value.
///
/// nlohmann's library parses and RapidJSON's streaming writer writes, because the linter's clang rejects the
/// document header of the packaged RapidJSON.
namespace JsonValue
{
using Value = nlohmann::json;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

/// No message or row of the product or the platform has more levels. A megabyte of opening brackets would otherwise take tens of
/// megabytes, on hosts with 160 MB.
inline constexpr int maxLevels = 32;

/// Lists of the platform have at most 500 rows or 1 MB. A list of millions of empty values would take many times its bytes.
inline constexpr std::size_t maxValues = 200'000;

/// @brief True if a text has more than maxLevels levels or maxValues values.
/// @param text any bytes; brackets and commas inside strings do not count
[[nodiscard]] inline auto isTooComplex(std::string_view text) noexcept -> bool
{
    int levels = 0;
    std::size_t values = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (isInString) {
            i += character == '\\' ? 1 : 0;
            isInString = character != '"';
        } else if (character == '"') {
            isInString = true;
        } else if (character == '[' || character == '{') {
            if (++levels > maxLevels || ++values > maxValues) {
                return true;
            }
        } else if (character == ',') {
            if (++values > maxValues) {
                return true;
            }
        } else if (character == ']' || character == '}') {
            --levels;
        }
    }
    return false;
}

/// @brief Parses a text that must be one JSON object.
/// @param document receives the object; in this mode, nlohmann's parser neither recurses nor throws
/// @param text any bytes
/// @returns false for anything else, and for a document with more than maxLevels levels or maxValues values
[[nodiscard]] inline auto parseObject(Value &document, std::string_view text) -> bool
{
    if (isTooComplex(text)) {
        document = Value(nullptr);
        return false;
    }
    document = Value::parse(text.begin(), text.end(), nullptr, false);
    return document.is_object();
}

/// @brief Member of an object; nullptr when there is none.
[[nodiscard]] inline auto member(const Value &object, std::string_view name) -> const Value *
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

/// @brief Value as a string.
[[nodiscard]] inline auto text(const Value &value) -> std::optional<std::string_view>
{
    return value.is_string() ? std::optional(std::string_view(value.get_ref<const std::string &>())) : std::nullopt;
}

/// @brief Value as an integer within the range of a type; 3.0 counts as an integer.
template<std::integral Number>
[[nodiscard]] auto integer(const Value &value) -> std::optional<Number>
{
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        return std::in_range<Number>(number) ? std::optional(static_cast<Number>(number)) : std::nullopt;
    }
    if (value.is_number_integer()) {
        const auto number = value.get<std::int64_t>();
        return std::in_range<Number>(number) ? std::optional(static_cast<Number>(number)) : std::nullopt;
    }
    // A double represents every integer up to 2^53 exactly.
    constexpr double maxExactInteger = 9007199254740992.0;
    if (value.is_number_float() && std::trunc(value.get<double>()) == value.get<double>() && std::abs(value.get<double>()) <= maxExactInteger) {
        const auto number = static_cast<std::int64_t>(value.get<double>());
        return std::in_range<Number>(number) ? std::optional(static_cast<Number>(number)) : std::nullopt;
    }
    return std::nullopt;
}

/// @brief Value as a number.
[[nodiscard]] inline auto number(const Value &value) -> std::optional<double>
{
    return value.is_number() ? std::optional(value.get<double>()) : std::nullopt;
}

/// @brief Member as a string.
[[nodiscard]] inline auto text(const Value &object, std::string_view name) -> std::optional<std::string_view>
{
    const auto *const value = member(object, name);
    return value == nullptr ? std::nullopt : text(*value);
}

/// @brief Member as an integer.
template<std::integral Number>
[[nodiscard]] auto integer(const Value &object, std::string_view name) -> std::optional<Number>
{
    const auto *const value = member(object, name);
    return value == nullptr ? std::nullopt : integer<Number>(*value);
}

/// @brief Member as a number.
[[nodiscard]] inline auto number(const Value &object, std::string_view name) -> std::optional<double>
{
    const auto *const value = member(object, name);
    return value == nullptr ? std::nullopt : number(*value);
}

/// @brief Member as a boolean.
[[nodiscard]] inline auto boolean(const Value &object, std::string_view name) -> std::optional<bool>
{
    const auto *const value = member(object, name);
    return value != nullptr && value->is_boolean() ? std::optional(value->get<bool>()) : std::nullopt;
}

/// @brief Member that is an array; nullptr when there is none.
[[nodiscard]] inline auto array(const Value &object, std::string_view name) -> const Value *
{
    const auto *const value = member(object, name);
    return value != nullptr && value->is_array() ? value : nullptr;
}

inline auto put(Writer &writer, std::string_view value) -> void
{
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

inline auto putName(Writer &writer, std::string_view name) -> void
{
    writer.Key(name.data(), static_cast<rapidjson::SizeType>(name.size()));
}

inline auto putText(Writer &writer, std::string_view name, std::string_view value) -> void
{
    putName(writer, name);
    put(writer, value);
}

inline auto putNumber(Writer &writer, std::string_view name, std::int64_t value) -> void
{
    putName(writer, name);
    writer.Int64(value);
}

/// @brief The text that a writer has produced.
[[nodiscard]] inline auto textOf(const rapidjson::StringBuffer &buffer) -> std::string
{
    return {buffer.GetString(), buffer.GetSize()};
}
}
}
