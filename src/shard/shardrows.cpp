#include "burdockspur/shard/shardrows.hpp"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>
#include <charconv>

namespace Burdockspur
{
namespace
{
constexpr std::size_t sequenceDigits = 16;

[[nodiscard]] auto objectOf(std::string_view text) -> Result<QJsonObject>
{
    const auto document = QJsonDocument::fromJson(QByteArray(text.data(), static_cast<qsizetype>(text.size())));
    if (!document.isObject()) {
        return failure(ErrorCode::AnswerCorrupt, "a shard's row is not a JSON object");
    }
    return document.object();
}

[[nodiscard]] auto textOf(const QJsonObject &object) -> std::string
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

[[nodiscard]] auto member(const QJsonObject &object, QLatin1String name) -> std::string
{
    return object.value(name).toString().toStdString();
}

[[nodiscard]] auto number(const QJsonObject &object, QLatin1String name) -> std::uint64_t
{
    return static_cast<std::uint64_t>(object.value(name).toInteger());
}
}

auto shardRowKey(ShardId shard, ShardRow row, std::uint64_t sequence) -> std::string
{
    if (row == ShardRow::Journal) {
        const std::string digits = std::to_string(sequence);
        return shardJournalPrefix(shard) + std::string(sequenceDigits - std::min(sequenceDigits, digits.size()), '0') + digits;
    }
    return "shard/" + std::to_string(shard) + (row == ShardRow::Owner ? "/owner" : "/snapshot");
}

auto shardEpochKey(ShardId shard) -> std::string
{
    return "shard/" + std::to_string(shard) + "/epoch";
}

auto shardJournalPrefix(ShardId shard) -> std::string
{
    return "shard/" + std::to_string(shard) + "/journal/";
}

auto journalSequenceOf(std::string_view key) noexcept -> std::uint64_t
{
    std::uint64_t sequence = 0;
    const auto digits = key.substr(key.rfind('/') + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), sequence);
    return parsed.ec == std::errc() ? sequence : 0;
}

auto encodeOwnerRow(const OwnerRow &row) -> std::string
{
    return textOf({{"epoch", static_cast<qint64>(row.m_ownership.m_epoch)},
                   {"owner", QString::fromStdString(row.m_ownership.m_owner)},
                   {"heartbeat", static_cast<qint64>(row.m_ownership.m_heartbeat)},
                   {"operation", QString::fromStdString(row.m_operation)}});
}

auto decodeOwnerRow(std::string_view text) -> Result<OwnerRow>
{
    const auto object = objectOf(text);
    if (!object) {
        return std::unexpected(object.error());
    }
    OwnerRow row;
    row.m_ownership.m_epoch = number(*object, QLatin1String("epoch"));
    row.m_ownership.m_owner = member(*object, QLatin1String("owner"));
    row.m_ownership.m_heartbeat = number(*object, QLatin1String("heartbeat"));
    row.m_operation = member(*object, QLatin1String("operation"));
    return row;
}

auto encodeSnapshotRow(const SnapshotRow &row) -> std::string
{
    return textOf({{"sequence", static_cast<qint64>(row.m_sequence)},
                   {"object", QString::fromStdString(row.m_object)},
                   {"operation", QString::fromStdString(row.m_operation)}});
}

auto decodeSnapshotRow(std::string_view text) -> Result<SnapshotRow>
{
    const auto object = objectOf(text);
    if (!object) {
        return std::unexpected(object.error());
    }
    return SnapshotRow{.m_sequence = number(*object, QLatin1String("sequence")),
                       .m_object = member(*object, QLatin1String("object")),
                       .m_operation = member(*object, QLatin1String("operation"))};
}
}
