#pragma once

#include "burdockspur/impl/jsonreader.hpp"

#include <algorithm>
#include <concepts>
#include <limits>
#include <span>
#include <variant>

namespace Burdockspur
{
/// @brief Follows a path of member pointers, e.g. `memberOf<Job, &Job::m_spec, &JobSpec::m_team>`.
template<typename Object, auto First, auto... Rest>
[[nodiscard]] auto memberOf(Object &object) -> auto &
{
    if constexpr (sizeof...(Rest) == 0) {
        return object.*First;
    } else {
        return memberOf<std::remove_reference_t<decltype(object.*First)>, Rest...>(object.*First);
    }
}

/// @brief Maps a member of a JSON object to a member of an Object.
///
/// Tables of these entries describe the objects of documents and messages, for reading and writing.
template<typename Object>
struct JsonField {
    using Access = std::variant<std::string &(*)(Object &),
                                bool &(*)(Object &),
                                double &(*)(Object &),
                                std::int64_t &(*)(Object &),
                                std::uint16_t &(*)(Object &),
                                std::uint32_t &(*)(Object &),
                                std::uint64_t &(*)(Object &)>;

    std::string_view m_name;
    Access m_access;
    SettingRange m_range; ///< range of a number, or of the length of a text
    SettingPresence m_presence = SettingPresence::Required;
};

/// @brief Reads one value of a field's type.
template<typename Value>
[[nodiscard]] auto readJsonValue(JsonReader &reader, std::string_view name, SettingRange range) -> std::optional<Value>
{
    if constexpr (std::same_as<Value, std::string>) {
        return reader.text(name, range);
    } else if constexpr (std::same_as<Value, bool>) {
        return reader.boolean(name);
    } else if constexpr (std::same_as<Value, double>) {
        return reader.number(name, range);
    } else {
        using Limits = std::numeric_limits<Value>;
        if constexpr (sizeof(Value) < sizeof(std::int64_t)) {
            range.m_maximum = std::min(range.m_maximum, static_cast<double>(Limits::max()));
        }
        if constexpr (std::unsigned_integral<Value>) {
            range.m_minimum = std::max(range.m_minimum, 0.0);
        }
        const auto number = reader.integer(name, range);
        return number ? std::optional<Value>(static_cast<Value>(*number)) : std::nullopt;
    }
}

/// @brief Reads every member of a table; an absent optional member leaves the object's value unchanged.
template<typename Object>
auto readFields(JsonReader &reader, std::span<const JsonField<Object>> table, Object &object) -> void
{
    for (const auto &field : table) {
        if (field.m_presence == SettingPresence::Optional && !reader.has(field.m_name)) {
            continue;
        }
        std::visit(
            [&](auto access) {
                using Value = std::remove_reference_t<decltype(access(object))>;
                if (auto value = readJsonValue<Value>(reader, field.m_name, field.m_range)) {
                    access(object) = std::move(*value);
                }
            },
            field.m_access);
    }
}

/// @brief A value as JSON.
template<typename Value>
[[nodiscard]] auto toJsonValue(const Value &value) -> QJsonValue
{
    if constexpr (std::same_as<Value, std::string>) {
        return jsonString(value);
    } else if constexpr (std::same_as<Value, bool> || std::same_as<Value, double>) {
        return value;
    } else {
        return static_cast<qint64>(value);
    }
}

/// @brief Writes every member of a table.
/// @param table members to write
/// @param object taken by value, because the accessors return mutable references
template<typename Object>
[[nodiscard]] auto writeFields(std::span<const JsonField<Object>> table, Object object) -> QJsonObject
{
    QJsonObject json;
    for (const auto &field : table) {
        std::visit(
            [&](auto access) {
                json.insert(jsonString(field.m_name), toJsonValue(access(object)));
            },
            field.m_access);
    }
    return json;
}

/// @brief Names of a table's members.
template<typename Object>
[[nodiscard]] auto fieldNames(std::span<const JsonField<Object>> table) -> std::vector<std::string_view>
{
    std::vector<std::string_view> names;
    names.reserve(table.size());
    for (const auto &field : table) {
        names.push_back(field.m_name);
    }
    return names;
}
}
