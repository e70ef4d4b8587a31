#include "standins/workercodec.hpp"

#include "standins/jsontext.hpp"

#include <QJsonArray>
#include <QJsonObject>

#include <array>
#include <charconv>
#include <optional>

namespace Burdockspur::Standins
{
namespace
{
struct OrderAnswerEntry {
    OrderAnswer m_answer;
    int m_status;
    std::string_view m_code; ///< empty for success
};

/// @brief In the order of OrderAnswer.
constexpr std::array<OrderAnswerEntry, 10> orderAnswerTable{{
    {OrderAnswer::Done, 200, ""},
    {OrderAnswer::AlreadyKnown, 200, ""},
    {OrderAnswer::StaleEpoch, 409, "stale_epoch"},
    {OrderAnswer::Superseded, 409, "superseded"},
    {OrderAnswer::Tombstoned, 409, "tombstoned"},
    {OrderAnswer::NoLease, 409, "no_lease"},
    {OrderAnswer::NoCapacity, 507, "no_capacity"},
    {OrderAnswer::Leaving, 503, "leaving"},
    {OrderAnswer::UnknownAttempt, 404, "unknown_attempt"},
    {OrderAnswer::BadOrder, 400, "bad_request"},
}};

/// @brief In the order of AttemptState.
constexpr std::array<std::string_view, 5> attemptStateNames{"running", "completed", "failed", "stopped", "never_started"};

struct RequestStateEntry {
    RequestState m_state;
    int m_status;
    std::string_view m_code; ///< error code in the answer to the request itself
    std::string_view m_settled; ///< state in the answer to a settle call
};

/// @brief In the order of RequestState.
constexpr std::array<RequestStateEntry, 6> requestStateTable{{
    {RequestState::Running, 500, "", "running"},
    {RequestState::Answered, 200, "", "answered"},
    {RequestState::Failed, 500, "execution_failed", "failed"},
    {RequestState::NeverStarted, 503, "tombstoned", "never_started"},
    {RequestState::SlotsExhausted, 503, "slots_exhausted", ""},
    {RequestState::Leaving, 503, "leaving", ""},
}};

template<typename Number>
[[nodiscard]] auto parseNumber(std::string_view text) -> std::optional<Number>
{
    Number number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

[[nodiscard]] auto decodeAttempt(std::span<const std::string> segments) -> Result<AttemptId>
{
    const auto number = parseNumber<AttemptNumber>(segments[1]);
    if (!number || *number == 0) {
        return failure(ErrorCode::BadRequest, "the attempt is not a number above 0");
    }
    return AttemptId{segments[0], *number};
}

/// @brief Reads an integer member that must not be negative; returns ErrorCode::BadRequest for anything else.
[[nodiscard]] auto numberMember(const QJsonObject &object, QLatin1String name) -> Result<std::int64_t>
{
    const auto number = object.value(name).toInteger(-1);
    if (number < 0) {
        return failure(ErrorCode::BadRequest, std::string(name.data(), static_cast<std::size_t>(name.size())) + " is not a non-negative integer");
    }
    return number;
}

/// @brief Reads an integer member into a field; of several invalid members, the first one sets the error.
template<typename Field>
auto readNumber(const QJsonObject &object, QLatin1String name, Field &field, Error &error) -> void
{
    if (const auto number = numberMember(object, name); number) {
        field = static_cast<Field>(*number);
    } else if (error.m_message.empty()) {
        error = number.error();
    }
}

[[nodiscard]] auto encodeAttempt(const AttemptReport &report) -> QJsonObject
{
    return {{QStringLiteral("task"), jsonString(report.m_attempt.m_job)},
            {QStringLiteral("attempt"), static_cast<qint64>(report.m_attempt.m_number)},
            {QStringLiteral("state"), jsonString(attemptStateNames[static_cast<std::size_t>(report.m_state)])},
            {QStringLiteral("progress"), static_cast<qint64>(report.m_progressPercent)},
            {QStringLiteral("checkpoint"), jsonString(report.m_checkpoint)},
            {QStringLiteral("result"), jsonString(report.m_result)},
            {QStringLiteral("cpu_millis"), static_cast<qint64>(report.m_usage.m_cpuMillis)},
            {QStringLiteral("memory_mb"), static_cast<qint64>(report.m_usage.m_memoryMb)}};
}
}

auto decodeRenewal(std::span<const std::string> segments, std::string_view body) -> Result<LeaseRenewal>
{
    const auto shard = parseNumber<ShardId>(segments[0]);
    const auto object = parseObject(body);
    if (!shard || !object) {
        return shard ? Result<LeaseRenewal>(std::unexpected(object.error())) : failure(ErrorCode::BadRequest, "the shard is not a number");
    }
    LeaseRenewal renewal;
    Error error;
    std::int64_t ttl = 0;
    renewal.m_shard = *shard;
    renewal.m_owner = textMember(*object, QLatin1String("owner"));
    readNumber(*object, QLatin1String("epoch"), renewal.m_epoch, error);
    readNumber(*object, QLatin1String("ttl_ms"), ttl, error);
    renewal.m_ttl = Milliseconds(ttl);
    for (const auto &value : object->value(QLatin1String("acknowledged")).toArray()) {
        AttemptId attempt;
        attempt.m_job = textMember(value.toObject(), QLatin1String("task"));
        readNumber(value.toObject(), QLatin1String("attempt"), attempt.m_number, error);
        renewal.m_acknowledged.push_back(std::move(attempt));
    }
    if (const auto answers = object->value(QLatin1String("answers")); answers.isObject()) {
        ReportId report;
        report.m_incarnation = textMember(answers.toObject(), QLatin1String("incarnation"));
        readNumber(answers.toObject(), QLatin1String("report"), report.m_number, error);
        renewal.m_answeredReport = std::move(report);
    }
    if (!error.m_message.empty()) {
        return std::unexpected(error);
    }
    return renewal;
}

auto encodeRenewalAnswer(const std::expected<LeaseReport, Epoch> &answer) -> HttpResponse
{
    if (!answer) {
        constexpr int conflict = 409;
        return objectResponse(conflict,
                              {{QStringLiteral("code"), QStringLiteral("stale_epoch")}, {QStringLiteral("epoch"), static_cast<qint64>(answer.error())}});
    }
    QJsonArray tasks;
    for (const auto &attempt : answer->m_attempts) {
        tasks.append(encodeAttempt(attempt));
    }
    const QJsonObject usage{{QStringLiteral("cpu_millis"), static_cast<qint64>(answer->m_usage.m_cpuMillis)},
                            {QStringLiteral("memory_mb"), static_cast<qint64>(answer->m_usage.m_memoryMb)},
                            {QStringLiteral("lag_ms"), static_cast<qint64>(answer->m_usageLag.count())}};
    return objectResponse(200,
                          {{QStringLiteral("epoch"), static_cast<qint64>(answer->m_epoch)},
                           {QStringLiteral("report"), static_cast<qint64>(answer->m_report.m_number)},
                           {QStringLiteral("granted"), answer->m_granted},
                           {QStringLiteral("tasks"), tasks},
                           {QStringLiteral("usage"), usage},
                           {QStringLiteral("leaving"), answer->m_leaving}});
}

auto decodeStart(std::span<const std::string> segments, std::string_view body) -> Result<StartOrder>
{
    const auto attempt = decodeAttempt(segments);
    const auto object = parseObject(body);
    if (!attempt || !object) {
        return std::unexpected(attempt ? object.error() : attempt.error());
    }
    StartOrder order;
    Error error;
    order.m_attempt = *attempt;
    order.m_checkpoint = textMember(*object, QLatin1String("checkpoint"));
    order.m_spec.m_class = textMember(*object, QLatin1String("class"));
    order.m_spec.m_payload = textMember(*object, QLatin1String("payload"));
    readNumber(*object, QLatin1String("shard"), order.m_shard, error);
    readNumber(*object, QLatin1String("epoch"), order.m_epoch, error);
    readNumber(*object, QLatin1String("cpu_millis"), order.m_spec.m_demand.m_cpuMillis, error);
    readNumber(*object, QLatin1String("memory_mb"), order.m_spec.m_demand.m_memoryMb, error);
    readNumber(*object, QLatin1String("accelerators"), order.m_spec.m_demand.m_accelerators, error);
    readNumber(*object, QLatin1String("duration_ms"), order.m_spec.m_durationMs, error);
    const auto kind = jobKindFromName(textMember(*object, QLatin1String("kind")));
    if (!kind && error.m_message.empty()) {
        error = {ErrorCode::BadRequest, "kind is neither batch nor watcher"};
    }
    if (!error.m_message.empty()) {
        return std::unexpected(error);
    }
    order.m_spec.m_kind = *kind;
    return order;
}

auto decodeOrder(std::span<const std::string> segments, std::string_view body) -> Result<AttemptOrder>
{
    const auto attempt = decodeAttempt(segments);
    const auto object = parseObject(body);
    if (!attempt || !object) {
        return std::unexpected(attempt ? object.error() : attempt.error());
    }
    AttemptOrder order;
    Error error;
    order.m_attempt = *attempt;
    readNumber(*object, QLatin1String("shard"), order.m_shard, error);
    readNumber(*object, QLatin1String("epoch"), order.m_epoch, error);
    if (!error.m_message.empty()) {
        return std::unexpected(error);
    }
    return order;
}

auto decodeOrderQuery(std::span<const std::string> segments, const HttpRequest &request) -> Result<AttemptOrder>
{
    const auto attempt = decodeAttempt(segments);
    if (!attempt) {
        return std::unexpected(attempt.error());
    }
    const auto shard = parseNumber<ShardId>(request.query("shard"));
    const auto epoch = parseNumber<Epoch>(request.query("epoch"));
    if (!shard || !epoch) {
        return failure(ErrorCode::BadRequest, "shard or epoch is not a number");
    }
    return AttemptOrder{*shard, *epoch, *attempt};
}

auto decodeShare(std::string_view body) -> std::int64_t
{
    const auto object = parseObject(body);
    return object ? object->value(QLatin1String("share_percent")).toInteger() : 0;
}

auto encodeOrderAnswer(OrderAnswer answer) -> HttpResponse
{
    const auto &entry = orderAnswerTable[static_cast<std::size_t>(answer)];
    return entry.m_code.empty() ? objectResponse(entry.m_status, {}) : codeResponse(entry.m_status, entry.m_code);
}

auto encodeStartAnswer(OrderAnswer answer) -> HttpResponse
{
    constexpr int created = 201;
    auto response = encodeOrderAnswer(answer);
    response.m_status = answer == OrderAnswer::Done ? created : response.m_status;
    return response;
}

auto encodeStopAnswer(const std::expected<AttemptReport, OrderAnswer> &answer) -> HttpResponse
{
    if (!answer) {
        return encodeOrderAnswer(answer.error());
    }
    return objectResponse(200,
                          {{QStringLiteral("state"), jsonString(attemptStateNames[static_cast<std::size_t>(answer->m_state)])},
                           {QStringLiteral("checkpoint"), jsonString(answer->m_checkpoint)},
                           {QStringLiteral("result"), jsonString(answer->m_result)}});
}

auto encodeCheckpointAnswer(const std::expected<std::string, OrderAnswer> &answer) -> HttpResponse
{
    if (!answer) {
        return encodeOrderAnswer(answer.error());
    }
    return objectResponse(200, {{QStringLiteral("checkpoint"), jsonString(*answer)}});
}

auto encodeRequestAnswer(RequestState state, std::string_view requestId, std::string_view body) -> HttpResponse
{
    const auto &entry = requestStateTable[static_cast<std::size_t>(state)];
    HttpResponse response;
    if (state == RequestState::Answered) {
        response.m_body = body;
        response.m_fields.push_back({"Content-Type", "application/octet-stream"});
        response.m_fields.push_back({"Burdockspur-Checksum", hexOf(hashOf(body))});
    } else {
        response = codeResponse(entry.m_status, entry.m_code);
    }
    response.m_fields.push_back({"Burdockspur-Request-Id", std::string(requestId)});
    return response;
}

auto encodeSettleAnswer(RequestState state, std::string_view body) -> HttpResponse
{
    QJsonObject object{{QStringLiteral("state"), jsonString(requestStateTable[static_cast<std::size_t>(state)].m_settled)}};
    if (state == RequestState::Answered) {
        object.insert(QStringLiteral("body"), jsonString(body));
    }
    return objectResponse(200, object);
}
}
