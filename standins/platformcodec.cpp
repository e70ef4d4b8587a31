#include "standins/platformcodec.hpp"

#include "standins/jsontext.hpp"

#include <QJsonArray>
#include <QJsonObject>

#include <array>

namespace Burdockspur::Standins
{
namespace
{
/// @brief Maps the name of a JSON member to an integer member of a struct.
template<typename Owner, typename Number>
struct NumberEntry {
    QLatin1String m_name;
    Number Owner::*m_number;
};

constexpr std::array<NumberEntry<HostRecord, std::uint16_t>, 2> portTable{{
    {QLatin1String("port"), &HostRecord::m_port},
    {QLatin1String("frame_port"), &HostRecord::m_framePort},
}};

constexpr std::array<NumberEntry<HostRecord, std::uint32_t>, 2> boundTable{{
    {QLatin1String("slots"), &HostRecord::m_slots},
    {QLatin1String("connections"), &HostRecord::m_connections},
}};

constexpr std::array<NumberEntry<Resources, std::int64_t>, 3> capacityTable{{
    {QLatin1String("cpu_millis"), &Resources::m_cpuMillis},
    {QLatin1String("memory_mb"), &Resources::m_memoryMb},
    {QLatin1String("accelerators"), &Resources::m_accelerators},
}};

template<typename Owner, typename Number, std::size_t size>
auto decodeNumbers(const std::array<NumberEntry<Owner, Number>, size> &table, const QJsonObject &object, Owner &owner) -> void
{
    for (const auto &entry : table) {
        owner.*entry.m_number = static_cast<Number>(object.value(entry.m_name).toInteger());
    }
}

template<typename Owner, typename Number, std::size_t size>
auto encodeNumbers(const std::array<NumberEntry<Owner, Number>, size> &table, const Owner &owner, QJsonObject &object) -> void
{
    for (const auto &entry : table) {
        object.insert(entry.m_name, static_cast<qint64>(owner.*entry.m_number));
    }
}

[[nodiscard]] auto encodeVersion(const TableRow &row) -> QJsonObject
{
    return {{QStringLiteral("key"), jsonString(row.m_key)}, {QStringLiteral("version"), static_cast<qint64>(row.m_version)}};
}

[[nodiscard]] auto encodeContent(const TableRow &row) -> QJsonObject
{
    auto object = encodeVersion(row);
    object.insert(QStringLiteral("value"), jsonString(row.m_value));
    return object;
}

/// @brief True when a member is a non-empty string, as keys and host names must be.
[[nodiscard]] auto hasText(const QJsonObject &object, QLatin1String member) -> bool
{
    return !object.value(member).toString().isEmpty();
}

[[nodiscard]] auto parseHostState(std::string_view name) -> Result<HostState>
{
    if (name == "live") {
        return HostState::Live;
    }
    if (name == "leaving") {
        return HostState::Leaving;
    }
    return failure(ErrorCode::BadRequest, "state is neither live nor leaving");
}

[[nodiscard]] auto decodeHost(const QJsonObject &object) -> Result<HostRecord>
{
    HostRecord host;
    const auto role = textMember(object, QLatin1String("role"));
    const auto state = parseHostState(textMember(object, QLatin1String("state")));
    if (!state) {
        return std::unexpected(state.error());
    }
    if (!hasText(object, QLatin1String("name")) || !hasText(object, QLatin1String("address")) || (role != "worker" && role != "entry")) {
        return failure(ErrorCode::BadRequest, "a host has no name, no address or a role other than worker and entry");
    }
    host.m_name = textMember(object, QLatin1String("name"));
    host.m_address = textMember(object, QLatin1String("address"));
    host.m_role = role == "entry" ? HostRole::Entry : HostRole::Worker;
    host.m_state = *state;
    host.m_place.m_region = textMember(object, QLatin1String("region"));
    host.m_place.m_zone = textMember(object, QLatin1String("zone"));
    host.m_place.m_rack = textMember(object, QLatin1String("rack"));
    decodeNumbers(portTable, object, host);
    decodeNumbers(boundTable, object, host);
    decodeNumbers(capacityTable, object, host.m_capacity);
    return host;
}

[[nodiscard]] auto encodeHost(const HostRecord &host) -> QJsonObject
{
    const bool isEntry = host.m_role == HostRole::Entry;
    QJsonObject object{{QStringLiteral("name"), jsonString(host.m_name)},
                       {QStringLiteral("role"), isEntry ? QStringLiteral("entry") : QStringLiteral("worker")},
                       {QStringLiteral("state"), host.m_state == HostState::Live ? QStringLiteral("live") : QStringLiteral("leaving")},
                       {QStringLiteral("address"), jsonString(host.m_address)},
                       {QStringLiteral("region"), jsonString(host.m_place.m_region)},
                       {QStringLiteral("zone"), jsonString(host.m_place.m_zone)},
                       {QStringLiteral("rack"), jsonString(host.m_place.m_rack)}};
    encodeNumbers(portTable, host, object);
    encodeNumbers(boundTable, host, object);
    encodeNumbers(capacityTable, host.m_capacity, object);
    if (!isEntry) {
        object.remove(QLatin1String("frame_port"));
    }
    return object;
}
}

auto decodeTransaction(std::string_view body) -> Result<Transaction>
{
    const auto object = parseObject(body);
    if (!object) {
        return std::unexpected(object.error());
    }
    Transaction transaction;
    for (const auto &value : object->value(QLatin1String("conditions")).toArray()) {
        const auto condition = value.toObject();
        const auto version = condition.value(QLatin1String("version")).toInteger(-1);
        if (!hasText(condition, QLatin1String("key")) || version < 0) {
            return failure(ErrorCode::BadRequest, "a condition has no key or no version");
        }
        transaction.m_conditions.push_back({textMember(condition, QLatin1String("key")), static_cast<std::uint64_t>(version)});
    }
    for (const auto &value : object->value(QLatin1String("puts")).toArray()) {
        const auto put = value.toObject();
        if (!hasText(put, QLatin1String("key")) || !put.value(QLatin1String("value")).isString()) {
            return failure(ErrorCode::BadRequest, "a put has no key or no value");
        }
        transaction.m_puts.push_back({textMember(put, QLatin1String("key")), textMember(put, QLatin1String("value"))});
    }
    for (const auto &value : object->value(QLatin1String("deletes")).toArray()) {
        if (value.toString().isEmpty()) {
            return failure(ErrorCode::BadRequest, "a delete has no key");
        }
        transaction.m_deletes.push_back(value.toString().toStdString());
    }
    return transaction;
}

auto encodeCommitResult(const CommitResult &result) -> HttpResponse
{
    if (result.m_status == CommitResult::Status::NotApplied) {
        return badRequest(result.m_error.m_message);
    }
    const bool isConflict = result.m_status == CommitResult::Status::Conflict;
    QJsonArray rows;
    for (const auto &row : result.m_rows) {
        rows.append(isConflict ? encodeContent(row) : encodeVersion(row));
    }
    if (isConflict) {
        constexpr int conflict = 409;
        return objectResponse(conflict, {{QStringLiteral("code"), QStringLiteral("conflict")}, {QStringLiteral("conflicts"), rows}});
    }
    return objectResponse(200, {{QStringLiteral("versions"), rows}});
}

auto encodeRow(const TableRow &row) -> HttpResponse
{
    return objectResponse(200, encodeContent(row));
}

auto encodeRows(std::span<const TableRow> rows) -> HttpResponse
{
    QJsonArray array;
    for (const auto &row : rows) {
        array.append(encodeContent(row));
    }
    return objectResponse(200, {{QStringLiteral("rows"), array}});
}

auto decodeHosts(std::string_view body) -> Result<std::vector<HostRecord>>
{
    const auto object = parseObject(body);
    if (!object) {
        return std::unexpected(object.error());
    }
    if (!object->value(QLatin1String("hosts")).isArray()) {
        return failure(ErrorCode::BadRequest, "hosts is not an array");
    }
    std::vector<HostRecord> hosts;
    for (const auto &value : object->value(QLatin1String("hosts")).toArray()) {
        auto host = decodeHost(value.toObject());
        if (!host) {
            return std::unexpected(std::move(host.error()));
        }
        hosts.push_back(std::move(*host));
    }
    return hosts;
}

auto decodeHostState(std::string_view body) -> Result<HostState>
{
    const auto object = parseObject(body);
    return object ? parseHostState(textMember(*object, QLatin1String("state"))) : std::unexpected(object.error());
}

auto encodeHosts(const HostListing &listing) -> HttpResponse
{
    QJsonArray hosts;
    for (const auto &host : listing.m_hosts) {
        hosts.append(encodeHost(host));
    }
    return objectResponse(200, {{QStringLiteral("generation"), static_cast<qint64>(listing.m_generation)}, {QStringLiteral("hosts"), hosts}});
}
}
