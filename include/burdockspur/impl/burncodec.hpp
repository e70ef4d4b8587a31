#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/operations/burnreport.hpp"

#include <QJsonObject>

namespace Burdockspur
{
/// @brief A report as the entry daemon sends it and as burdockspurctl prints it with --json.
[[nodiscard]] auto burnToJson(const BurnReport &report) -> QJsonObject;

/// @brief Reads a report of an entry daemon.
/// @returns the report, or ErrorCode::BadRequest that names each wrong member
[[nodiscard]] auto burnFromJson(const QJsonObject &object) -> Result<BurnReport>;

/// @brief The report as two short tables for printJson(): services and causes.
[[nodiscard]] auto burnTables(const BurnReport &report) -> QJsonObject;
}
