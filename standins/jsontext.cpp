#include "standins/jsontext.hpp"

#include <QJsonDocument>

namespace Burdockspur::Standins
{
auto jsonString(std::string_view text) -> QString
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

auto textMember(const QJsonObject &object, QLatin1String name) -> std::string
{
    return object.value(name).toString().toStdString();
}

auto parseObject(std::string_view body) -> Result<QJsonObject>
{
    QJsonParseError error;
    const auto document = QJsonDocument::fromJson(QByteArray(body.data(), static_cast<qsizetype>(body.size())), &error);
    if (!document.isObject()) {
        return failure(ErrorCode::BadRequest, "the body is not a JSON object: " + error.errorString().toStdString());
    }
    return document.object();
}

auto objectResponse(int status, const QJsonObject &object) -> HttpResponse
{
    return jsonResponse(status, QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString());
}

auto codeResponse(int status, std::string_view code, std::string_view message) -> HttpResponse
{
    QJsonObject object{{QStringLiteral("code"), jsonString(code)}};
    if (!message.empty()) {
        object.insert(QStringLiteral("message"), jsonString(message));
    }
    return objectResponse(status, object);
}

auto badRequest(std::string_view message) -> HttpResponse
{
    constexpr int badRequestStatus = 400;
    return codeResponse(badRequestStatus, "bad_request", message);
}
}
