#pragma once

#include "burdockspur/port/tablestore.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur::Standins
{
/// @brief In-memory table of versioned rows with conditional transactions.
class TableModel
{
public:
    /// @brief Applies a transaction atomically.
    /// @returns Committed with the new versions, Conflict with the rows whose conditions failed, or
    ///          NotApplied when a key is written twice or a condition is given twice
    auto commit(const Transaction &transaction) -> CommitResult;

    /// @brief Reads one row.
    [[nodiscard]] auto read(std::string_view key) const -> std::optional<TableRow>;

    /// @brief Reads rows in key order.
    /// @param prefix only keys that start with it
    /// @param after only keys greater than this one
    /// @param limit maximum number of rows
    [[nodiscard]] auto scan(std::string_view prefix, std::string_view after, std::size_t limit) const -> std::vector<TableRow>;

    /// @brief Number of rows.
    [[nodiscard]] auto size() const noexcept -> std::size_t
    {
        return m_rows.size();
    }

private:
    struct Row {
        std::uint64_t m_version = 0;
        std::string m_value;
    };

    std::map<std::string, Row, std::less<>> m_rows;
};
}
