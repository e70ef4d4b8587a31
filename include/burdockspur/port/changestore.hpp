#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/port/tablestore.hpp"

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief A row as it was read, or that it was dropped.
struct RowChange {
    TableRow m_row;
    bool m_isDropped = false;
};

/// @brief Rows of a table, as of one moment.
struct RowPage {
    std::vector<RowChange> m_rows;
    std::uint64_t m_version = 0; ///< of the store; follow() goes on from here
    bool m_hasMore = false;
    bool m_isHistoryGone = false; ///< the table has to be listed again
};

/// @brief A table service whose keys are `TABLE/PARTITION/NAME`, and which tells what has changed.
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
    /// @param partition of the table
    /// @param after only names greater than this one
    /// @param limit most rows; 0 for as many as one answer may hold
    /// @param callback takes the rows; call again with the last name while there are more
    virtual auto list(std::string_view table, std::string_view partition, std::string_view after, std::uint32_t limit, PageCallback callback) -> void = 0;

    /// @brief Reads what has changed in all partitions of a table, as soon as there is something.
    /// @param table name of the table
    /// @param version only changes after it
    /// @param wait how long the store may wait for a change
    /// @param callback takes the changes, none after the wait
    virtual auto follow(std::string_view table, std::uint64_t version, Milliseconds wait, PageCallback callback) -> void = 0;
};
}
