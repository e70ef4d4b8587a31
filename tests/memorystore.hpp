#pragma once

#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/port/changestore.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Burdockspur::Testing
{
/// @brief Simulates a store in virtual time with the platform's rules for transactions: conditions, one partition, at most 100 entries.
///
/// Transactions that break a rule are recorded in m_violations.
class MemoryStore final : public ChangeStore
{
public:
    /// @brief Fault of a transaction.
    enum class Fault : std::uint8_t {
        None,
        AnswerLost, ///< takes effect, but its result is unknown
        RequestLost, ///< takes no effect, and its result is unknown
        RequestLate, ///< takes effect seconds later, after its result was unknown
        Refused, ///< takes no effect and is reported as refused
    };

    std::function<Fault()> m_nextFault; ///< returns the fault of the next transaction; no faults when it is not set
    std::function<void()> m_beforeRead; ///< called just before a read is carried out
    std::vector<std::string> m_violations;
    std::map<std::string, std::size_t> m_maxOpen; ///< maximum number of transactions at the same time, by partition
    std::size_t m_transactions = 0;
    std::size_t m_listedBytes = 0; ///< bytes of the values in answers to list()

    auto put(std::string_view key, std::string value) -> void
    {
        m_rows.insert_or_assign(std::string(key), TableRow{std::string(key), ++m_version, std::move(value)});
    }

    auto drop(std::string_view key) -> void
    {
        m_rows.erase(std::string(key));
    }

    [[nodiscard]] auto contains(std::string_view key) const -> bool
    {
        return m_rows.contains(key);
    }

    /// @brief Number of rows of a table.
    [[nodiscard]] auto count(std::string_view table) const -> std::size_t
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_rows, [table](const auto &row) {
            return row.first.starts_with(std::string(table) + "/");
        }));
    }

    auto commit(const Transaction &transaction, CommitCallback callback) -> void override
    {
        ++m_transactions;
        const auto partition = check(transaction);
        m_maxOpen[partition] = std::max(m_maxOpen[partition], ++m_open[partition]);
        const auto fault = m_nextFault ? m_nextFault() : Fault::None;
        const auto answer = [this, partition, callback = std::move(callback)](Milliseconds delay, CommitResult result) {
            later(delay, [this, partition, callback, result = std::move(result)]() mutable {
                --m_open[partition];
                callback(std::move(result));
            });
        };
        const Error lost{ErrorCode::Timeout, "scripted loss"};
        if (fault == Fault::Refused) {
            answer(latency, {CommitResult::Status::NotApplied, {}, {ErrorCode::Unavailable, "scripted refusal"}});
            return;
        }
        if (fault != Fault::None) {
            answer(timeout, {CommitResult::Status::Unknown, {}, lost});
        }
        if (fault != Fault::RequestLost) {
            later(fault == Fault::RequestLate ? lateDelay : latency, [this, transaction, fault, answer] {
                auto result = apply(transaction);
                if (fault == Fault::None) {
                    answer(latency, std::move(result));
                }
            });
        }
    }

    auto read(std::string_view key, RowsCallback callback) -> void override
    {
        later(latency, [this, key = std::string(key), callback = std::move(callback)] {
            runBeforeRead();
            std::vector<TableRow> rows;
            if (const auto row = m_rows.find(key); row != m_rows.end()) {
                rows.push_back(row->second);
            }
            callback(std::move(rows));
        });
    }

    auto scan(std::string_view prefix, std::string_view /*after*/, std::uint32_t limit, RowsCallback callback) -> void override
    {
        later(latency, [this, prefix = std::string(prefix), limit, callback = std::move(callback)] {
            runBeforeRead();
            std::vector<TableRow> rows;
            for (auto row = m_rows.lower_bound(prefix); row != m_rows.end() && row->first.starts_with(prefix) && rows.size() < limit; ++row) {
                rows.push_back(row->second);
            }
            callback(std::move(rows));
        });
    }

    auto list(std::string_view table, std::string_view partition, std::string_view after, std::uint32_t limit, PageCallback callback) -> void override
    {
        const std::string prefix = std::string(table).append("/").append(partition).append("/");
        later(latency, [this, prefix, first = prefix + std::string(after), limit, callback = std::move(callback)] {
            runBeforeRead();
            RowPage page;
            page.m_version = m_version;
            for (auto row = m_rows.upper_bound(first); row != m_rows.end() && row->first.starts_with(prefix); ++row) {
                page.m_hasMore = limit != 0 && page.m_rows.size() == limit;
                if (page.m_hasMore) {
                    break;
                }
                page.m_rows.push_back({row->second, false});
                m_listedBytes += row->second.m_value.size();
            }
            callback(std::move(page));
        });
    }

    auto follow(std::string_view /*table*/, std::uint64_t /*version*/, Milliseconds /*wait*/, PageCallback /*callback*/) -> void override
    {
    }

    /// @brief Runs a function after a delay of the virtual clock.
    auto later(Milliseconds pause, std::function<void()> call) -> void
    {
        m_events.push({m_now + pause, m_number++, std::move(call)});
    }

    /// @brief Advances the virtual clock by a time and runs the events within it.
    auto run(Milliseconds length) -> void
    {
        const TimePoint until = m_now + length;
        while (!m_events.empty() && m_events.top().m_at <= until) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.m_at;
            event.m_call();
        }
        m_now = until;
    }

    [[nodiscard]] auto now() const noexcept -> TimePoint
    {
        return m_now;
    }

    static constexpr Milliseconds latency{10}; ///< of a request or an answer
    static constexpr Milliseconds timeout{1'200}; ///< time after which the result of a lost call is unknown
    static constexpr Milliseconds lateDelay{4'000}; ///< time after which a late request takes effect

private:
    struct Event {
        TimePoint m_at;
        std::uint64_t m_number = 0;
        std::function<void()> m_call;

        [[nodiscard]] auto operator>(const Event &other) const noexcept -> bool
        {
            return std::pair(m_at, m_number) > std::pair(other.m_at, other.m_number);
        }
    };

    auto runBeforeRead() -> void
    {
        if (m_beforeRead) {
            m_beforeRead();
        }
    }

    /// @brief Checks a transaction against the rules of the platform.
    /// @returns the partition of the transaction
    auto check(const Transaction &transaction) -> std::string
    {
        constexpr std::size_t maxEntries = 100;
        std::set<std::string> partitions;
        const auto addPartition = [&partitions](std::string_view key) {
            const auto begin = key.find('/') + 1;
            partitions.emplace(key.substr(begin, key.find('/', begin) - begin));
        };
        std::ranges::for_each(transaction.m_conditions, addPartition, &RowCondition::m_key);
        std::ranges::for_each(transaction.m_puts, addPartition, &RowPut::m_key);
        std::ranges::for_each(transaction.m_deletes, addPartition);
        if (partitions.size() != 1) {
            m_violations.push_back("a transaction over " + std::to_string(partitions.size()) + " partitions");
        }
        const auto entries = transaction.m_conditions.size() + transaction.m_puts.size() + transaction.m_deletes.size();
        if (entries > maxEntries) {
            m_violations.push_back("a transaction of " + std::to_string(entries) + " entries");
        }
        for (const auto &change : transaction.m_puts) {
            if (std::ranges::find(transaction.m_deletes, change.m_key) != transaction.m_deletes.end()) {
                m_violations.push_back(change.m_key + " is written and deleted");
            }
        }
        return partitions.empty() ? std::string() : *partitions.begin();
    }

    auto apply(const Transaction &transaction) -> CommitResult
    {
        CommitResult conflict{CommitResult::Status::Conflict, {}, {}};
        bool holds = true;
        for (const auto &condition : transaction.m_conditions) {
            const auto row = m_rows.find(condition.m_key);
            holds = holds && (row == m_rows.end() ? 0 : row->second.m_version) == condition.m_version;
            if (row != m_rows.end()) {
                conflict.m_rows.push_back(row->second);
            }
        }
        if (!holds) {
            return conflict;
        }
        CommitResult result{CommitResult::Status::Committed, {}, {}};
        for (const auto &change : transaction.m_puts) {
            put(change.m_key, change.m_value);
            result.m_rows.push_back({change.m_key, m_version, {}});
        }
        std::ranges::for_each(transaction.m_deletes, [this](const std::string &key) {
            drop(key);
        });
        return result;
    }

    std::map<std::string, TableRow, std::less<>> m_rows;
    std::uint64_t m_version = 0;
    std::map<std::string, std::size_t> m_open;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_number = 0;
    TimePoint m_now = TimePoint{} + std::chrono::hours(1);
};
}
