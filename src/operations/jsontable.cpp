#include "burdockspur/impl/jsontable.hpp"

#include "burdockspur/impl/jsonreader.hpp"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <array>
#include <vector>

namespace Burdockspur
{
namespace
{
using Row = std::vector<std::string>;

[[nodiscard]] auto cellText(const QJsonValue &value) -> std::string
{
    std::string text;
    if (value.isString()) {
        text = value.toString().toStdString();
    } else if (!value.isUndefined() && !value.isNull()) {
        const auto json = QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact);
        text = json.mid(1, json.size() - 2).toStdString();
    }
    std::ranges::replace_if(
        text,
        [](char character) {
            return static_cast<unsigned char>(character) < ' ' || character == 0x7F;
        },
        ' ');
    return text.empty() ? "-" : text;
}

auto printRows(std::ostream &out, const std::vector<Row> &rows) -> void
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const auto &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            if (i + 1 < row.size()) {
                line.append(widths[i] - row[i].size() + 2, ' ');
            }
        }
        out << line << '\n';
    }
}

[[nodiscard]] auto isTable(const QJsonValue &value) -> bool
{
    const auto array = value.toArray();
    return !array.isEmpty() && std::ranges::all_of(array, [](const auto &entry) {
        return entry.isObject();
    });
}

[[nodiscard]] auto columnNames(const QJsonArray &entries) -> Row
{
    Row columns;
    for (const auto &entry : entries) {
        for (const auto &key : entry.toObject().keys()) {
            if (std::ranges::find(columns, key.toStdString()) == columns.end()) {
                columns.push_back(key.toStdString());
            }
        }
    }
    // The columns that identify an entry come first.
    constexpr std::array<std::string_view, 4> leading{"name", "team", "job_id", "shard"};
    std::ranges::stable_partition(columns, [&leading](const auto &column) {
        return std::ranges::find(leading, std::string_view(column)) != leading.end();
    });
    return columns;
}

auto printTable(std::ostream &out, std::string_view title, const QJsonArray &entries) -> void
{
    const auto columns = columnNames(entries);
    std::vector<Row> rows{columns};
    for (const auto &entry : entries) {
        Row row;
        for (const auto &column : columns) {
            row.push_back(cellText(entry.toObject().value(jsonString(column))));
        }
        rows.push_back(std::move(row));
    }
    out << '\n' << title << ":\n";
    printRows(out, rows);
}
}

auto printJson(std::ostream &out, const QJsonObject &object) -> void
{
    std::vector<Row> lines;
    for (auto entry = object.begin(); entry != object.end(); ++entry) {
        if (!isTable(entry.value()) && !entry.value().isObject()) {
            lines.push_back({entry.key().toStdString(), cellText(entry.value())});
        }
    }
    if (!lines.empty()) {
        printRows(out, lines);
    }
    for (auto entry = object.begin(); entry != object.end(); ++entry) {
        if (isTable(entry.value())) {
            printTable(out, entry.key().toStdString(), entry.value().toArray());
        } else if (entry.value().isObject()) {
            out << '\n' << entry.key().toStdString() << ":\n";
            printJson(out, entry.value().toObject());
        }
    }
}
}
