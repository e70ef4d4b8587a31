#include "burdockspur/host/callercodec.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/impl/jsonfield.hpp"
#include "burdockspur/operations/configurationdocument.hpp"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <array>
#include <charconv>

namespace Burdockspur
{
namespace
{
constexpr int statusAccepted = 202;
constexpr std::size_t longestName = 256;
constexpr SettingRange nameLength{1, longestName};
constexpr SettingRange amountRange{0, 1e12};
// A job with its payload must fit into a frame of 1 MiB and into a row of the journal.
constexpr SettingRange payloadLength{0, 65'536};
constexpr SettingRange versionRange{0, 9e15};

constexpr std::array<std::string_view, 2> kindNames{"batch", "watcher"};

constexpr std::array<JsonField<JobSpec>, 8> submissionFields{{
    {"class", &memberOf<JobSpec, &JobSpec::m_class>, nameLength},
    {"team", &memberOf<JobSpec, &JobSpec::m_team>, nameLength},
    {"cpu_millis", &memberOf<JobSpec, &JobSpec::m_demand, &Resources::m_cpuMillis>, amountRange},
    {"memory_mb", &memberOf<JobSpec, &JobSpec::m_demand, &Resources::m_memoryMb>, amountRange},
    {"accelerators", &memberOf<JobSpec, &JobSpec::m_demand, &Resources::m_accelerators>, amountRange, SettingPresence::Optional},
    {"duration_ms", &memberOf<JobSpec, &JobSpec::m_durationMs>, amountRange, SettingPresence::Optional},
    {"urgent", &memberOf<JobSpec, &JobSpec::m_urgent>, {}, SettingPresence::Optional},
    {"payload", &memberOf<JobSpec, &JobSpec::m_payload>, payloadLength, SettingPresence::Optional},
}};

constexpr std::array<JsonField<Job>, 8> jobFields{{
    {"job_id", &memberOf<Job, &Job::m_id>, {}},
    {"class", &memberOf<Job, &Job::m_spec, &JobSpec::m_class>, {}},
    {"team", &memberOf<Job, &Job::m_spec, &JobSpec::m_team>, {}},
    {"attempt", &memberOf<Job, &Job::m_attempt>, {}},
    {"worker", &memberOf<Job, &Job::m_worker>, {}},
    {"reason", &memberOf<Job, &Job::m_reason>, {}},
    {"result", &memberOf<Job, &Job::m_result>, {}},
    {"checkpoint", &memberOf<Job, &Job::m_checkpoint>, {}},
}};

struct MessageEntry {
    ErrorCode m_code;
    std::string_view m_message;
};

constexpr std::array<MessageEntry, 10> messageTable{{
    {ErrorCode::Draining, "this entry host is shutting down; use another one"},
    {ErrorCode::UnknownService, "the configuration does not define this service"},
    {ErrorCode::DeadlineExceeded, "the deadline passed before the request was sent to a worker"},
    {ErrorCode::Overloaded, "this entry host has too many requests in progress"},
    {ErrorCode::IdempotencyConflict, "the idempotency key was used with another service or body"},
    {ErrorCode::NoTarget, "no worker accepts requests"},
    {ErrorCode::RetryBudgetExhausted, "workers refused the request and the caller's retry budget is exhausted"},
    {ErrorCode::OutcomeUnknown, "the request was sent to a worker and its outcome could not be learned in time"},
    {ErrorCode::KeysUnavailable, "the key map did not allow to send requests with an idempotency key before the deadline"},
    {ErrorCode::ExecutionFailed, "the worker ran the request and it failed"},
}};

[[nodiscard]] auto messageOf(ErrorCode code) -> std::string
{
    const auto *const found = std::ranges::find(messageTable, code, &MessageEntry::m_code);
    return std::string(found == messageTable.end() ? errorName(code) : found->m_message);
}

[[nodiscard]] auto badField(std::string_view name, std::string_view value, std::string_view expected) -> std::unexpected<Error>
{
    std::string message;
    message.append("header ").append(name).append(": found '").append(value.substr(0, 64)).append("', expected ").append(expected);
    return failure(ErrorCode::BadHeader, std::move(message));
}

[[nodiscard]] auto readNumber(std::string_view text) -> std::optional<std::int64_t>
{
    std::int64_t number = 0;
    const std::string copy(text);
    const auto *const end = copy.c_str() + copy.size();
    const auto parsed = std::from_chars(copy.c_str(), end, number);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

[[nodiscard]] auto readDeadline(const HttpRequest &request, const CallerLimits &limits) -> Result<Milliseconds>
{
    constexpr std::string_view name = "Burdockspur-Deadline-Ms";
    const auto text = request.field(name);
    if (text.empty()) {
        return limits.m_defaultDeadline;
    }
    const auto number = readNumber(text);
    if (!number || *number < 0 || *number > limits.m_maxDeadline.count()) {
        return badField(name, text, "an integer, 0 to " + std::to_string(limits.m_maxDeadline.count()));
    }
    return Milliseconds(*number);
}

[[nodiscard]] auto readIdempotent(const HttpRequest &request) -> Result<bool>
{
    constexpr std::string_view name = "Burdockspur-Idempotent";
    const auto text = request.field(name);
    if (!text.empty() && text != "true" && text != "false") {
        return badField(name, text, "true or false");
    }
    return text == "true";
}

[[nodiscard]] auto readCaller(const HttpRequest &request) -> Result<std::string>
{
    constexpr std::string_view name = "Burdockspur-Caller";
    const auto text = request.field(name);
    if (text.empty() || text.size() > longestName) {
        return badField(name, text, "a name, 1 to 256 bytes");
    }
    return std::string(text);
}

[[nodiscard]] auto readKey(const HttpRequest &request) -> Result<std::string>
{
    constexpr std::string_view name = "Idempotency-Key";
    const auto text = request.field(name);
    if (text.size() > longestName) {
        return badField(name, text, "at most 256 bytes");
    }
    return std::string(text);
}

[[nodiscard]] auto badBody(std::span<const std::string> errors) -> std::unexpected<Error>
{
    return failure(ErrorCode::BadRequest, joinedErrors(errors, "; "));
}

[[nodiscard]] auto jobObject(const Job &job) -> QJsonObject
{
    auto object = writeFields<Job>(jobFields, job);
    object.insert("kind", jsonString(jobKindName(job.m_spec.m_kind)));
    object.insert("state", jsonString(jobStateName(job.m_state)));
    return object;
}
}

auto decodeServiceRequest(HttpRequest &request, std::string_view service, const CallerLimits &limits, TimePoint now) -> Result<ServiceRequest>
{
    auto caller = readCaller(request);
    auto key = readKey(request);
    const auto idempotent = readIdempotent(request);
    const auto deadline = readDeadline(request, limits);
    if (!caller || !key) {
        return std::unexpected(!caller ? caller.error() : key.error());
    }
    if (!idempotent || !deadline) {
        return std::unexpected(!idempotent ? idempotent.error() : deadline.error());
    }
    if (service.size() > longestName) {
        return failure(ErrorCode::UnknownService, "a service name has at most 256 bytes");
    }
    return ServiceRequest{{}, std::string(service), std::move(*caller), std::move(*key), *idempotent, now + *deadline, std::move(request.m_body)};
}

auto decodeSubmission(const HttpRequest &request) -> Result<SubmitJob>
{
    auto caller = readCaller(request);
    const auto key = readKey(request);
    if (!caller || !key) {
        return std::unexpected(!caller ? caller.error() : key.error());
    }
    if (key->empty()) {
        return failure(ErrorCode::MissingIdempotencyKey, "the header Idempotency-Key is required, so that a repeated submission finds the same job");
    }
    SubmitJob command;
    command.m_job = jobIdOf(*caller, *key);
    command.m_spec.m_caller = std::move(*caller);
    std::vector<std::string> errors;
    if (auto reader = JsonReader::parse(request.m_body, errors)) {
        readFields<JobSpec>(*reader, submissionFields, command.m_spec);
        const auto kind = reader->choice("kind", kindNames);
        command.m_spec.m_kind = static_cast<JobKind>(kind.value_or(0));
        auto known = fieldNames<JobSpec>(submissionFields);
        known.emplace_back("kind");
        reader->refuseUnknown(known);
    }
    if (!errors.empty()) {
        return badBody(errors);
    }
    return command;
}

auto decodeJobQuery(const HttpRequest &request) -> Result<ListJobs>
{
    ListJobs command;
    command.m_state = request.query("state");
    command.m_after = request.query("after");
    if (!command.m_state.empty() && !jobStateFromName(command.m_state)) {
        return failure(ErrorCode::BadRequest, "query state: found '" + command.m_state.substr(0, 64) + "', expected the name of a job state");
    }
    if (const auto limit = request.query("limit"); !limit.empty()) {
        // A scheduler lists at most this many jobs; in a longer page, jobs of some schedulers would be missing.
        const auto number = readNumber(limit);
        if (!number || *number < 1 || *number > ListJobs::maxLimit) {
            return failure(ErrorCode::BadRequest, "query limit: found '" + limit.substr(0, 64) + "', expected an integer, 1 to 500");
        }
        command.m_limit = static_cast<std::uint32_t>(*number);
    }
    return command;
}

auto decodePresetChange(std::string_view body) -> Result<SwitchPreset>
{
    SwitchPreset command;
    std::vector<std::string> errors;
    if (auto reader = JsonReader::parse(body, errors)) {
        command.m_preset = reader->text("preset", nameLength).value_or("");
        command.m_expectedVersion = static_cast<ConfigVersion>(reader->integer("expected_version", versionRange).value_or(0));
        reader->refuseUnknown(std::array<std::string_view, 2>{"preset", "expected_version"});
    }
    if (!errors.empty()) {
        return badBody(errors);
    }
    return command;
}

auto decodeConfigChange(std::string_view body) -> Result<ReplaceConfiguration>
{
    ReplaceConfiguration command;
    std::vector<std::string> errors;
    if (auto reader = JsonReader::parse(body, errors)) {
        command.m_expectedVersion = static_cast<ConfigVersion>(reader->integer("expected_version", versionRange).value_or(0));
        static_cast<void>(reader->object("document"));
        reader->refuseUnknown(std::array<std::string_view, 2>{"document", "expected_version"});
    }
    if (!errors.empty()) {
        return badBody(errors);
    }
    // Only unwraps the document; ConfigurationWatcher validates it.
    const auto envelope = QJsonDocument::fromJson(QByteArray(body.data(), static_cast<qsizetype>(body.size()))).object();
    command.m_document = jsonText(envelope.value("document").toObject());
    return command;
}

auto encodeAnswer(RequestAnswer &&answer) -> HttpResponse
{
    if (answer.m_outcome != Outcome::Answered) {
        return encodeError({answer.m_code, messageOf(answer.m_code)}, answer.m_outcome, answer.m_requestId);
    }
    HttpResponse response;
    response.m_fields.reserve(3);
    response.m_fields.push_back({"Content-Type", "application/octet-stream"});
    response.m_fields.push_back({"Burdockspur-Checksum", hexOf(hashOf(answer.m_body))});
    response.m_fields.push_back({"Burdockspur-Request-Id", std::move(answer.m_requestId)});
    response.m_body = std::move(answer.m_body);
    return response;
}

auto encodeError(const Error &error, Outcome outcome, std::string_view requestId) -> HttpResponse
{
    QJsonObject object{
        {"code", jsonString(errorName(error.m_code))},
        {"message", jsonString(error.m_message)},
        {"outcome", jsonString(outcomeName(outcome))},
    };
    if (!requestId.empty()) {
        object.insert("request_id", jsonString(requestId));
    }
    return jsonResponse(httpStatus(error.m_code), jsonText(object));
}

auto encodeAcceptedJob(const Job &job) -> HttpResponse
{
    return jsonResponse(statusAccepted, jsonText({{"job_id", jsonString(job.m_id)}, {"state", jsonString(jobStateName(job.m_state))}}));
}

auto encodeJob(const Job &job) -> HttpResponse
{
    return jsonResponse(200, jsonText(jobObject(job)));
}

auto encodeJobs(const JobPage &page) -> HttpResponse
{
    QJsonArray array;
    for (const auto &job : page.m_jobs) {
        array.append(jobObject(job));
    }
    return jsonResponse(200, jsonText({{"jobs", array}, {"more", page.m_hasMore}}));
}

auto encodeConfiguration(const Configuration &configuration) -> HttpResponse
{
    const auto text = ConfigurationDocument::textOf(configuration);
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
    return jsonResponse(200, jsonText({{"version", static_cast<qint64>(configuration.m_version)}, {"document", document}}));
}

auto encodeConfigVersion(ConfigVersion version) -> HttpResponse
{
    return jsonResponse(200, jsonText({{"version", static_cast<qint64>(version)}}));
}
}
