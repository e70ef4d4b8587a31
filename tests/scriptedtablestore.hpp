#pragma once

#include "burdockspur/port/tablestore.hpp"

#include <QTimer>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>

namespace Burdockspur::Testing
{
/// @brief A table in memory whose next operations fail as scripted by the test.
class ScriptedTableStore final : public TableStore
{
public:
    /// @brief Fault of a commit.
    enum class Fault : std::uint8_t {
        None,
        AnswerLost, ///< takes effect, but its result is unknown
        RequestLost, ///< takes no effect, and its result is unknown
        RequestDelayed, ///< takes effect just before the next commit, after its result was unknown
        RateLimited, ///< takes no effect and is reported as rate-limited
    };

    std::deque<Fault> m_commitFaults; ///< faults of the next commits, in order
    int m_failingReads = 0; ///< number of next reads that fail
    int m_reads = 0;
    int m_commits = 0;
    std::map<std::string, TableRow, std::less<>> m_rows;
    std::function<void()> m_beforeCommit; ///< called once, e.g. for a competing change
    std::function<void()> m_afterCommit; ///< called once, e.g. for a later change

    auto put(std::string_view key, std::string_view value) -> void
    {
        auto &row = m_rows[std::string(key)];
        row.m_key = key;
        row.m_value = value;
        ++row.m_version;
    }

    auto commit(const Transaction &transaction, CommitCallback callback) -> void override
    {
        ++m_commits;
        if (m_beforeCommit) {
            std::exchange(m_beforeCommit, nullptr)();
        }
        if (m_delayed) {
            static_cast<void>(apply(*std::exchange(m_delayed, std::nullopt)));
        }
        auto result = resultOf(transaction);
        if (m_afterCommit) {
            std::exchange(m_afterCommit, nullptr)();
        }
        later([callback = std::move(callback), result = std::move(result)]() mutable {
            callback(std::move(result));
        });
    }

    auto read(std::string_view key, RowsCallback callback) -> void override
    {
        ++m_reads;
        if (m_failingReads > 0) {
            --m_failingReads;
            later([callback = std::move(callback)] {
                callback(failure(ErrorCode::Unavailable, "scripted outage"));
            });
            return;
        }
        std::vector<TableRow> rows;
        if (const auto row = m_rows.find(key); row != m_rows.end()) {
            rows.push_back(row->second);
        }
        later([callback = std::move(callback), rows = std::move(rows)]() mutable {
            callback(std::move(rows));
        });
    }

    auto scan(std::string_view, std::string_view, std::uint32_t, RowsCallback callback) -> void override
    {
        later([callback = std::move(callback)] {
            callback(failure(ErrorCode::Internal, "not part of this table"));
        });
    }

private:
    static auto later(std::function<void()> function) -> void
    {
        QTimer::singleShot(0, std::move(function));
    }

    [[nodiscard]] auto nextFault() -> Fault
    {
        if (m_commitFaults.empty()) {
            return Fault::None;
        }
        const auto fault = m_commitFaults.front();
        m_commitFaults.pop_front();
        return fault;
    }

    [[nodiscard]] auto resultOf(const Transaction &transaction) -> CommitResult
    {
        const Error lost{ErrorCode::Timeout, "scripted loss"};
        switch (nextFault()) {
        case Fault::None:
            return apply(transaction);
        case Fault::AnswerLost:
            static_cast<void>(apply(transaction));
            return {CommitResult::Status::Unknown, {}, lost};
        case Fault::RequestLost:
            return {CommitResult::Status::Unknown, {}, lost};
        case Fault::RequestDelayed:
            m_delayed = transaction;
            return {CommitResult::Status::Unknown, {}, lost};
        case Fault::RateLimited:
            return {CommitResult::Status::NotApplied, {}, {ErrorCode::RateLimited, "scripted limit"}};
        }
        return {};
    }

    [[nodiscard]] auto apply(const Transaction &transaction) -> CommitResult
    {
        CommitResult result{CommitResult::Status::Committed, {}, {}};
        for (const auto &condition : transaction.m_conditions) {
            const auto row = m_rows.find(condition.m_key);
            const auto current = row == m_rows.end() ? TableRow{condition.m_key, 0, ""} : row->second;
            if (current.m_version != condition.m_version) {
                result.m_status = CommitResult::Status::Conflict;
                result.m_rows.push_back(current);
            }
        }
        if (result.m_status == CommitResult::Status::Conflict) {
            return result;
        }
        for (const auto &change : transaction.m_puts) {
            put(change.m_key, change.m_value);
            result.m_rows.push_back({change.m_key, m_rows[change.m_key].m_version, ""});
        }
        return result;
    }

    std::optional<Transaction> m_delayed;
};
}
