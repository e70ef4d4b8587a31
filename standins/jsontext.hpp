#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httpmessage.hpp"

#include <QJsonObject>
#include <QString>

#include <string>
#include <string_view>

namespace Burdockspur::Standins
{
/// @brief Text as Qt's JSON classes take it.
[[nodiscard]] auto jsonString(std::string_view text) -> QString;

/// @brief A member of an object as text; empty when it is missing or no text.
[[nodiscard]] auto textMember(const QJsonObject &object, QLatin1String name) -> std::string;

/// @brief Parses a body.
/// @returns the object, or ErrorCode::BadRequest
[[nodiscard]] auto parseObject(std::string_view body) -> Result<QJsonObject>;

/// @brief A response with an object as its body.
[[nodiscard]] auto objectResponse(int status, const QJsonObject &object) -> HttpResponse;

/// @brief A response that refuses a call.
/// @param status HTTP status
/// @param code stable code of the protocol
/// @param message one sentence for people; may be empty
[[nodiscard]] auto codeResponse(int status, std::string_view code, std::string_view message = {}) -> HttpResponse;

/// @brief Response 400 to a malformed call.
[[nodiscard]] auto badRequest(std::string_view message) -> HttpResponse;
}
