#include "burdockspur/impl/jsonreader.hpp"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace Burdockspur
{
namespace
{
[[nodiscard]] auto limitText(double limit) -> std::string
{
    std::ostringstream text;
    text.precision(std::numeric_limits<double>::max_digits10);
    text << limit;
    return text.str();
}

[[nodiscard]] auto rangeText(const SettingRange &range) -> std::string
{
    const bool hasMinimum = std::isfinite(range.m_minimum);
    const bool hasMaximum = std::isfinite(range.m_maximum);
    if (hasMinimum && hasMaximum) {
        return ", " + limitText(range.m_minimum) + " to " + limitText(range.m_maximum);
    }
    if (hasMinimum) {
        return ", at least " + limitText(range.m_minimum);
    }
    return hasMaximum ? ", at most " + limitText(range.m_maximum) : "";
}

[[nodiscard]] auto isInRange(const SettingRange &range, double value) noexcept -> bool
{
    return value >= range.m_minimum && value <= range.m_maximum;
}

[[nodiscard]] auto foundText(const QJsonValue &value) -> std::string
{
    constexpr qsizetype maxShownBytes = 60;
    if (value.isUndefined()) {
        return "nothing";
    }
    if (value.isObject()) {
        return "an object";
    }
    if (value.isArray()) {
        return "an array";
    }
    // QJsonDocument prints only arrays and objects, so the value is printed in an array and the brackets are removed.
    auto text = QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact);
    text = text.mid(1, text.size() - 2);
    return text.size() > maxShownBytes ? text.left(maxShownBytes).toStdString() + "..." : text.toStdString();
}
}

JsonReader::JsonReader(QJsonObject object, std::string path, std::vector<std::string> &errors)
    : m_object(std::move(object))
    , m_path(std::move(path))
    , m_errors(&errors)
{
}

auto JsonReader::parse(std::string_view text, std::vector<std::string> &errors) -> std::optional<JsonReader>
{
    QJsonParseError error;
    const auto document = QJsonDocument::fromJson(QByteArray(text.data(), static_cast<qsizetype>(text.size())), &error);
    if (error.error != QJsonParseError::NoError) {
        errors.push_back("not valid JSON at byte " + std::to_string(error.offset) + ": " + error.errorString().toStdString());
        return std::nullopt;
    }
    if (!document.isObject()) {
        errors.emplace_back("expected one JSON object");
        return std::nullopt;
    }
    return JsonReader(document.object(), "", errors);
}

auto JsonReader::has(std::string_view name) const -> bool
{
    return !value(name).isUndefined();
}

auto JsonReader::text(std::string_view name, const SettingRange &length) -> std::optional<std::string>
{
    const auto found = value(name);
    auto text = found.toString().toStdString();
    if (!found.isString() || !isInRange(length, static_cast<double>(text.size()))) {
        const auto range = rangeText(length);
        report(name, "a text" + range + (range.empty() ? "" : " bytes"));
        return std::nullopt;
    }
    return text;
}

auto JsonReader::integer(std::string_view name, const SettingRange &range) -> std::optional<std::int64_t>
{
    const auto found = value(name);
    // toInteger() returns its default for a number with a fraction or beyond 64 bits; two different defaults detect that.
    const auto number = found.toInteger(0);
    if (!found.isDouble() || number != found.toInteger(1) || !isInRange(range, static_cast<double>(number))) {
        report(name, "an integer" + rangeText(range));
        return std::nullopt;
    }
    return number;
}

auto JsonReader::number(std::string_view name, const SettingRange &range) -> std::optional<double>
{
    const auto found = value(name);
    if (!found.isDouble() || !isInRange(range, found.toDouble())) {
        report(name, "a number" + rangeText(range));
        return std::nullopt;
    }
    return found.toDouble();
}

auto JsonReader::boolean(std::string_view name) -> std::optional<bool>
{
    const auto found = value(name);
    if (!found.isBool()) {
        report(name, "true or false");
        return std::nullopt;
    }
    return found.toBool();
}

auto JsonReader::choice(std::string_view name, std::span<const std::string_view> names) -> std::optional<std::size_t>
{
    const auto text = value(name).toString().toStdString();
    const auto found = std::ranges::find(names, std::string_view(text));
    if (found != names.end()) {
        return static_cast<std::size_t>(found - names.begin());
    }
    std::string expected;
    for (const auto allowed : names) {
        expected.append(expected.empty() ? "" : " or ").append("\"").append(allowed).append("\"");
    }
    report(name, expected);
    return std::nullopt;
}

auto JsonReader::object(std::string_view name) -> std::optional<JsonReader>
{
    const auto found = value(name);
    if (!found.isObject()) {
        report(name, "an object");
        return std::nullopt;
    }
    return JsonReader(found.toObject(), pathOf(name), *m_errors);
}

auto JsonReader::objects(std::string_view name) -> std::vector<JsonReader>
{
    const auto found = value(name);
    if (!found.isArray()) {
        report(name, "an array of objects");
        return {};
    }
    std::vector<JsonReader> readers;
    for (const auto &entry : found.toArray()) {
        const auto path = pathOf(name) + "[" + std::to_string(readers.size()) + "]";
        if (!entry.isObject()) {
            m_errors->push_back(path + ": found " + foundText(entry) + ", expected an object");
            return {};
        }
        readers.emplace_back(entry.toObject(), path, *m_errors);
    }
    return readers;
}

auto JsonReader::texts(std::string_view name, const SettingRange &length) -> std::vector<std::string>
{
    const auto found = value(name);
    std::vector<std::string> texts;
    for (const auto &entry : found.toArray()) {
        texts.push_back(entry.toString().toStdString());
        if (!entry.isString() || !isInRange(length, static_cast<double>(texts.back().size()))) {
            report(name, "an array of texts" + rangeText(length) + " bytes");
            return {};
        }
    }
    if (!found.isArray()) {
        report(name, "an array of texts");
    }
    return texts;
}

auto JsonReader::refuseUnknown(std::span<const std::string_view> known) -> void
{
    for (const auto &key : m_object.keys()) {
        const auto name = key.toStdString();
        if (std::ranges::find(known, std::string_view(name)) == known.end()) {
            std::string expected;
            for (const auto allowed : known) {
                expected.append(expected.empty() ? "" : ", ").append(allowed);
            }
            m_errors->push_back(pathOf(name) + ": unknown member, expected one of: " + expected);
        }
    }
}

auto JsonReader::report(std::string_view name, std::string_view expected) -> void
{
    m_errors->push_back(pathOf(name) + ": found " + foundText(value(name)) + ", expected " + std::string(expected));
}

auto JsonReader::value(std::string_view name) const -> QJsonValue
{
    return m_object.value(QLatin1String(name.data(), static_cast<qsizetype>(name.size())));
}

auto JsonReader::pathOf(std::string_view name) const -> std::string
{
    return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
}

auto joinedErrors(std::span<const std::string> errors, std::string_view separator) -> std::string
{
    std::string text;
    for (const auto &error : errors) {
        text.append(text.empty() ? "" : separator).append(error);
    }
    return text;
}

auto jsonText(const QJsonObject &object) -> std::string
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

auto jsonString(std::string_view text) -> QString
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}
}
