#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/operations/burnreport.hpp"

#include <QJsonObject>

namespace Burdockspur
{
/// @brief Encodes a report as JSON, as the entry daemon sends it and burdockspurctl prints it with --json.
[[nodiscard]] auto burnToJson(const BurnReport &report) -> QJsonObject;

/// @brief Decodes a report of an entry daemon.
/// @returns the report, or ErrorCode::BadRequest with a message that names each wrong member
[[nodiscard]] auto burnFromJson(const QJsonObject &object) -> Result<BurnReport>;

/// @brief Summarises the report as two tables for printJson(): services and causes.
[[nodiscard]] auto burnTables(const BurnReport &report) -> QJsonObject;
}
