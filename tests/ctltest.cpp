#include "burdockspur/operations/controlprogram.hpp"

#include "httpstub.hpp"

#include <gflags/gflags.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

using namespace Burdockspur;

namespace
{
constexpr std::string_view configuration =
    R"({"version":3,"document":{"shards":4,"preset_in_force":"peak","presets":[{"name":"ordinary","tail_weight":1,"accept_batch":true},)"
    R"({"name":"peak","tail_weight":9.5,"accept_batch":false}],"services":[],"teams":[]}})";

constexpr std::string_view configurationFile = "shards = 4\npreset_in_force = 'peak'\n[[presets]]\nname = 'peak'\ntail_weight = 9.5\n";

class CtlTest : public testing::Test
{
protected:
    CtlTest()
        : m_directory(std::filesystem::path(testing::TempDir()) / ("ctltest-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directory(m_directory);
        m_stub.respondWith(200, "{}");
    }

    ~CtlTest() override
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_directory, ignored);
    }

    // Runs the program against the stub and restores the flags afterwards.
    auto run(std::vector<std::string> arguments) -> int
    {
        const gflags::FlagSaver saver;
        arguments.insert(arguments.begin(), "burdockspurctl");
        arguments.push_back("--entry=127.0.0.1:" + std::to_string(m_stub.endpoint().m_port));
        return runArguments(std::move(arguments));
    }

    auto runArguments(std::vector<std::string> arguments) -> int
    {
        m_out.str("");
        m_err.str("");
        std::vector<char *> pointers;
        pointers.reserve(arguments.size());
        for (auto &argument : arguments) {
            pointers.push_back(argument.data());
        }
        const ProgramDescription description{"burdockspurctl", "COMMAND", "", controlFlags()};
        return runControlProgram(description, pointers, m_out, m_err);
    }

    auto file(std::string_view name, std::string_view text) -> std::string
    {
        const auto path = m_directory / name;
        std::ofstream(path) << text;
        return path.string();
    }

    auto lastRequest() -> std::string
    {
        const auto &request = m_stub.requests().back();
        return request.m_method + " " + request.m_target + " " + request.m_body;
    }

    // Checks that nothing is sent and that the error contains a text.
    auto expectBadInput(std::vector<std::string> arguments, std::string_view text) -> void
    {
        const auto sent = m_stub.requests().size();
        EXPECT_EQ(run(std::move(arguments)), 2) << text;
        EXPECT_NE(m_err.str().find(text), std::string::npos) << "expected '" << text << "' in: " << m_err.str();
        EXPECT_EQ(m_stub.requests().size(), sent) << text;
    }

    HttpStub m_stub;
    std::filesystem::path m_directory;
    std::ostringstream m_out;
    std::ostringstream m_err;
};
}

// Guards against output that omits a member or a preset.
TEST_F(CtlTest, ConfigShowPrintsTablesJsonOrToml)
{
    m_stub.respondWith(200, configuration);
    EXPECT_EQ(run({"config", "show"}), 0) << m_err.str();
    EXPECT_EQ(lastRequest(), "GET /v1/config ");
    EXPECT_EQ(m_out.str(),
              "preset_in_force  peak\nservices         []\nshards           4\nteams            []\nversion          3\n\npresets:\n"
              "name      accept_batch  tail_weight\nordinary  true          1\npeak      false         9.5\n");
    EXPECT_EQ(run({"config", "show", "--json"}), 0);
    EXPECT_TRUE(m_out.str().ends_with("\"version\":3}\n"));
    EXPECT_EQ(run({"config", "show", "--toml"}), 0);
    m_stub.respondWith(200, R"({"version":4})");
    EXPECT_EQ(run({"config", "apply", file("shown.toml", m_out.str()), "--expected_version", "3"}), 0) << m_err.str();
}

