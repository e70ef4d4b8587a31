#include "burdockspur/impl/tomljson.hpp"

#include "burdockspur/impl/jsonreader.hpp"

#include <QJsonArray>

#include <toml++/toml.h>

#include <sstream>

namespace Burdockspur
{
namespace
{
[[nodiscard]] auto jsonOf(const toml::node &node) -> QJsonValue;

[[nodiscard]] auto jsonOf(const toml::table &table) -> QJsonObject
{
    QJsonObject object;
    for (const auto &[key, node] : table) {
        object.insert(jsonString(key.str()), jsonOf(node));
    }
    return object;
}

[[nodiscard]] auto jsonOf(const toml::array &array) -> QJsonArray
{
    QJsonArray values;
    for (const auto &node : array) {
        values.append(jsonOf(node));
    }
    return values;
}

[[nodiscard]] auto jsonOf(const toml::node &node) -> QJsonValue
{
    return node.visit([](const auto &content) -> QJsonValue {
        if constexpr (toml::is_table<decltype(content)> || toml::is_array<decltype(content)>) {
            return jsonOf(content);
        } else if constexpr (toml::is_string<decltype(content)>) {
            return jsonString(content.get());
        } else if constexpr (toml::is_integer<decltype(content)>) {
            return static_cast<qint64>(content.get());
        } else if constexpr (toml::is_floating_point<decltype(content)> || toml::is_boolean<decltype(content)>) {
            return content.get();
        } else {
            std::ostringstream text;
            text << content.get();
            return jsonString(text.str());
        }
    });
}

[[nodiscard]] auto tomlOf(const QJsonObject &object) -> toml::table;

auto appendValue(toml::array &array, const QJsonValue &value) -> void
{
    if (value.isObject()) {
        array.push_back(tomlOf(value.toObject()));
    } else if (value.isBool()) {
        array.push_back(value.toBool());
    } else if (value.isDouble()) {
        array.push_back(value.toDouble());
    } else {
        array.push_back(value.toString().toStdString());
    }
}

[[nodiscard]] auto tomlOf(const QJsonObject &object) -> toml::table
{
    toml::table table;
    for (auto entry = object.begin(); entry != object.end(); ++entry) {
        const auto key = entry.key().toStdString();
        const auto value = entry.value();
        if (value.isObject()) {
            table.insert(key, tomlOf(value.toObject()));
        } else if (value.isArray()) {
            toml::array array;
            for (const auto &element : value.toArray()) {
                appendValue(array, element);
            }
            table.insert(key, std::move(array));
        } else if (value.isBool()) {
            table.insert(key, value.toBool());
        } else if (value.isDouble() && value.toInteger(0) == value.toInteger(1)) {
            table.insert(key, static_cast<std::int64_t>(value.toInteger()));
        } else if (value.isDouble()) {
            table.insert(key, value.toDouble());
        } else if (value.isString()) {
            table.insert(key, value.toString().toStdString());
        }
    }
    return table;
}
}

auto jsonFromToml(std::string_view file, std::string_view text) -> Result<QJsonObject>
{
    try {
        return jsonOf(toml::parse(text, file));
    } catch (const toml::parse_error &error) {
        return failure(ErrorCode::BadSettings,
                       std::string(file) + ":" + std::to_string(error.source().begin.line) + ": not valid TOML: " + std::string(error.description()));
    }
}

auto tomlFromJson(const QJsonObject &object) -> std::string
{
    std::ostringstream text;
    text << tomlOf(object) << '\n';
    return text.str();
}
}
