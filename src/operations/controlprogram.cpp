#include "burdockspur/operations/controlprogram.hpp"

#include "burdockspur/contract/job.hpp"
#include "burdockspur/impl/burncodec.hpp"
#include "burdockspur/impl/jsonreader.hpp"
#include "burdockspur/impl/jsontable.hpp"
#include "burdockspur/impl/tomljson.hpp"
#include "burdockspur/operations/burnpage.hpp"
#include "burdockspur/operations/configurationdocument.hpp"
#include "burdockspur/operations/jobhistory.hpp"
#include "burdockspur/operations/settingstable.hpp"

#include <QEventLoop>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>

#include <algorithm>
#include <array>
#include <fstream>
#include <optional>

namespace Burdockspur
{
namespace
{
using Flags = std::span<const std::string_view>;

constexpr std::array<std::string_view, 1> versionFlag{"expected_version"};
constexpr std::array<std::string_view, 1> keyFlag{"key"};
constexpr std::array<std::string_view, 1> tomlFlag{"toml"};
constexpr std::array<std::string_view, 1> callerFlag{"caller"};
constexpr std::array<std::string_view, 3> listFlags{"state", "limit", "after"};
constexpr std::array<std::string_view, 1> logsFlag{"logs"};
constexpr std::array<std::string_view, 2> burnFlags{"more_entries", "html"};
constexpr std::array<std::string_view, 6> requestFlags{"body", "body_file", "key", "caller", "idempotent", "deadline_ms"};
// Flags that every command accepts.
constexpr std::array<std::string_view, 5> generalFlags{"check", "entry", "json", "help", "version"};

constexpr std::array<std::string_view, 2> kindNames{"batch", "watcher"};

/// Content of a job file.
struct JobFile {
    std::string m_kind = "batch";
    std::string m_class;
    std::string m_team;
    std::int64_t m_cpuMillis = 0;
    std::int64_t m_memoryMb = 0;
    std::int64_t m_accelerators = 0;
    std::int64_t m_durationMs = 0;
    bool m_urgent = false;
    std::string m_payload;
};

constexpr auto required = SettingPresence::Required;
constexpr auto optional = SettingPresence::Optional;
constexpr SettingRange amountRange{0, 1e12};

constexpr std::array<SettingsField<JobFile>, 9> jobFields{{
    {"kind", &JobFile::m_kind, SettingKind::Text, optional, {1, 16}, "", "batch (runs to its end) or watcher (runs until cancelled)"},
    {"class", &JobFile::m_class, SettingKind::Text, required, {1, 128}, "", "Class of jobs that are expected to behave alike"},
    {"team", &JobFile::m_team, SettingKind::Text, required, {1, 128}, "", "Team whose quota the job uses"},
    {"cpu_millis", &JobFile::m_cpuMillis, SettingKind::Integer, required, amountRange, "thousandths of a core", "Processor time"},
    {"memory_mb", &JobFile::m_memoryMb, SettingKind::Integer, required, amountRange, "MB", "Memory"},
    {"accelerators", &JobFile::m_accelerators, SettingKind::Integer, optional, {0, 1024}, "", "Whole accelerators"},
    {"duration_ms", &JobFile::m_durationMs, SettingKind::Integer, optional, amountRange, "ms", "Declared run time; 0 for a watcher"},
    {"urgent", &JobFile::m_urgent, SettingKind::Boolean, optional, {}, "", "Whether the job starts before other work"},
    {"payload", &JobFile::m_payload, SettingKind::Text, optional, {0, 500'000}, "", "Data passed to the worker"},
}};

[[nodiscard]] auto encodeJob(const JobFile &job) -> std::string
{
    return jsonText(QJsonObject{{"kind", jsonString(job.m_kind)},
                                {"class", jsonString(job.m_class)},
                                {"team", jsonString(job.m_team)},
                                {"cpu_millis", static_cast<qint64>(job.m_cpuMillis)},
                                {"memory_mb", static_cast<qint64>(job.m_memoryMb)},
                                {"accelerators", static_cast<qint64>(job.m_accelerators)},
                                {"duration_ms", static_cast<qint64>(job.m_durationMs)},
                                {"urgent", job.m_urgent},
                                {"payload", jsonString(job.m_payload)}});
}

// Reads a TOML configuration and validates it in the same way as the daemon.
[[nodiscard]] auto readConfigurationFile(std::string_view file) -> Result<QJsonObject>
{
    const auto text = readTextFile(file);
    if (!text) {
        return std::unexpected(text.error());
    }
    auto object = jsonFromToml(file, *text);
    if (!object) {
        return object;
    }
    const auto document = ConfigurationDocument::parse(jsonText(*object), 0);
    if (document) {
        return object;
    }
    std::string message;
    std::string_view rest = document.error().m_message;
    while (!rest.empty()) {
        const auto end = std::min(rest.find('\n'), rest.size());
        message.append(message.empty() ? "" : "\n").append(file).append(": ").append(rest.substr(0, end));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return failure(ErrorCode::BadSettings, std::move(message));
}

[[nodiscard]] auto joined(std::span<const std::string_view> words, std::string_view separator) -> std::string
{
    std::string text;
    for (const auto word : words) {
        text.append(text.empty() ? "" : separator).append(word);
    }
    return text;
}

[[nodiscard]] auto contains(Flags flags, std::string_view flag) noexcept -> bool
{
    return std::ranges::find(flags, flag) != flags.end();
}
}

struct ControlProgram::Command {
    std::string_view m_group;
    std::string_view m_verb; ///< empty for a command of one word
    std::string_view m_argument; ///< placeholder of the argument, e.g. `FILE`; empty when there is none
    Flags m_required;
    Flags m_optional;
    std::string_view m_help;
    ControlExit (ControlProgram::*m_run)(std::string_view);
    bool m_needsEntry = true; ///< requires --entry

    [[nodiscard]] auto usage() const -> std::string
    {
        std::string text(m_group);
        text.append(m_verb.empty() ? "" : " ").append(m_verb).append(m_argument.empty() ? "" : " ").append(m_argument);
        for (const auto flag : m_required) {
            text.append(" --").append(flag).append(flag == "key" ? " KEY" : " N");
        }
        return text;
    }
};

struct ControlProgram::Call {
    std::string m_method;
    std::string m_target;
    std::string m_body;
    std::vector<HttpField> m_fields;
    static constexpr Milliseconds defaultTimeout{15'000}; ///< longer than a daemon takes to determine the result of a change
    Milliseconds m_timeout = defaultTimeout;
    std::optional<HttpEndpoint> m_entry = std::nullopt; ///< overrides --entry
};

ControlProgram::ControlProgram(ControlOptions options, std::ostream &out, std::ostream &err)
    : m_options(std::move(options))
    , m_out(&out)
    , m_err(&err)
{
}

auto ControlProgram::commands() -> std::span<const Command>
{
    static constexpr std::array<Command, 15> table{{
        {"config", "show", "", {}, tomlFlag, "the configuration in force", &ControlProgram::showConfiguration},
        {"config", "init", "FILE", {}, {}, "store the first configuration", &ControlProgram::initConfiguration},
        {"config", "apply", "FILE", versionFlag, {}, "replace the configuration", &ControlProgram::applyConfiguration},
        {"presets", "list", "", {}, {}, "all presets", &ControlProgram::listPresets},
        {"presets", "show", "NAME", {}, {}, "one preset", &ControlProgram::showPreset},
        {"presets", "switch", "NAME", versionFlag, {}, "put another preset in force", &ControlProgram::switchPreset},
        {"jobs", "submit", "FILE", keyFlag, callerFlag, "submit a job; the same key gives the same job", &ControlProgram::submitJob},
        {"jobs", "list", "", {}, listFlags, "jobs by id", &ControlProgram::listJobs},
        {"jobs", "show", "ID", {}, {}, "one job", &ControlProgram::showJob},
        {"jobs", "cancel", "ID", {}, {}, "cancel a job", &ControlProgram::cancelJob},
        {"jobs", "follow", "ID", {}, {}, "print each change of a job until it ends", &ControlProgram::followJob},
        {"request", "", "SERVICE", {}, requestFlags, "send a request to a service", &ControlProgram::sendRequest},
        {"burn", "", "", {}, burnFlags, "service levels of the last hour and the causes of bad requests", &ControlProgram::showBurn},
        {"explain", "", "ID", {}, logsFlag, "the history of a job from the logs of all hosts, and its critical path", &ControlProgram::explainJob, false},
        {"status", "", "", {}, {}, "shards, owners and targets", &ControlProgram::showStatus},
    }};
    return table;
}

auto ControlProgram::commandHelp() -> std::string
{
    constexpr std::size_t helpColumn = 46;
    std::string text = "commands:\n";
    for (const auto &command : commands()) {
        std::string line = "  " + command.usage();
        line.resize(std::max(helpColumn, line.size() + 2), ' ');
        text.append(line).append(command.m_help).append("\n");
    }
    return text + "exit codes: 0 success, 1 refused or failed, 2 usage or bad input, 3 unreachable, 4 conflict";
}

auto ControlProgram::run(std::span<const std::string_view> words, const ProgramOptions &commandLine) -> ControlExit
{
    for (const auto &command : commands()) {
        const std::size_t length = command.m_verb.empty() ? 1 : 2;
        if (words.size() < length || words[0] != command.m_group || (length == 2 && words[1] != command.m_verb)) {
            continue;
        }
        const auto arguments = words.subspan(length);
        const auto usage = checkUsage(command, arguments, commandLine);
        if (usage != ControlExit::Success) {
            return usage;
        }
        m_isCheckOnly = commandLine.has("check");
        const auto exit = (this->*command.m_run)(arguments.empty() ? "" : arguments.front());
        if (m_isCheckOnly && exit == ControlExit::Success) {
            *m_out << "the command and its files are valid\n";
        }
        return exit;
    }
    return fail(ControlExit::BadInput,
                (words.empty() ? std::string("no command") : "unknown command '" + joined(words, " ") + "'") + ", expected one of those that --help shows");
}

auto ControlProgram::checkUsage(const Command &command, std::span<const std::string_view> arguments, const ProgramOptions &commandLine) -> ControlExit
{
    const std::size_t expected = command.m_argument.empty() ? 0 : 1;
    if (arguments.size() != expected || (expected == 1 && arguments.front().empty())) {
        const auto found = arguments.empty() ? "no argument" : "'" + joined(arguments, " ") + "'";
        return fail(ControlExit::BadInput, "found " + found + ", expected: " + command.usage());
    }
    for (const auto flag : command.m_required) {
        if (!commandLine.has(flag)) {
            return fail(ControlExit::BadInput, "flag --" + std::string(flag) + " is missing, expected: " + command.usage());
        }
    }
    if (command.m_needsEntry && m_options.m_entry.m_port == 0) {
        return fail(ControlExit::BadInput, "no entry daemon, expected --entry ADDRESS:PORT");
    }
    for (const auto &flag : controlFlags()) {
        const bool isAccepted = contains(generalFlags, flag.m_name) || contains(command.m_required, flag.m_name) || contains(command.m_optional, flag.m_name);
        if (commandLine.has(flag.m_name) && !isAccepted) {
            return fail(ControlExit::BadInput, "flag --" + std::string(flag.m_name) + " does not belong to the command, expected: " + command.usage());
        }
    }
    return ControlExit::Success;
}

auto ControlProgram::showConfiguration(std::string_view) -> ControlExit
{
    auto answer = send({"GET", "/v1/config", "", {}});
    if (!answer || m_options.m_json) {
        return printAnswer(answer);
    }
    const auto document = answer->value("document").toObject();
    if (m_options.m_toml) {
        *m_out << "# version " << answer->value("version").toInteger() << '\n' << tomlFromJson(document);
        return ControlExit::Success;
    }
    auto flat = document;
    flat.insert("version", answer->value("version"));
    return printAnswer(flat);
}

auto ControlProgram::initConfiguration(std::string_view file) -> ControlExit
{
    return changeConfiguration(file, 0);
}

auto ControlProgram::applyConfiguration(std::string_view file) -> ControlExit
{
    return changeConfiguration(file, m_options.m_expectedVersion);
}

auto ControlProgram::changeConfiguration(std::string_view file, std::uint64_t expectedVersion) -> ControlExit
{
    const auto document = readConfigurationFile(file);
    if (!document) {
        return fail(ControlExit::BadInput, document.error().m_message);
    }
    const QJsonObject body{{"expected_version", static_cast<qint64>(expectedVersion)}, {"document", *document}};
    return printAnswer(send({"PUT", "/v1/config", jsonText(body), {}}));
}

auto ControlProgram::listPresets(std::string_view) -> ControlExit
{
    const auto answer = send({"GET", "/v1/config", "", {}});
    if (!answer) {
        return answer.error();
    }
    const auto document = answer->value("document").toObject();
    return printAnswer(
        QJsonObject{{"version", answer->value("version")}, {"preset_in_force", document.value("preset_in_force")}, {"presets", document.value("presets")}});
}

auto ControlProgram::showPreset(std::string_view name) -> ControlExit
{
    const auto answer = send({"GET", "/v1/config", "", {}});
    if (!answer) {
        return answer.error();
    }
    const auto document = answer->value("document").toObject();
    for (const auto &entry : document.value("presets").toArray()) {
        auto preset = entry.toObject();
        if (preset.value("name").toString() == jsonString(name)) {
            preset.insert("in_force", document.value("preset_in_force") == preset.value("name"));
            return printAnswer(preset);
        }
    }
    return fail(ControlExit::Refused, "there is no preset '" + std::string(name) + "', expected one of those that 'presets list' shows");
}

auto ControlProgram::switchPreset(std::string_view name) -> ControlExit
{
    const QJsonObject body{{"preset", jsonString(name)}, {"expected_version", static_cast<qint64>(m_options.m_expectedVersion)}};
    return printAnswer(send({"PUT", "/v1/config/preset", jsonText(body), {}}));
}

auto ControlProgram::submitJob(std::string_view file) -> ControlExit
{
    const auto job = loadSettings<JobFile>(file, jobFields);
    if (!job) {
        return fail(ControlExit::BadInput, job.error().m_message);
    }
    if (!contains(kindNames, job->m_kind)) {
        return fail(ControlExit::BadInput, std::string(file) + ": kind: found '" + job->m_kind + "', expected 'batch' or 'watcher'");
    }
    if (m_options.m_key.empty()) {
        return fail(ControlExit::BadInput, "flag --key is empty, expected an idempotency key");
    }
    return printAnswer(send({"POST", "/v1/jobs", encodeJob(*job), {{"Idempotency-Key", m_options.m_key}, {"Burdockspur-Caller", m_options.m_caller}}}));
}

auto ControlProgram::listJobs(std::string_view) -> ControlExit
{
    std::string target = "/v1/jobs?limit=" + std::to_string(m_options.m_limit);
    if (!m_options.m_state.empty()) {
        target += "&state=" + m_options.m_state;
    }
    if (!m_options.m_after.empty()) {
        target += "&after=" + percentEncoded(m_options.m_after);
    }
    return printAnswer(send({"GET", std::move(target), "", {}}));
}

auto ControlProgram::showJob(std::string_view id) -> ControlExit
{
    return printAnswer(send({"GET", "/v1/jobs/" + percentEncoded(id), "", {}}));
}

auto ControlProgram::cancelJob(std::string_view id) -> ControlExit
{
    return printAnswer(send({"DELETE", "/v1/jobs/" + percentEncoded(id), "", {}}));
}

auto ControlProgram::followJob(std::string_view id) -> ControlExit
{
    // Tolerates a few failures in a row, because an entry host may be replaced while a job runs for hours.
    constexpr int maxConsecutiveFailures = 5;
    std::string lastText;
    for (int failures = 0;;) {
        const auto answer = send({"GET", "/v1/jobs/" + percentEncoded(id), "", {}});
        if (!answer && (answer.error() != ControlExit::Unreachable || ++failures >= maxConsecutiveFailures)) {
            return answer.error();
        }
        if (answer) {
            failures = 0;
            if (auto text = jsonText(*answer); text != lastText) {
                lastText = std::move(text);
                static_cast<void>(printAnswer(answer));
                *m_out << std::flush;
            }
            const auto state = jobStateFromName(answer->value("state").toString().toStdString());
            if (state && isTerminal(*state)) {
                return *state == JobState::Completed ? ControlExit::Success : ControlExit::Refused;
            }
        }
        QEventLoop loop;
        QTimer::singleShot(m_options.m_followInterval, &loop, &QEventLoop::quit);
        loop.exec();
    }
}

auto ControlProgram::sendRequest(std::string_view service) -> ControlExit
{
    Call call{"POST", "/v1/services/" + percentEncoded(service) + "/requests", m_options.m_body, {}};
    if (!m_options.m_bodyFile.empty()) {
        if (!m_options.m_body.empty()) {
            return fail(ControlExit::BadInput, "flags --body and --body_file are both given, expected one of them");
        }
        auto body = readTextFile(m_options.m_bodyFile);
        if (!body) {
            return fail(ControlExit::BadInput, body.error().m_message);
        }
        call.m_body = std::move(*body);
    }
    call.m_fields = {{"Burdockspur-Caller", m_options.m_caller},
                     {"Burdockspur-Deadline-Ms", std::to_string(m_options.m_deadlineMs)},
                     {"Burdockspur-Idempotent", m_options.m_idempotent ? "true" : "false"}};
    if (!m_options.m_key.empty()) {
        call.m_fields.push_back({"Idempotency-Key", m_options.m_key});
    }
    // The entry daemon answers at the deadline at the latest; the margin covers the transfer.
    constexpr Milliseconds margin{2'000};
    call.m_timeout = Milliseconds(m_options.m_deadlineMs) + margin;
    if (m_isCheckOnly) {
        return ControlExit::Success;
    }
    const auto reply = exchange(call);
    if (!reply) {
        return reportFailure(call, reply.error());
    }
    if (reply->m_status != 200) {
        return reportErrorResponse(*reply);
    }
    *m_out << reply->m_body << '\n';
    return ControlExit::Success;
}

auto ControlProgram::showBurn(std::string_view) -> ControlExit
{
    // Opened for appending, so that an existing page is kept until the new one can be written.
    if (!m_options.m_html.empty() && !std::ofstream(m_options.m_html, std::ios::app)) {
        return fail(ControlExit::BadInput, "flag --html: cannot write '" + m_options.m_html + "'");
    }
    auto report = fetchBurn(m_options.m_entry);
    for (const auto &entry : m_options.m_moreEntries) {
        const auto other = report ? fetchBurn(entry) : std::unexpected(report.error());
        if (!other) {
            return other.error();
        }
        report->merge(*other);
    }
    if (!report) {
        return report.error();
    }
    if (m_options.m_html.empty()) {
        return printAnswer(m_options.m_json ? burnToJson(*report) : burnTables(*report));
    }
    std::ofstream file(m_options.m_html, std::ios::binary | std::ios::trunc);
    file << renderBurnPage(*report, std::to_string(1 + m_options.m_moreEntries.size()) + " entry hosts");
    if (!file.flush()) {
        return fail(ControlExit::Refused, "the page could not be written to '" + m_options.m_html + "'");
    }
    *m_out << "written to " << m_options.m_html << '\n';
    return ControlExit::Success;
}

auto ControlProgram::fetchBurn(const HttpEndpoint &entry) -> std::expected<BurnReport, ControlExit>
{
    const auto answer = send({"GET", "/v1/burn", "", {}, Call::defaultTimeout, entry});
    if (!answer) {
        return std::unexpected(answer.error());
    }
    auto report = burnFromJson(*answer);
    if (!report) {
        return std::unexpected(fail(ControlExit::Refused, report.error().m_message));
    }
    return std::move(*report);
}

auto ControlProgram::explainJob(std::string_view id) -> ControlExit
{
    JobHistory history(id);
    for (const auto &name : m_options.m_logs) {
        std::ifstream logs(name);
        if (!logs) {
            return fail(ControlExit::BadInput, name + ": cannot be read, expected a file with log lines");
        }
        if (!m_isCheckOnly) {
            history.read(logs);
        }
    }
    if (m_isCheckOnly) {
        return ControlExit::Success;
    }
    if (history.isEmpty()) {
        return fail(ControlExit::Refused, "no log line names the job '" + std::string(id) + "', expected the logs of all hosts since its submission");
    }
    *m_out << history.report();
    return ControlExit::Success;
}

auto ControlProgram::showStatus(std::string_view) -> ControlExit
{
    return printAnswer(send({"GET", "/v1/status", "", {}}));
}

auto ControlProgram::send(const Call &call) -> Answer
{
    if (m_isCheckOnly) {
        return std::unexpected(ControlExit::Success);
    }
    const auto reply = exchange(call);
    if (!reply) {
        return std::unexpected(reportFailure(call, reply.error()));
    }
    constexpr int firstRedirection = 300;
    if (reply->m_status >= firstRedirection) {
        return std::unexpected(reportErrorResponse(*reply));
    }
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(reply->m_body));
    if (!document.isObject()) {
        return std::unexpected(fail(ControlExit::Refused, "the answer of the entry daemon is not a JSON object"));
    }
    return document.object();
}

auto ControlProgram::exchange(const Call &call) const -> HttpReply
{
    HttpClient client(HttpClientLimits{});
    QEventLoop loop;
    std::optional<HttpReply> reply;
    HttpRequest request{call.m_method, call.m_target, call.m_fields, call.m_body};
    client.call(call.m_entry.value_or(m_options.m_entry), std::move(request), call.m_timeout, [&](HttpReply &&result) {
        reply = std::move(result);
        loop.quit();
    });
    loop.exec();
    return std::move(*reply);
}

auto ControlProgram::reportFailure(const Call &call, const HttpFailure &failure) -> ControlExit
{
    const auto &entry = call.m_entry ? *call.m_entry : m_options.m_entry;
    std::string message = "no answer from " + entry.m_address + ":" + std::to_string(entry.m_port) + ": " + failure.m_error.m_message;
    if (failure.m_sent && call.m_method != "GET") {
        message += "; the command may have taken effect";
    }
    return fail(ControlExit::Unreachable, message);
}

auto ControlProgram::reportErrorResponse(const HttpResponse &response) -> ControlExit
{
    const auto error = QJsonDocument::fromJson(QByteArray::fromStdString(response.m_body)).object();
    const auto code = error.value("code").toString().toStdString();
    const auto outcome = error.value("outcome").toString().toStdString();
    if (m_options.m_json && !error.isEmpty()) {
        *m_out << jsonText(error) << '\n';
    }
    std::string message = code.empty() ? "status " + std::to_string(response.m_status) : code + ": " + error.value("message").toString().toStdString();
    if (!outcome.empty()) {
        message += " (outcome " + outcome + ")";
    }
    return fail(code == errorName(ErrorCode::Conflict) ? ControlExit::Conflict : ControlExit::Refused, message);
}

auto ControlProgram::printAnswer(const Answer &answer) -> ControlExit
{
    if (!answer) {
        return answer.error();
    }
    if (m_options.m_json) {
        *m_out << jsonText(*answer) << '\n';
    } else {
        printJson(*m_out, *answer);
    }
    return ControlExit::Success;
}

auto ControlProgram::fail(ControlExit exit, std::string_view message) -> ControlExit
{
    *m_err << "burdockspurctl: " << message << '\n';
    return exit;
}

auto runControlProgram(const ProgramDescription &description, std::span<char *const> arguments, std::ostream &out, std::ostream &err) -> int
{
    const auto commandLine = ProgramOptions::parse(description, arguments);
    if (commandLine && commandLine->has("help")) {
        out << helpText(description);
        return 0;
    }
    if (commandLine && commandLine->has("version")) {
        out << versionText(description);
        return 0;
    }
    auto options = commandLine ? ControlOptions::fromFlags() : std::unexpected(commandLine.error());
    if (!options) {
        err << description.m_name << ": " << options.error().m_message << '\n';
        return exitBadUsage;
    }
    ControlProgram program(std::move(*options), out, err);
    return static_cast<int>(program.run(commandLine->positional(), *commandLine));
}
}