// Guards against a document or an expected version that differs from what the operator entered.
TEST_F(CtlTest, ConfigInitAndApplySendTheDocument)
{
    const auto path = file("config.toml", configurationFile);
    const std::string document = R"("document":{"preset_in_force":"peak","presets":[{"name":"peak","tail_weight":9.5}],"shards":4})";
    m_stub.respondWith(200, R"({"version":8})");
    EXPECT_EQ(run({"config", "apply", path, "--expected_version", "7"}), 0) << m_err.str();
    EXPECT_EQ(lastRequest(), "PUT /v1/config {" + document + R"(,"expected_version":7})");
    EXPECT_EQ(m_out.str(), "version  8\n");
    EXPECT_EQ(run({"config", "init", path}), 0);
    EXPECT_EQ(lastRequest(), "PUT /v1/config {" + document + R"(,"expected_version":0})");
}

// Guards against an invalid file that is sent to the daemon.
TEST_F(CtlTest, InvalidConfigurationFilesAreNamedAndNotSent)
{
    const auto path = file("config.toml", "shards = 0\npreset_in_force = 'x'\n");
    expectBadInput({"config", "init", path}, path + ": shards: found 0, expected an integer, 1 to 1024\n" + path + ": preset_in_force: found \"x\"");
    expectBadInput({"config", "init", file("broken.toml", "a = 1\nshards =\n")}, "broken.toml:2: not valid TOML");
    expectBadInput({"config", "init", "/nonexistent.toml"}, "/nonexistent.toml: cannot be opened");
}

// Guards against wrong presets in the output, and against a switch without the version that detects concurrent changes.
TEST_F(CtlTest, PresetsAreListedShownAndSwitched)
{
    m_stub.respondWith(200, configuration);
    EXPECT_EQ(run({"presets", "list"}), 0);
    EXPECT_TRUE(m_out.str().starts_with("preset_in_force  peak\nversion          3\n\npresets:\n")) << m_out.str();
    EXPECT_EQ(run({"presets", "show", "ordinary"}), 0);
    EXPECT_TRUE(m_out.str().contains("in_force      false\n")) << m_out.str();
    EXPECT_EQ(run({"presets", "show", "night"}), 1);
    EXPECT_EQ(m_err.str(), "burdockspurctl: there is no preset 'night', expected one of those that 'presets list' shows\n");
    EXPECT_EQ(run({"presets", "switch", "ordinary", "--expected_version=3"}), 0);
    EXPECT_EQ(lastRequest(), R"(PUT /v1/config/preset {"expected_version":3,"preset":"ordinary"})");
    expectBadInput({"presets", "switch", "ordinary"}, "flag --expected_version is missing, expected: presets switch NAME --expected_version N");
}

// Guards against exit codes that do not distinguish a conflict, a refusal and an outage, which scripts depend on.
TEST_F(CtlTest, ExitCodesDistinguishFailures)
{
    const std::vector<std::string> arguments{"presets", "switch", "peak", "--expected_version", "2"};
    m_stub.respondWith(409, R"({"code":"conflict","message":"the configuration has version 3, not the expected 2"})");
    EXPECT_EQ(run(arguments), 4);
    EXPECT_EQ(m_err.str(), "burdockspurctl: conflict: the configuration has version 3, not the expected 2\n");
    m_stub.respondWith(409, R"({"code":"idempotency_conflict","message":"m"})");
    EXPECT_EQ(run(arguments), 1);
    m_stub.respondWith(503, R"({"code":"unavailable","message":"m"})");
    EXPECT_EQ(run(arguments), 1);
    m_stub.respondWith(200, "not json");
    EXPECT_EQ(run(arguments), 1);
    m_stub.respondWith([](const HttpRequest &) {
        return std::nullopt;
    });
    EXPECT_EQ(run(arguments), 3);
    EXPECT_TRUE(m_err.str().ends_with("; the command may have taken effect\n")) << m_err.str();
    EXPECT_EQ(run(arguments), 3);
    EXPECT_FALSE(m_err.str().contains("may have taken effect")) << m_err.str();
}

