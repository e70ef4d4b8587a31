#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/port/tablestore.hpp"

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief A row as it was read, or the deletion of a row.
struct RowChange {
    TableRow m_row;
    bool m_isDeleted = false;
};

/// @brief Rows of a table at one version of the store.
struct RowPage {
    std::vector<RowChange> m_rows;
    std::uint64_t m_version = 0; ///< version of the store, from which follow() can continue
    bool m_hasMore = false; ///< further rows may exist
    bool m_isHistoryCompacted = false; ///< the store has dropped some of the requested changes; the table has to be listed again
};

/// @brief A table service with keys of the form `TABLE/PARTITION/NAME` that reports changes of its rows.
///
/// A partition may be empty. Transactions on different partitions do not wait for each other.
///
/// Callbacks run in the thread of the caller, exactly once, never from within the call.
class ChangeStore : public TableStore
{
public:
    using PageCallback = std::function<void(Result<RowPage> &&)>;

    /// @brief Reads rows of a partition in the order of their names.
    /// @param table name of the table
    /// @param partition partition of the table
    /// @param after only names greater than this one
    /// @param limit maximum number of rows; 0 for as many as one answer may hold
    /// @param callback receives the rows; call again with the last name while there are more
    virtual auto list(std::string_view table, std::string_view partition, std::string_view after, std::uint32_t limit, PageCallback callback) -> void = 0;

    /// @brief Reads changes in all partitions of a table; waits for one when there is none yet.
    /// @param table name of the table
    /// @param version only changes after this version of the store
    /// @param wait how long the store may wait for a change
    /// @param callback receives the changes; an empty page when the wait is over
    virtual auto follow(std::string_view table, std::uint64_t version, Milliseconds wait, PageCallback callback) -> void = 0;
};
}
