#include "burdockspur/port/httptablestore.hpp"

#include "burdockspur/impl/jsonfield.hpp"

#include <QByteArray>
#include <QJsonArray>

#include <algorithm>
#include <array>
#include <limits>
#include <optional>

namespace Burdockspur
{
namespace
{
constexpr std::array<JsonField<TableRow>, 2> versionFields{{
    {"key", &memberOf<TableRow, &TableRow::m_key>, {1, 1024}},
    {"version", &memberOf<TableRow, &TableRow::m_version>, {}},
}};

constexpr SettingRange anyLength{};

[[nodiscard]] auto encodedValue(std::string_view bytes) -> QString
{
    return QString::fromLatin1(QByteArray::fromRawData(bytes.data(), static_cast<qsizetype>(bytes.size())).toBase64());
}

auto readValue(JsonReader &reader, TableRow &row) -> void
{
    const auto text = reader.text("value", anyLength);
    if (!text) {
        return;
    }
    auto decoded = QByteArray::fromBase64Encoding(QByteArray::fromStdString(*text), QByteArray::AbortOnBase64DecodingErrors);
    if (!decoded) {
        reader.report("value", "base64");
        return;
    }
    row.m_value = decoded.decoded.toStdString();
}

[[nodiscard]] auto readRow(JsonReader &reader) -> TableRow
{
    TableRow row;
    readFields<TableRow>(reader, versionFields, row);
    // An absent row, which a conflict can report, has no value.
    if (row.m_version > 0) {
        readValue(reader, row);
    }
    return row;
}

[[nodiscard]] auto readRows(JsonReader &reader, std::string_view name, bool withValues) -> std::vector<TableRow>
{
    std::vector<TableRow> rows;
    for (auto &entry : reader.objects(name)) {
        TableRow row;
        if (withValues) {
            row = readRow(entry);
        } else {
            readFields<TableRow>(entry, versionFields, row);
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

[[nodiscard]] auto encodeTransaction(const Transaction &transaction) -> std::string
{
    QJsonArray conditions;
    for (const auto &condition : transaction.m_conditions) {
        conditions.append(QJsonObject{{"key", jsonString(condition.m_key)}, {"version", static_cast<qint64>(condition.m_version)}});
    }
    QJsonArray puts;
    for (const auto &put : transaction.m_puts) {
        puts.append(QJsonObject{{"key", jsonString(put.m_key)}, {"value", encodedValue(put.m_value)}});
    }
    QJsonArray deletes;
    for (const auto &key : transaction.m_deletes) {
        deletes.append(jsonString(key));
    }
    return jsonText(QJsonObject{{"conditions", conditions}, {"puts", puts}, {"deletes", deletes}});
}

constexpr std::string_view commitCall = "POST /v1/transactions";

[[nodiscard]] auto unknownCommit(Error error) -> CommitResult
{
    return {CommitResult::Status::Unknown, {}, std::move(error)};
}

// Decodes the rows of an answer; the commit is Unknown when the row of a written key is missing.
[[nodiscard]] auto commitWithRows(CommitResult::Status status, const HttpResponse &response, std::string_view member, std::span<const std::string> keys)
    -> CommitResult
{
    std::vector<std::string> errors;
    auto reader = JsonReader::parse(response.m_body, errors);
    std::vector<TableRow> rows;
    if (reader) {
        rows = readRows(*reader, member, status == CommitResult::Status::Conflict);
    }
    const bool isComplete = status == CommitResult::Status::Conflict ? !rows.empty() : std::ranges::all_of(keys, [&rows](const auto &key) {
        const auto row = std::ranges::find(rows, key, &TableRow::m_key);
        return row != rows.end() && row->m_version > 0;
    });
    if (errors.empty() && !isComplete) {
        errors.push_back(std::string(member) + ": a row of the transaction is missing");
    }
    return errors.empty() ? CommitResult{status, std::move(rows), {}} : unknownCommit(corruptAnswer(commitCall, joinedErrors(errors, "; ")));
}

[[nodiscard]] auto decodeCommit(const HttpReply &reply, std::span<const std::string> putKeys) -> CommitResult
{
    constexpr int ok = 200;
    constexpr int conflict = 409;
    constexpr int rateLimited = 429;
    constexpr int unavailable = 503;
    if (!reply) {
        const auto status = reply.error().m_sent ? CommitResult::Status::Unknown : CommitResult::Status::NotApplied;
        return {status, {}, errorOfReply(reply, commitCall)};
    }
    switch (reply->m_status) {
    case ok:
        return commitWithRows(CommitResult::Status::Committed, *reply, "versions", putKeys);
    case conflict:
        return commitWithRows(CommitResult::Status::Conflict, *reply, "conflicts", {});
    case rateLimited:
    case unavailable:
        return {CommitResult::Status::NotApplied, {}, errorOfReply(reply, commitCall)};
    default:
        return unknownCommit(errorOfReply(reply, commitCall));
    }
}

[[nodiscard]] auto decodeRow(const HttpReply &reply, std::string_view key) -> Result<std::vector<TableRow>>
{
    const std::string call = "GET /v1/rows/" + std::string(key);
    if (reply && reply->m_status == 404) {
        return std::vector<TableRow>();
    }
    if (!reply || reply->m_status != 200) {
        return std::unexpected(errorOfReply(reply, call));
    }
    std::vector<std::string> errors;
    auto reader = JsonReader::parse(reply->m_body, errors);
    TableRow row;
    if (reader) {
        row = readRow(*reader);
    }
    if (errors.empty() && (row.m_key != key || row.m_version == 0)) {
        errors.emplace_back("not the requested row");
    }
    if (!errors.empty()) {
        return std::unexpected(corruptAnswer(call, joinedErrors(errors, "; ")));
    }
    return std::vector<TableRow>{std::move(row)};
}

struct ScanRange {
    std::string m_prefix;
    std::string m_after;
    std::uint32_t m_limit = 0;
};

// True when all rows lie in the range, in key order; a row outside it would be read as part of a journal.
[[nodiscard]] auto isWithin(const ScanRange &range, std::span<const TableRow> rows) -> bool
{
    std::string_view previous = range.m_after;
    for (const auto &row : rows) {
        if (!row.m_key.starts_with(range.m_prefix) || row.m_key <= previous || row.m_version == 0) {
            return false;
        }
        previous = row.m_key;
    }
    return rows.size() <= range.m_limit;
}

[[nodiscard]] auto decodeScan(const HttpReply &reply, const ScanRange &range) -> Result<std::vector<TableRow>>
{
    const std::string call = "GET /v1/rows?prefix=" + range.m_prefix;
    if (!reply || reply->m_status != 200) {
        return std::unexpected(errorOfReply(reply, call));
    }
    std::vector<std::string> errors;
    auto reader = JsonReader::parse(reply->m_body, errors);
    std::vector<TableRow> rows;
    if (reader) {
        rows = readRows(*reader, "rows", true);
    }
    if (errors.empty() && !isWithin(range, rows)) {
        errors.emplace_back("rows outside the requested range, or not in key order");
    }
    if (!errors.empty()) {
        return std::unexpected(corruptAnswer(call, joinedErrors(errors, "; ")));
    }
    return rows;
}
}

HttpTableStore::HttpTableStore(HttpClient &client, HttpEndpoint endpoint, Duration timeout)
    : m_port(client, std::move(endpoint), timeout)
{
}

auto HttpTableStore::commit(const Transaction &transaction, CommitCallback callback) -> void
{
    std::vector<std::string> putKeys;
    putKeys.reserve(transaction.m_puts.size());
    for (const auto &put : transaction.m_puts) {
        putKeys.push_back(put.m_key);
    }
    m_port.call("POST", "/v1/transactions", encodeTransaction(transaction), [putKeys = std::move(putKeys), callback = std::move(callback)](HttpReply &&reply) {
        callback(decodeCommit(reply, putKeys));
    });
}

auto HttpTableStore::read(std::string_view key, RowsCallback callback) -> void
{
    m_port.call("GET", "/v1/rows/" + percentEncoded(key), "", [key = std::string(key), callback = std::move(callback)](HttpReply &&reply) {
        callback(decodeRow(reply, key));
    });
}

auto HttpTableStore::scan(std::string_view prefix, std::string_view after, std::uint32_t limit, RowsCallback callback) -> void
{
    ScanRange range{std::string(prefix), std::string(after), limit};
    auto target = "/v1/rows?prefix=" + percentEncoded(prefix) + "&after=" + percentEncoded(after) + "&limit=" + std::to_string(limit);
    m_port.call("GET", std::move(target), "", [range = std::move(range), callback = std::move(callback)](HttpReply &&reply) {
        callback(decodeScan(reply, range));
    });
}
}