// Guards against a job that is submitted with other values than those of its file, or without a key.
TEST_F(CtlTest, JobsAreSubmittedFromAFile)
{
    const auto path = file("job.toml", "class = 'render'\nteam = 'shows'\ncpu_millis = 2000\nmemory_mb = 512\nduration_ms = 60000\npayload = 'frame 1'\n");
    m_stub.respondWith(202, R"({"job_id":"j1","state":"queued"})");
    EXPECT_EQ(run({"jobs", "submit", path, "--key", "night-1", "--caller", "trentside"}), 0) << m_err.str();
    EXPECT_EQ(lastRequest(),
              R"(POST /v1/jobs {"accelerators":0,"class":"render","cpu_millis":2000,"duration_ms":60000,"kind":"batch","memory_mb":512,)"
              R"("payload":"frame 1","team":"shows","urgent":false})");
    EXPECT_EQ(m_stub.requests().back().field("Idempotency-Key"), "night-1");
    EXPECT_EQ(m_stub.requests().back().field("Burdockspur-Caller"), "trentside");
    EXPECT_EQ(m_out.str(), "job_id  j1\nstate   queued\n");
    expectBadInput({"jobs", "submit", path}, "flag --key is missing");
    expectBadInput({"jobs", "submit", file("bad.toml", "class = 'c'\nteam = 't'\ncpu_millis = -1\nmemory_mb = 1\nkind = 'cron'\n"), "--key=k"},
                   "bad.toml:3: cpu_millis: found -1, expected an integer, 0 to 1000000000000");
    expectBadInput({"jobs", "submit", file("kind.toml", "class = 'c'\nteam = 't'\ncpu_millis = 1\nmemory_mb = 1\nkind = 'cron'\n"), "--key=k"},
                   "kind: found 'cron', expected 'batch' or 'watcher'");
}

// Guards against an incomplete burn report, and against flags and answers that are not validated.
TEST_F(CtlTest, BurnIsShownAsTablesAndPage)
{
    m_stub.respondWith(200, R"({"short_window_ms":300000,"long_window_ms":3600000,"services":[{"name":"check","latency_target_ms":50,
        "objective_percent":99,"short":{"requests":10,"slow":1,"failed":0},"long":{"requests":100,"slow":1,"failed":1},
        "periods":[{"requests":100,"slow":1,"failed":1}],"causes":[{"kind":"worker","name":"w1","requests":2,"slow":1,"failed":1}]}]})");
    EXPECT_EQ(run({"burn"}), 0);
    EXPECT_EQ(lastRequest(), "GET /v1/burn ");
    EXPECT_NE(m_out.str().find("w1"), std::string::npos);
    EXPECT_NE(m_out.str().find("-100.00"), std::string::npos);
    const auto page = file("burn.html", "");
    EXPECT_EQ(run({"burn", "--html", page}), 0);
    EXPECT_NE(m_out.str().find("written to"), std::string::npos);
    expectBadInput({"burn", "--html", "/nowhere/burn.html"}, "flag --html: cannot write");
    expectBadInput({"burn", "--more_entries", "10.0.0.1"}, "flag --more_entries: found '10.0.0.1', expected an IP address and a port");
    m_stub.respondWith(200, R"({"services":1})");
    EXPECT_EQ(run({"burn"}), 1);
}

