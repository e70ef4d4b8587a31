#include "standins/tablemodel.hpp"

#include <set>

namespace Burdockspur::Standins
{
namespace
{
/// @brief True when each key is written or deleted at most once, and has at most one condition.
[[nodiscard]] auto isWellFormed(const Transaction &transaction) -> bool
{
    std::set<std::string_view> written;
    std::set<std::string_view> compared;
    bool distinct = true;
    for (const auto &put : transaction.m_puts) {
        distinct = written.insert(put.m_key).second && distinct;
    }
    for (const auto &key : transaction.m_deletes) {
        distinct = written.insert(key).second && distinct;
    }
    for (const auto &condition : transaction.m_conditions) {
        distinct = compared.insert(condition.m_key).second && distinct;
    }
    return distinct;
}
}

auto TableModel::commit(const Transaction &transaction) -> CommitResult
{
    CommitResult result;
    if (!isWellFormed(transaction)) {
        result.m_status = CommitResult::Status::NotApplied;
        result.m_error = {ErrorCode::BadRequest, "a key occurs twice in the transaction"};
        return result;
    }
    for (const auto &condition : transaction.m_conditions) {
        const auto row = read(condition.m_key).value_or(TableRow{condition.m_key, 0, {}});
        if (row.m_version != condition.m_version) {
            result.m_rows.push_back(row);
        }
    }
    if (!result.m_rows.empty()) {
        result.m_status = CommitResult::Status::Conflict;
        return result;
    }
    for (const auto &put : transaction.m_puts) {
        auto &row = m_rows[put.m_key];
        row.m_value = put.m_value;
        result.m_rows.push_back({put.m_key, ++row.m_version, {}});
    }
    for (const auto &key : transaction.m_deletes) {
        m_rows.erase(key);
    }
    result.m_status = CommitResult::Status::Committed;
    return result;
}

auto TableModel::read(std::string_view key) const -> std::optional<TableRow>
{
    const auto position = m_rows.find(key);
    if (position == m_rows.end()) {
        return std::nullopt;
    }
    return TableRow{position->first, position->second.m_version, position->second.m_value};
}

auto TableModel::scan(std::string_view prefix, std::string_view after, std::size_t limit) const -> std::vector<TableRow>
{
    std::vector<TableRow> rows;
    auto position = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
    for (; position != m_rows.end() && rows.size() < limit && position->first.starts_with(prefix); ++position) {
        rows.push_back({position->first, position->second.m_version, position->second.m_value});
    }
    return rows;
}
}
