#include "burdockspur/port/httpworkerport.hpp"

#include "burdockspur/impl/jsonfield.hpp"
#include "burdockspur/port/serviceport.hpp"

#include <QJsonArray>

#include <algorithm>
#include <array>

namespace Burdockspur
{
namespace
{
// In the order of AttemptState.
constexpr std::array<std::string_view, 5> stateNames{"running", "completed", "failed", "stopped", "never_started"};
// Error codes with which a worker refuses to start an attempt.
constexpr std::array<std::string_view, 5> refusals{"no_capacity", "leaving", "superseded", "tombstoned", "no_lease"};
constexpr std::string_view staleEpoch = "stale_epoch";
constexpr std::string_view incarnationField = "Burdockspur-Incarnation";
constexpr SettingRange nameLength{1, 256};
constexpr SettingRange amountRange{0, 1e12};

constexpr std::array<JsonField<AttemptReport>, 7> reportFields{{
    {"task", &memberOf<AttemptReport, &AttemptReport::m_attempt, &AttemptId::m_job>, nameLength},
    {"attempt", &memberOf<AttemptReport, &AttemptReport::m_attempt, &AttemptId::m_number>, {1}},
    {"progress", &memberOf<AttemptReport, &AttemptReport::m_progressPercent>, {0, 100}, SettingPresence::Optional},
    {"checkpoint", &memberOf<AttemptReport, &AttemptReport::m_checkpoint>, {}, SettingPresence::Optional},
    {"result", &memberOf<AttemptReport, &AttemptReport::m_result>, {}, SettingPresence::Optional},
    {"cpu_millis", &memberOf<AttemptReport, &AttemptReport::m_usage, &Resources::m_cpuMillis>, amountRange, SettingPresence::Optional},
    {"memory_mb", &memberOf<AttemptReport, &AttemptReport::m_usage, &Resources::m_memoryMb>, amountRange, SettingPresence::Optional},
}};

constexpr std::array<JsonField<AttemptReport>, 2> endFields{{
    {"checkpoint", &memberOf<AttemptReport, &AttemptReport::m_checkpoint>, {}, SettingPresence::Optional},
    {"result", &memberOf<AttemptReport, &AttemptReport::m_result>, {}, SettingPresence::Optional},
}};

constexpr std::array<JsonField<LeaseReport>, 2> usageFields{{
    {"cpu_millis", &memberOf<LeaseReport, &LeaseReport::m_usage, &Resources::m_cpuMillis>, amountRange},
    {"memory_mb", &memberOf<LeaseReport, &LeaseReport::m_usage, &Resources::m_memoryMb>, amountRange},
}};

constexpr std::array<JsonField<LeaseReport>, 4> leaseFields{{
    {"epoch", &memberOf<LeaseReport, &LeaseReport::m_epoch>, {}},
    {"report", &memberOf<LeaseReport, &LeaseReport::m_report, &ReportId::m_number>, {1}},
    {"granted", &memberOf<LeaseReport, &LeaseReport::m_granted>, {}},
    {"leaving", &memberOf<LeaseReport, &LeaseReport::m_leaving>, {}},
}};

constexpr std::array<JsonField<StartOrder>, 9> startFields{{
    {"shard", &memberOf<StartOrder, &StartOrder::m_shard>, {}},
    {"epoch", &memberOf<StartOrder, &StartOrder::m_epoch>, {}},
    {"class", &memberOf<StartOrder, &StartOrder::m_spec, &JobSpec::m_class>, {}},
    {"cpu_millis", &memberOf<StartOrder, &StartOrder::m_spec, &JobSpec::m_demand, &Resources::m_cpuMillis>, {}},
    {"memory_mb", &memberOf<StartOrder, &StartOrder::m_spec, &JobSpec::m_demand, &Resources::m_memoryMb>, {}},
    {"accelerators", &memberOf<StartOrder, &StartOrder::m_spec, &JobSpec::m_demand, &Resources::m_accelerators>, {}},
    {"duration_ms", &memberOf<StartOrder, &StartOrder::m_spec, &JobSpec::m_durationMs>, {}},
    {"checkpoint", &memberOf<StartOrder, &StartOrder::m_checkpoint>, {}},
    {"payload", &memberOf<StartOrder, &StartOrder::m_spec, &JobSpec::m_payload>, {}},
}};

constexpr std::array<JsonField<AttemptOrder>, 2> orderFields{{
    {"shard", &memberOf<AttemptOrder, &AttemptOrder::m_shard>, {}},
    {"epoch", &memberOf<AttemptOrder, &AttemptOrder::m_epoch>, {}},
}};

[[nodiscard]] auto pathOf(const AttemptId &attempt) -> std::string
{
    return "/v1/tasks/" + percentEncoded(attempt.m_job) + "/attempts/" + std::to_string(attempt.m_number);
}

// Error of a reply that is not 200.
[[nodiscard]] auto errorOfWorker(const HttpReply &reply, std::string_view call) -> Error
{
    auto error = errorOfReply(reply, call);
    if (reply && reply->m_status == 409) {
        error.m_code = codeOfResponse(*reply) == staleEpoch ? ErrorCode::StaleEpoch : ErrorCode::Conflict;
    }
    return error;
}

[[nodiscard]] auto encodeRenewal(const LeaseRenewal &renewal) -> std::string
{
    QJsonArray acknowledged;
    for (const auto &attempt : renewal.m_acknowledged) {
        acknowledged.append(QJsonObject{{"task", jsonString(attempt.m_job)}, {"attempt", static_cast<qint64>(attempt.m_number)}});
    }
    QJsonObject body{{"epoch", static_cast<qint64>(renewal.m_epoch)},
                     {"owner", jsonString(renewal.m_owner)},
                     {"ttl_ms", static_cast<qint64>(renewal.m_ttl.count())},
                     {"acknowledged", acknowledged}};
    if (renewal.m_answeredReport) {
        body.insert("answers",
                    QJsonObject{{"incarnation", jsonString(renewal.m_answeredReport->m_incarnation)},
                                {"report", static_cast<qint64>(renewal.m_answeredReport->m_number)}});
    }
    return jsonText(body);
}

auto readState(JsonReader &reader, AttemptReport &report) -> void
{
    if (const auto state = reader.choice("state", stateNames)) {
        report.m_state = static_cast<AttemptState>(*state);
    }
}

auto readLease(JsonReader &reader, LeaseReport &report) -> void
{
    readFields<LeaseReport>(reader, leaseFields, report);
    if (auto usage = reader.object("usage")) {
        constexpr SettingRange lagRange{0, 1e12};
        readFields<LeaseReport>(*usage, usageFields, report);
        report.m_usageLag = Milliseconds(usage->integer("lag_ms", lagRange).value_or(0));
    }
    for (auto &entry : reader.objects("tasks")) {
        AttemptReport attempt;
        readFields<AttemptReport>(entry, reportFields, attempt);
        readState(entry, attempt);
        report.m_attempts.push_back(std::move(attempt));
    }
}

// Decodes a reply that must be 200 with a JSON object.
template<typename Value>
[[nodiscard]] auto decoded(const HttpReply &reply, std::string_view call, Value value, void (*read)(JsonReader &, Value &)) -> Result<Value>
{
    if (!reply || reply->m_status != 200) {
        return std::unexpected(errorOfWorker(reply, call));
    }
    std::vector<std::string> errors;
    if (auto reader = JsonReader::parse(reply->m_body, errors)) {
        read(*reader, value);
    }
    if (!errors.empty()) {
        return std::unexpected(corruptAnswer(call, joinedErrors(errors, "; ")));
    }
    return value;
}

[[nodiscard]] auto decodeStart(const HttpReply &reply) -> StartResult
{
    using Status = StartResult::Status;
    if (!reply) {
        return {Status::Unknown, std::string(errorName(reply.error().m_error.m_code))};
    }
    if (reply->m_status == 200 || reply->m_status == 201) {
        return {Status::Started, ""};
    }
    auto code = codeOfResponse(*reply);
    if (code == staleEpoch) {
        return {Status::Fenced, std::move(code)};
    }
    const bool isRefusal = std::ranges::find(refusals, std::string_view(code)) != refusals.end();
    return {isRefusal ? Status::Refused : Status::Unknown, code.empty() ? "status " + std::to_string(reply->m_status) : std::move(code)};
}

auto readStop(JsonReader &reader, AttemptReport &report) -> void
{
    readFields<AttemptReport>(reader, endFields, report);
    readState(reader, report);
    if (report.m_state == AttemptState::Running) {
        reader.report("state", "the state of an attempt that has ended");
    }
}

auto readCheckpoint(JsonReader &reader, AttemptReport &report) -> void
{
    report.m_checkpoint = reader.text("checkpoint", nameLength).value_or("");
}
}

HttpWorkerPort::HttpWorkerPort(HttpClient &client)
    : m_client(&client)
{
}

auto HttpWorkerPort::renew(const HttpEndpoint &worker, const LeaseRenewal &renewal, Duration timeout, LeaseCallback callback) -> void
{
    const ServicePort port(*m_client, worker, timeout);
    port.call("PUT", "/v1/leases/" + std::to_string(renewal.m_shard), encodeRenewal(renewal), [callback = std::move(callback)](HttpReply &&reply) {
        LeaseReport report;
        report.m_report.m_incarnation = reply ? reply->field(incarnationField) : std::string_view();
        callback(decoded<LeaseReport>(reply, "renewal of a lease", std::move(report), &readLease));
    });
}

auto HttpWorkerPort::start(const HttpEndpoint &worker, const StartOrder &order, Duration timeout, StartCallback callback) -> void
{
    const ServicePort port(*m_client, worker, timeout);
    auto body = writeFields<StartOrder>(startFields, order);
    body.insert("kind", jsonString(jobKindName(order.m_spec.m_kind)));
    port.call("PUT", pathOf(order.m_attempt), jsonText(body), [callback = std::move(callback)](HttpReply &&reply) {
        callback(decodeStart(reply));
    });
}

auto HttpWorkerPort::stop(const HttpEndpoint &worker, const AttemptOrder &order, Duration timeout, ReportCallback callback) -> void
{
    const ServicePort port(*m_client, worker, timeout);
    auto target = pathOf(order.m_attempt) + "?shard=" + std::to_string(order.m_shard) + "&epoch=" + std::to_string(order.m_epoch);
    port.call("DELETE", std::move(target), "", [attempt = order.m_attempt, callback = std::move(callback)](HttpReply &&reply) {
        AttemptReport report;
        report.m_attempt = attempt;
        callback(decoded<AttemptReport>(reply, "stop of an attempt", std::move(report), &readStop));
    });
}

auto HttpWorkerPort::checkpoint(const HttpEndpoint &worker, const AttemptOrder &order, Duration timeout, ReportCallback callback) -> void
{
    const ServicePort port(*m_client, worker, timeout);
    auto body = jsonText(writeFields<AttemptOrder>(orderFields, order));
    port.call("POST", pathOf(order.m_attempt) + "/checkpoint", std::move(body), [attempt = order.m_attempt, callback = std::move(callback)](HttpReply &&reply) {
        AttemptReport report;
        report.m_attempt = attempt;
        callback(decoded<AttemptReport>(reply, "checkpoint of an attempt", std::move(report), &readCheckpoint));
    });
}

auto HttpWorkerPort::throttle(const HttpEndpoint &worker, const AttemptOrder &order, int sharePercent, Duration timeout, DoneCallback callback) -> void
{
    const ServicePort port(*m_client, worker, timeout);
    auto body = writeFields<AttemptOrder>(orderFields, order);
    body.insert("share_percent", sharePercent);
    port.call("POST", pathOf(order.m_attempt) + "/throttle", jsonText(body), [callback = std::move(callback)](HttpReply &&reply) {
        callback(reply && reply->m_status == 200 ? Result<void>() : std::unexpected(errorOfWorker(reply, "throttling of an attempt")));
    });
}
}