// Guards against filters that are not sent, and against unescaped ids that change the path of the request.
TEST_F(CtlTest, JobsAreListedShownAndCancelled)
{
    m_stub.respondWith(200, R"({"jobs":[{"state":"running","job_id":"j1","worker":null},{"state":"queued","job_id":"j2","reason":"no\u001b[2J"}]})");
    EXPECT_EQ(run({"jobs", "list", "--state", "running", "--limit", "2"}), 0);
    EXPECT_EQ(lastRequest(), "GET /v1/jobs?limit=2&state=running ");
    EXPECT_EQ(m_out.str(), "\njobs:\njob_id  state    worker  reason\nj1      running  -       -\nj2      queued   -       no [2J\n");
    EXPECT_EQ(run({"jobs", "list", "--limit", "2", "--after", "j/2"}), 0);
    EXPECT_EQ(lastRequest(), "GET /v1/jobs?limit=2&after=j%2F2 ");
    EXPECT_EQ(run({"jobs", "show", "j/1"}), 0);
    EXPECT_EQ(lastRequest(), "GET /v1/jobs/j%2F1 ");
    EXPECT_EQ(run({"jobs", "cancel", "j1"}), 0);
    EXPECT_EQ(lastRequest(), "DELETE /v1/jobs/j1 ");
    expectBadInput({"jobs", "list", "--state", "idle"}, "flag --state: found 'idle', expected queued, assigned,");
    expectBadInput({"jobs", "list", "--limit", "0"}, "flag --limit: found '0', expected an integer, 1 to 500");
}

// Guards against following that ends early, prints a state twice or reports a failed job as success.
TEST_F(CtlTest, JobsAreFollowedToTheirEnd)
{
    std::vector<std::string> states{"queued", "queued", "running", "completed"};
    std::size_t next = 0;
    m_stub.respondWith([&](const HttpRequest &) {
        return jsonResponse(200, R"({"state":")" + states[std::min(next++, states.size() - 1)] + "\"}");
    });
    ControlOptions options;
    options.m_entry = m_stub.endpoint();
    options.m_followInterval = Milliseconds(0);
    const auto follow = [&] {
        next = 0;
        m_out.str("");
        const std::array<std::string_view, 3> arguments{"jobs", "follow", "j1"};
        return ControlProgram(options, m_out, m_err).run(arguments, ProgramOptions());
    };
    EXPECT_EQ(follow(), ControlExit::Success);
    EXPECT_EQ(m_out.str(), "state  queued\nstate  running\nstate  completed\n");
    states = {"running", "failed"};
    EXPECT_EQ(follow(), ControlExit::Refused);
    m_stub.respondWith(404, R"({"code":"unknown_job","message":"m"})");
    EXPECT_EQ(follow(), ControlExit::Refused);
    m_stub.closeServer();
    EXPECT_EQ(follow(), ControlExit::Unreachable);
}

// Guards against a request whose caller, deadline, key or idempotency differs from the flags.
TEST_F(CtlTest, RequestsCarryTheirHeaders)
{
    m_stub.respondWith(200, "seat 7");
    EXPECT_EQ(run({"request", "seat checks", "--body", "row 1", "--key", "k", "--idempotent", "--deadline_ms", "2500"}), 0) << m_err.str();
    EXPECT_EQ(m_out.str(), "seat 7\n");
    EXPECT_EQ(lastRequest(), "POST /v1/services/seat%20checks/requests row 1");
    const auto &request = m_stub.requests().back();
    EXPECT_EQ(request.field("Burdockspur-Caller"), "operator");
    EXPECT_EQ(request.field("Burdockspur-Deadline-Ms"), "2500");
    EXPECT_EQ(request.field("Burdockspur-Idempotent"), "true");
    EXPECT_EQ(request.field("Idempotency-Key"), "k");
    EXPECT_EQ(run({"request", "seats", "--body_file", file("body", "from a file")}), 0);
    EXPECT_EQ(m_stub.requests().back().m_body, "from a file");
    EXPECT_EQ(m_stub.requests().back().field("Burdockspur-Idempotent"), "false");
    m_stub.respondWith(503, R"({"code":"no_target","message":"no worker","outcome":"refused"})");
    EXPECT_EQ(run({"request", "seats"}), 1);
    EXPECT_EQ(m_err.str(), "burdockspurctl: no_target: no worker (outcome refused)\n");
    expectBadInput({"request", "seats", "--body_file", "/nonexistent"}, "/nonexistent: cannot be opened");
    expectBadInput({"request", "seats", "--body=a", "--body_file=b"}, "flags --body and --body_file are both given");
    expectBadInput({"request", "seats", "--deadline_ms=0"}, "flag --deadline_ms: found '0', expected an integer, 1 to 600000");
    expectBadInput({"request", "seats", "--key", "a\r\nX: y"}, "flag --key: found");
}

