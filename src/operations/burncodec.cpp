#include "burdockspur/impl/burncodec.hpp"

#include "burdockspur/impl/jsonfield.hpp"

#include <QJsonArray>

#include <array>

namespace Burdockspur
{
namespace
{
constexpr SettingRange textLength{0, 256};
constexpr SettingRange countRange{0, 9e15};
constexpr SettingRange percentRange{0, 100};
constexpr SettingRange windowRange{1, 1e9};

constexpr std::array<JsonField<BurnCount>, 3> countFields{{
    {"requests", &memberOf<BurnCount, &BurnCount::m_requests>, countRange},
    {"slow", &memberOf<BurnCount, &BurnCount::m_slow>, countRange},
    {"failed", &memberOf<BurnCount, &BurnCount::m_failed>, countRange},
}};

constexpr std::array<JsonField<BurnCause>, 5> causeFields{{
    {"kind", &memberOf<BurnCause, &BurnCause::m_kind>, textLength},
    {"name", &memberOf<BurnCause, &BurnCause::m_name>, textLength},
    {"requests", &memberOf<BurnCause, &BurnCause::m_count, &BurnCount::m_requests>, countRange},
    {"slow", &memberOf<BurnCause, &BurnCause::m_count, &BurnCount::m_slow>, countRange},
    {"failed", &memberOf<BurnCause, &BurnCause::m_count, &BurnCount::m_failed>, countRange},
}};

constexpr std::array<JsonField<ServiceBurn>, 3> serviceFields{{
    {"name", &memberOf<ServiceBurn, &ServiceBurn::m_service>, textLength},
    {"latency_target_ms", &memberOf<ServiceBurn, &ServiceBurn::m_latencyTargetMs>, countRange},
    {"objective_percent", &memberOf<ServiceBurn, &ServiceBurn::m_objectivePercent>, percentRange},
}};

template<typename Object>
[[nodiscard]] auto arrayOf(std::span<const JsonField<Object>> table, const std::vector<Object> &objects) -> QJsonArray
{
    QJsonArray array;
    for (const auto &object : objects) {
        array.append(writeFields<Object>(table, object));
    }
    return array;
}

template<typename Object>
[[nodiscard]] auto objectsOf(JsonReader &parent, std::string_view name, std::span<const JsonField<Object>> table) -> std::vector<Object>
{
    std::vector<Object> objects;
    for (auto &reader : parent.objects(name)) {
        readFields<Object>(reader, table, objects.emplace_back());
    }
    return objects;
}

[[nodiscard]] auto countOf(JsonReader &parent, std::string_view name) -> BurnCount
{
    BurnCount count;
    if (auto reader = parent.object(name)) {
        readFields<BurnCount>(*reader, countFields, count);
    }
    return count;
}

// Two decimals, for the tables that people read.
[[nodiscard]] auto roundedText(double value) -> QJsonValue
{
    return QString::number(value, 'f', 2);
}

[[nodiscard]] auto tableRow(const ServiceBurn &service) -> QJsonObject
{
    return {{"name", jsonString(service.m_service)},
            {"objective_percent", service.m_objectivePercent},
            {"target_ms", static_cast<qint64>(service.m_latencyTargetMs)},
            {"requests", static_cast<qint64>(service.m_long.m_requests)},
            {"slow", static_cast<qint64>(service.m_long.m_slow)},
            {"failed", static_cast<qint64>(service.m_long.m_failed)},
            {"burn_short", roundedText(service.burnRate(service.m_short))},
            {"burn_long", roundedText(service.burnRate(service.m_long))},
            {"budget_left_percent", roundedText(service.budgetLeftPercent())}};
}
}

auto burnToJson(const BurnReport &report) -> QJsonObject
{
    QJsonArray services;
    for (const auto &service : report.m_services) {
        auto object = writeFields<ServiceBurn>(serviceFields, service);
        object.insert("short", writeFields<BurnCount>(countFields, service.m_short));
        object.insert("long", writeFields<BurnCount>(countFields, service.m_long));
        object.insert("burn_short", service.burnRate(service.m_short));
        object.insert("burn_long", service.burnRate(service.m_long));
        object.insert("budget_left_percent", service.budgetLeftPercent());
        object.insert("periods", arrayOf<BurnCount>(countFields, service.m_periods));
        object.insert("causes", arrayOf<BurnCause>(causeFields, service.m_causes));
        services.append(object);
    }
    return {{"short_window_ms", static_cast<qint64>(report.m_shortWindow.count())},
            {"long_window_ms", static_cast<qint64>(report.m_longWindow.count())},
            {"services", services}};
}

auto burnFromJson(const QJsonObject &object) -> Result<BurnReport>
{
    std::vector<std::string> errors;
    JsonReader reader(object, {}, errors);
    BurnReport report;
    report.m_shortWindow = Milliseconds(reader.integer("short_window_ms", windowRange).value_or(0));
    report.m_longWindow = Milliseconds(reader.integer("long_window_ms", windowRange).value_or(0));
    for (auto &entry : reader.objects("services")) {
        ServiceBurn service;
        readFields<ServiceBurn>(entry, serviceFields, service);
        service.m_short = countOf(entry, "short");
        service.m_long = countOf(entry, "long");
        service.m_periods = objectsOf<BurnCount>(entry, "periods", countFields);
        service.m_causes = objectsOf<BurnCause>(entry, "causes", causeFields);
        report.m_services.push_back(std::move(service));
    }
    if (!errors.empty()) {
        return failure(ErrorCode::BadRequest, "the burn report of the entry daemon is malformed: " + joinedErrors(errors, "; "));
    }
    return report;
}

auto burnTables(const BurnReport &report) -> QJsonObject
{
    constexpr std::int64_t millisecondsPerMinute = 60'000;
    QJsonArray services;
    QJsonArray causes;
    for (const auto &service : report.m_services) {
        services.append(tableRow(service));
        for (const auto &cause : service.m_causes) {
            auto row = writeFields<BurnCause>(causeFields, cause);
            row.remove("requests");
            row.insert("service", jsonString(service.m_service));
            causes.append(row);
        }
    }
    return {{"short_window_min", static_cast<qint64>(report.m_shortWindow.count() / millisecondsPerMinute)},
            {"long_window_min", static_cast<qint64>(report.m_longWindow.count() / millisecondsPerMinute)},
            {"services", services},
            {"causes", causes}};
}
}
