#include "burdockspur/operations/controloptions.hpp"

#include "burdockspur/link/endpointtext.hpp"
#include "burdockspur/link/peermessage.hpp"

#include "burdockspur/contract/job.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <ranges>

DEFINE_string(entry, "", "address and port of an entry daemon");
DEFINE_string(caller, "operator", "name of the caller");
DEFINE_string(state, "", "only jobs in this state");
DEFINE_string(after, "", "id of the last job of the previous page");
DEFINE_string(more_entries, "", "further entry daemons");
DEFINE_string(logs, "/dev/stdin", "files with log lines");
DEFINE_string(html, "", "file for an HTML page");
DEFINE_string(key, "", "idempotency key");
DEFINE_string(body, "", "body of the request");
DEFINE_string(body_file, "", "file with the body of the request");
DEFINE_uint64(expected_version, 0, "version that a change is based on");
DEFINE_uint32(limit, 50, "maximum number of jobs listed");
DEFINE_uint32(deadline_ms, 1000, "time limit of a request");
DEFINE_bool(idempotent, false, "the request may be retried");
DEFINE_bool(json, false, "print JSON");
DEFINE_bool(toml, false, "print TOML");

namespace Burdockspur
{
namespace
{
constexpr std::array<ProgramFlag, 17> flagTable{{
    {"check", "", "validate the command and its files, send nothing (exit code 0: valid, 2: not valid)"},
    {"entry", "ADDRESS:PORT", "callers' port of any entry daemon; required by every command but explain"},
    {"json", "", "print the answer as JSON, not as tables"},
    {"toml", "", "config show: print the document as TOML, for config apply"},
    {"expected_version", "N", "version that the change is based on; any other current version is a conflict"},
    {"state", "STATE", "jobs list: only jobs in this state"},
    {"limit", "N", "jobs list: maximum number of jobs, 1 to 500 (default 50)"},
    {"after", "ID", "jobs list: only jobs after this id, e.g. the last one of the previous page"},
    {"more_entries", "LIST", "burn: ADDRESS:PORT,... of further entry daemons whose counts are added"},
    {"html", "FILE", "burn: write an HTML page with plots"},
    {"logs", "FILE,...", "explain: files with the log lines of all hosts (default standard input)"},
    {"key", "KEY", "idempotency key of a job or request"},
    {"caller", "NAME", "caller of a job or request (default operator)"},
    {"body", "TEXT", "request: body"},
    {"body_file", "FILE", "request: file with the body"},
    {"idempotent", "", "request: may be retried when its outcome is unknown"},
    {"deadline_ms", "N", "request: time limit, 1 to 600000 ms (default 1000)"},
}};

struct NumberLimit {
    std::string_view m_flag;
    std::uint32_t m_value;
    std::uint32_t m_maximum;
};

[[nodiscard]] auto invalidFlag(std::string_view flag, std::string_view found, std::string_view expected) -> std::unexpected<Error>
{
    return failure(ErrorCode::BadRequest, "flag --" + std::string(flag) + ": found '" + std::string(found) + "', expected " + std::string(expected));
}

[[nodiscard]] auto checkNumbers() -> Result<void>
{
    constexpr std::uint32_t maxDeadlineMs = 600'000;
    for (const auto &limit : {NumberLimit{"limit", FLAGS_limit, ListJobs::maxLimit}, NumberLimit{"deadline_ms", FLAGS_deadline_ms, maxDeadlineMs}}) {
        if (limit.m_value == 0 || limit.m_value > limit.m_maximum) {
            return invalidFlag(limit.m_flag, std::to_string(limit.m_value), "an integer, 1 to " + std::to_string(limit.m_maximum));
        }
    }
    return {};
}

// Refuses control characters, with which a value of the command line could add HTTP header lines.
[[nodiscard]] auto checkHeaderText(std::string_view flag, std::string_view value) -> Result<void>
{
    constexpr std::size_t maxLength = 256;
    const bool isPrintable = std::ranges::all_of(value, [](char character) {
        return character >= ' ' && character != 0x7F;
    });
    return isPrintable && value.size() <= maxLength ? Result<void>() : invalidFlag(flag, value, "at most 256 characters without control characters");
}
}

auto ControlOptions::fromFlags() -> Result<ControlOptions>
{
    auto entry = FLAGS_entry.empty() ? Result<HttpEndpoint>(HttpEndpoint{}) : parseEndpoint(FLAGS_entry);
    if (!entry) {
        return invalidFlag("entry", FLAGS_entry, entry.error().m_message);
    }
    if (!FLAGS_state.empty() && !jobStateFromName(FLAGS_state)) {
        return invalidFlag("state", FLAGS_state, "queued, assigned, running, completed, failed, cancelled or unschedulable");
    }
    for (const auto &check : {checkNumbers(), checkHeaderText("key", FLAGS_key), checkHeaderText("caller", FLAGS_caller)}) {
        if (!check) {
            return std::unexpected(check.error());
        }
    }
    ControlOptions options;
    for (const auto part : std::views::split(FLAGS_more_entries, ',')) {
        auto more = parseEndpoint(std::string_view(part));
        if (!more) {
            return invalidFlag("more_entries", std::string_view(part), more.error().m_message);
        }
        options.m_moreEntries.push_back(std::move(*more));
    }
    for (const auto part : std::views::split(FLAGS_logs, ',')) {
        options.m_logs.emplace_back(std::string_view(part));
    }
    options.m_html = FLAGS_html;
    options.m_entry = std::move(*entry);
    options.m_caller = FLAGS_caller;
    options.m_state = FLAGS_state;
    options.m_after = FLAGS_after;
    options.m_key = FLAGS_key;
    options.m_body = FLAGS_body;
    options.m_bodyFile = FLAGS_body_file;
    options.m_expectedVersion = FLAGS_expected_version;
    options.m_limit = FLAGS_limit;
    options.m_deadlineMs = FLAGS_deadline_ms;
    options.m_idempotent = FLAGS_idempotent;
    options.m_json = FLAGS_json;
    options.m_toml = FLAGS_toml;
    return options;
}

auto controlFlags() -> std::span<const ProgramFlag>
{
    return flagTable;
}
}