// Guards against a status that is printed without its nested objects and arrays.
TEST_F(CtlTest, StatusPrintsNestedMembers)
{
    m_stub.respondWith(200, R"({"host":"e1","shards":[{"owner":"e2","shard":0}],"targets":{"live":3}})");
    EXPECT_EQ(run({"status"}), 0);
    EXPECT_EQ(m_out.str(), "host  e1\n\nshards:\nshard  owner\n0      e2\n\ntargets:\nlive  3\n");
}

// Guards against a mistyped command that runs another command, and against errors that do not name the mistake.
TEST_F(CtlTest, WrongUsageIsAnError)
{
    expectBadInput({}, "no command, expected one of those that --help shows");
    expectBadInput({"jobs"}, "unknown command 'jobs'");
    expectBadInput({"jobs", "kill", "j1"}, "unknown command 'jobs kill j1'");
    expectBadInput({"jobs", "cancel"}, "found no argument, expected: jobs cancel ID");
    expectBadInput({"jobs", "cancel", "j1", "j2"}, "found 'j1 j2', expected: jobs cancel ID");
    expectBadInput({"jobs", "cancel", "j1", "--key", "k"}, "flag --key does not belong to the command, expected: jobs cancel ID");
    expectBadInput({"status", "--expected_version", "many"}, "flag --expected_version: 'many' is not valid, expected N");
    const gflags::FlagSaver saver;
    EXPECT_EQ(runArguments({"burdockspurctl", "status"}), 2);
    EXPECT_EQ(m_err.str(), "burdockspurctl: no entry daemon, expected --entry ADDRESS:PORT\n");
    EXPECT_EQ(runArguments({"burdockspurctl", "status", "--entry", "localhost:80"}), 2);
    EXPECT_EQ(runArguments({"burdockspurctl", "--help"}), 0);
}

// Guards against a --check that sends something, or that accepts input that the command itself refuses.
TEST_F(CtlTest, CheckValidatesAndSendsNothing)
{
    const auto sent = m_stub.requests().size();
    EXPECT_EQ(run({"config", "init", file("config.toml", configurationFile), "--check"}), 0) << m_err.str();
    EXPECT_EQ(run({"request", "seats", "--body", "x", "--check"}), 0) << m_err.str();
    EXPECT_EQ(run({"status", "--check"}), 0) << m_err.str();
    EXPECT_EQ(m_out.str(), "the command and its files are valid\n");
    EXPECT_EQ(m_stub.requests().size(), sent);
    expectBadInput({"config", "init", file("wrong.toml", "shards = 0\n"), "--check"}, "shards: found 0");
    expectBadInput({"jobs", "list", "--limit", "0", "--check"}, "flag --limit");
}

// Guards against an explain command that needs a daemon, or that does not merge the lines of several logs.
TEST_F(CtlTest, ExplainReadsTheLogsOfAllHosts)
{
    const auto first = file("a.log", "ts=2026-08-10T00:00:02.000Z event=task_assigned job=j1 task=j1.0.0.0 run=1 worker=w1\n");
    const auto second = file("b.log", "ts=2026-08-10T00:00:01.000Z event=job_seen job=j1\nts=2026-08-10T00:00:01.000Z event=job_seen job=j2\n");
    const gflags::FlagSaver saver;
    EXPECT_EQ(runArguments({"burdockspurctl", "explain", "j1", "--logs", first + "," + second}), 0) << m_err.str();
    EXPECT_TRUE(m_out.str().starts_with("ts=2026-08-10T00:00:01.000Z event=job_seen job=j1\nts=2026-08-10T00:00:02.000Z event=task_assigned")) << m_out.str();
    EXPECT_EQ(m_out.str().find("j2"), std::string::npos);

    EXPECT_EQ(runArguments({"burdockspurctl", "explain", "j3", "--logs", first}), 1);
    EXPECT_EQ(m_err.str(), "burdockspurctl: no log line names the job 'j3', expected the logs of all hosts since its submission\n");
    EXPECT_EQ(runArguments({"burdockspurctl", "explain", "j1", "--logs", first + ".missing"}), 2);
    EXPECT_NE(m_err.str().find("cannot be read"), std::string::npos);
    EXPECT_EQ(runArguments({"burdockspurctl", "explain"}), 2);
}
