#pragma once

#include "burdockspur/core/error.hpp"

#include <cstdint>
#include <expected>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief One row of the table service.
struct TableRow {
    std::string m_key;
    std::uint64_t m_version = 0; ///< increases by one with each write; 0 for an absent row
    std::string m_value;
};

/// @brief Requires a row to have a version; 0 requires that it is absent.
struct RowCondition {
    std::string m_key;
    std::uint64_t m_version = 0;
};

/// @brief New content of a row.
struct RowPut {
    std::string m_key;
    std::string m_value;
};

/// @brief Writes that take effect together, or not at all when a condition does not hold.
struct Transaction {
    std::vector<RowCondition> m_conditions;
    std::vector<RowPut> m_puts;
    std::vector<std::string> m_deletes;
};

/// @brief Result of a transaction.
struct CommitResult {
    enum class Status : std::uint8_t {
        Committed,
        Conflict, ///< nothing was written; m_rows holds the rows whose conditions failed
        NotApplied, ///< nothing was written: the transaction was not sent, rate limited or refused as unavailable
        Unknown, ///< the answer was lost; the write may have taken effect
    };

    Status m_status = Status::Unknown;
    std::vector<TableRow> m_rows; ///< Committed: keys and new versions; Conflict: current rows
    Error m_error; ///< NotApplied and Unknown: why
};

/// @brief The platform's transactional table service.
///
/// Lives in the thread of the platform duty. Callbacks run there, exactly once, never from within the call.
class TableStore
{
public:
    using CommitCallback = std::function<void(CommitResult &&)>;
    using RowsCallback = std::function<void(Result<std::vector<TableRow>> &&)>;

    TableStore() = default;
    virtual ~TableStore() = default;
    TableStore(const TableStore &) = delete;
    TableStore(TableStore &&) = delete;
    auto operator=(const TableStore &) -> TableStore & = delete;
    auto operator=(TableStore &&) -> TableStore & = delete;

    /// @brief Applies a transaction once; it is never sent twice.
    virtual auto commit(const Transaction &transaction, CommitCallback callback) -> void = 0;

    /// @brief Reads one row; an absent row gives an empty list.
    virtual auto read(std::string_view key, RowsCallback callback) -> void = 0;

    /// @brief Reads rows whose keys start with a prefix, in key order.
    /// @param prefix start of the keys
    /// @param after only keys greater than this one
    /// @param limit maximum number of rows
    /// @param callback receives the rows
    virtual auto scan(std::string_view prefix, std::string_view after, std::uint32_t limit, RowsCallback callback) -> void = 0;
};
}
