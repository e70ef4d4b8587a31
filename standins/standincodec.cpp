#include "standins/standincodec.hpp"

#include "standins/executionjournal.hpp"
#include "standins/jsontext.hpp"

#include <QJsonArray>

namespace Burdockspur::Standins
{
namespace
{
/// @brief Adds a string member; empty strings are left out to keep long journals small.
auto insertText(QJsonObject &object, const QString &name, std::string_view text) -> void
{
    if (!text.empty()) {
        object.insert(name, jsonString(text));
    }
}

[[nodiscard]] auto encodeEntry(const JournalEntry &entry) -> QJsonObject
{
    QJsonObject object{{QStringLiteral("sequence"), static_cast<qint64>(entry.m_sequence)},
                       {QStringLiteral("t_ms"), static_cast<qint64>(entry.m_wallMs)},
                       {QStringLiteral("event"), jsonString(entry.m_event)}};
    insertText(object, QStringLiteral("state"), entry.m_state);
    insertText(object, QStringLiteral("request"), entry.m_request);
    insertText(object, QStringLiteral("key"), entry.m_key);
    if (!entry.m_task.empty()) {
        object.insert(QStringLiteral("task"), jsonString(entry.m_task));
        object.insert(QStringLiteral("attempt"), static_cast<qint64>(entry.m_attempt));
        object.insert(QStringLiteral("shard"), static_cast<qint64>(entry.m_shard));
        object.insert(QStringLiteral("epoch"), static_cast<qint64>(entry.m_epoch));
    }
    return object;
}
}

auto decodeFault(std::string_view body) -> Result<NamedFault>
{
    const auto object = parseObject(body);
    if (!object) {
        return std::unexpected(object.error());
    }
    NamedFault named;
    named.m_name = textMember(*object, QLatin1String("name"));
    const auto value = object->value(QLatin1String("value"));
    const auto count = object->value(QLatin1String("count"));
    if (!value.isBool() && !value.isDouble()) {
        return failure(ErrorCode::BadRequest, "value is neither a number nor true or false");
    }
    named.m_fault.m_value = value.isBool() ? (value.toBool() ? 1 : 0) : value.toDouble();
    if (named.m_fault.m_value < 0) {
        return failure(ErrorCode::BadRequest, "value is below 0");
    }
    if (!count.isUndefined()) {
        if (count.toInteger() < 1) {
            return failure(ErrorCode::BadRequest, "count is below 1");
        }
        named.m_fault.m_count = static_cast<std::uint64_t>(count.toInteger());
    }
    named.m_fault.m_match = textMember(*object, QLatin1String("match"));
    return named;
}

auto encodeFault(const Fault &fault) -> QJsonObject
{
    QJsonObject object{{QStringLiteral("value"), fault.m_value}};
    if (fault.m_count) {
        object.insert(QStringLiteral("count"), static_cast<qint64>(*fault.m_count));
    }
    insertText(object, QStringLiteral("match"), fault.m_match);
    return object;
}

auto encodeJournal(const ExecutionJournal &journal, std::uint64_t after, std::size_t limit) -> QJsonObject
{
    QJsonArray entries;
    for (const auto &entry : journal.entries()) {
        if (entry.m_sequence > after && static_cast<std::size_t>(entries.size()) < limit) {
            entries.append(encodeEntry(entry));
        }
    }
    return {{QStringLiteral("last"), static_cast<qint64>(journal.last())}, {QStringLiteral("entries"), entries}};
}
}
