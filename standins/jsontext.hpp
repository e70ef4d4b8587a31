#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httpmessage.hpp"

#include <QJsonObject>
#include <QString>

#include <string>
#include <string_view>

namespace Burdockspur::Standins
{
/// @brief Converts UTF-8 text to a QString for Qt's JSON classes.
[[nodiscard]] auto jsonString(std::string_view text) -> QString;

/// @brief Reads a string member of an object; empty when it is missing or not a string.
[[nodiscard]] auto textMember(const QJsonObject &object, QLatin1String name) -> std::string;

/// @brief Parses a body that must be a JSON object.
/// @returns the object, or ErrorCode::BadRequest
[[nodiscard]] auto parseObject(std::string_view body) -> Result<QJsonObject>;

/// @brief Builds a response with an object as its body.
[[nodiscard]] auto objectResponse(int status, const QJsonObject &object) -> HttpResponse;

/// @brief Builds a response with an error code.
/// @param status HTTP status
/// @param code error code of the protocol
/// @param message human-readable explanation; may be empty
[[nodiscard]] auto codeResponse(int status, std::string_view code, std::string_view message = {}) -> HttpResponse;

/// @brief Builds the response 400 to a malformed call.
[[nodiscard]] auto badRequest(std::string_view message) -> HttpResponse;
}
