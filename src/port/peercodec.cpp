#include "burdockspur/port/peercodec.hpp"

#include "burdockspur/impl/jsonreader.hpp"
#include "burdockspur/operations/settingsfield.hpp"
#include "burdockspur/port/serviceport.hpp"

#include <QByteArray>
#include <QJsonObject>

#include <array>

namespace Burdockspur
{
namespace
{
constexpr int statusOk = 200;
constexpr SettingRange generationRange{0, 9e15};

// In the order of PeerReply::Status, without NoReply.
constexpr std::array<std::string_view, 6> stateNames{"never_sent", "running", "unknown", "answered", "failed", "conflict"};

[[nodiscard]] auto noReply(Error &&error) -> PeerReply
{
    PeerReply reply;
    reply.m_error = std::move(error);
    return reply;
}
}

auto encodePeerQuery(std::uint64_t generation) -> std::string
{
    return jsonText({{"generation", static_cast<qint64>(generation)}});
}

auto decodePeerQuery(std::string_view body) -> Result<std::uint64_t>
{
    std::vector<std::string> errors;
    std::uint64_t generation = 0;
    if (auto reader = JsonReader::parse(body, errors)) {
        generation = static_cast<std::uint64_t>(reader->integer("generation", generationRange).value_or(0));
        reader->refuseUnknown(std::array<std::string_view, 1>{"generation"});
    }
    if (!errors.empty()) {
        return failure(ErrorCode::BadRequest, joinedErrors(errors, "; "));
    }
    return generation;
}

auto encodePeerReply(const PeerReply &reply) -> HttpResponse
{
    // Base64, because an answer may hold any bytes.
    const auto body = QByteArray(reply.m_body.data(), static_cast<qsizetype>(reply.m_body.size())).toBase64();
    HttpResponse response;
    response.m_status = statusOk;
    response.m_fields.push_back({"Content-Type", "application/json"});
    response.m_body = jsonText({
        {"state", jsonString(stateNames.at(static_cast<std::size_t>(reply.m_status)))},
        {"incarnation", jsonString(reply.m_incarnation)},
        {"generation", static_cast<qint64>(reply.m_generation)},
        {"body_base64", QString::fromLatin1(body)},
    });
    return response;
}

auto decodePeerReply(const HttpReply &reply) -> PeerReply
{
    if (!reply) {
        return noReply(Error(reply.error().m_error));
    }
    if (reply->m_status != statusOk) {
        return noReply({ErrorCode::Unavailable, "status " + std::to_string(reply->m_status) + " code " + codeOfResponse(*reply)});
    }
    std::vector<std::string> errors;
    PeerReply decoded;
    if (auto reader = JsonReader::parse(reply->m_body, errors)) {
        if (const auto state = reader->choice("state", stateNames)) {
            decoded.m_status = static_cast<PeerReply::Status>(*state);
        }
        decoded.m_incarnation = reader->text("incarnation", {}).value_or("");
        decoded.m_generation = static_cast<std::uint64_t>(reader->integer("generation", generationRange).value_or(0));
        const auto body =
            QByteArray::fromBase64Encoding(QByteArray::fromStdString(reader->text("body_base64", {}).value_or("")), QByteArray::AbortOnBase64DecodingErrors);
        if (!body) {
            reader->report("body_base64", "base64");
        }
        decoded.m_body = body.decoded.toStdString();
    }
    return errors.empty() ? decoded : noReply(corruptAnswer("settle", joinedErrors(errors, "; ")));
}
}
