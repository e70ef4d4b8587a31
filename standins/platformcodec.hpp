#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httpmessage.hpp"
#include "burdockspur/machine/hostrecord.hpp"
#include "burdockspur/port/tablestore.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace Burdockspur::Standins
{
/// @brief Decodes the body of `POST /v1/transactions`.
[[nodiscard]] auto decodeTransaction(std::string_view body) -> Result<Transaction>;

/// @brief Encodes the answer to a transaction.
[[nodiscard]] auto encodeCommitResult(const CommitResult &result) -> HttpResponse;

/// @brief Encodes one row.
[[nodiscard]] auto encodeRow(const TableRow &row) -> HttpResponse;

/// @brief Encodes a page of rows.
[[nodiscard]] auto encodeRows(std::span<const TableRow> rows) -> HttpResponse;

/// @brief Decodes the hosts of a host list; a generation in the body is ignored.
[[nodiscard]] auto decodeHosts(std::string_view body) -> Result<std::vector<HostRecord>>;

/// @brief Decodes a host state, `{"state"}`.
[[nodiscard]] auto decodeHostState(std::string_view body) -> Result<HostState>;

/// @brief Encodes the host list.
[[nodiscard]] auto encodeHosts(const HostListing &listing) -> HttpResponse;
}
