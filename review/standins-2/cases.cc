// Plays one case of the review against real entry hosts: cases NAME FOLDER, in the folder of the repository.
//
// Writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
// With TROUBLE=0 in the environment the disruption is left out.
#include "hosts.h"

#include <iostream>

namespace Review
{
namespace
{
constexpr int ruleBroken = 1;
constexpr int ruleHeld = 0;
constexpr int couldNotRun = 2;

/// Bound of the pages for a small deployment, in milliseconds.
constexpr std::int64_t finishMs = 14'000;
/// Time without a run after which LOST counts a job whose turn has come, in milliseconds.
constexpr std::int64_t idleMs = 3'000;

class Case
{
public:
    Case(const std::string &folder, bool hasTrouble)
        : m_record(folder + "/record.txt")
        , m_work(std::filesystem::temp_directory_path() / ("review-" + std::to_string(::getpid())))
        , m_fleet(m_store, m_record)
        , m_hosts(m_work, m_store.port(), m_record)
        , m_hasTrouble(hasTrouble)
    {
        std::filesystem::create_directories(m_work);
        m_store.m_refused = [this](const std::string &reason) {
            if (m_refusals++ < 20) {
                m_record.add("the store refuses a transaction: " + reason);
            }
        };
    }

    /// Ends the hosts and removes their files.
    auto clean() -> void
    {
        m_hosts.end();
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(m_work, ignored);
        }
    }

    ~Case() = default;
    Case(const Case &) = delete;
    auto operator=(const Case &) -> Case & = delete;

    auto configure() -> void
    {
        const auto route = [](const char *name, const char *prefix, int priority, int attempts) {
            return Json{{"name", name},
                        {"host", "jobs.example"},
                        {"prefix", prefix},
                        {"kind", "non_idempotent"},
                        {"timeout_ms", 3000},
                        {"target_duration_ms", 1000},
                        {"priority", priority},
                        {"service", "pool"},
                        {"max_attempts", attempts},
                        {"stretch", 2.0}};
        };
        m_store.put(
            "op",
            "config",
            Json{{"version", 7},
                 {"routes",
                  {route("r-watch", "/watch/", 0, 2), route("r-recon", "/recon/", 2, 4), route("r-plan", "/plan/", 0, 3), route("r-low", "/low/", 2, 3)}},
                 {"services",
                  {{{"name", "pool"},
                    {"health_path", "/health"},
                    {"max_connections", 64},
                    {"protocol", "h1"},
                    {"tls", false},
                    {"enforces_capacity", false},
                    {"standby", false}}}},
                 {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 262144}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}}});
    }

    /// Submits a job until it is accepted, as a client does; false if it never was.
    auto submit(const std::string &queue, const std::string &job, const std::vector<StepPlan> &steps, Json fields = Json::object()) -> bool
    {
        m_fleet.define(job, steps);
        Json submitted = Json::array();
        for (const auto &step : steps) {
            submitted.push_back(step.m_submitted);
        }
        fields["spec"] = "spec of " + job;
        fields["steps"] = submitted;
        const auto body = fields.dump();
        const auto path = std::string("/").append(queue).append("/").append(job);
        for (int attempt = 0; attempt < 5; ++attempt) {
            if (m_hosts.request(m_nextHost++, "POST", path, body).m_status / 100 == 2) {
                return true;
            }
            pause(300);
        }
        return false;
    }

    auto state(const std::string &queue, const std::string &job) -> std::string
    {
        const auto answer = m_hosts.request(m_nextHost++, "GET", "/" + queue + "/" + job);
        const auto body = Json::parse(answer.m_body, nullptr, false);
        return body.is_object() ? body.value("state", "") : std::string();
    }

    static auto pause(std::int64_t milliseconds) -> void
    {
        std::this_thread::sleep_for(Milliseconds(milliseconds));
    }

    /// Waits until a condition holds.
    static auto await(std::int64_t milliseconds, const std::function<bool()> &condition) -> bool
    {
        const auto until = Clock::now() + Milliseconds(milliseconds);
        while (!condition()) {
            if (Clock::now() >= until) {
                return false;
            }
            pause(50);
        }
        return true;
    }

    auto startDeployment(std::size_t hosts) -> bool
    {
        configure();
        m_hosts.start(hosts);
        return m_hosts.awaitReady();
    }

    auto verdict(bool isBroken, const std::string &text) -> int
    {
        m_record.add(std::string(isBroken ? "RULE BROKEN: " : "the rule held: ") + text);
        std::cout << (isBroken ? "rule broken: " : "held: ") << text << std::endl;
        return isBroken ? ruleBroken : ruleHeld;
    }

    /// LOST: whether, `finish_s` after the end of the traffic, accepted jobs have nothing running for 3 s while less than half of the
    /// capacity is in use.
    auto judgeIdle(const std::string &queue, const std::vector<std::string> &accepted) -> int
    {
        pause(finishMs);
        std::vector<std::string> idle;
        for (const auto &job : accepted) {
            if (state(queue, job) != "completed") {
                idle.push_back(job);
            }
        }
        std::int64_t mostUsed = 0;
        const auto until = Clock::now() + Milliseconds(idleMs);
        while (Clock::now() < until) {
            std::erase_if(idle, [&](const std::string &job) {
                return m_fleet.runningOf(job) > 0;
            });
            mostUsed = std::max(mostUsed, m_fleet.use().first);
            pause(10);
        }
        std::erase_if(idle, [&](const std::string &job) {
            return state(queue, job) == "completed";
        });
        const auto capacity = m_fleet.use().second;
        m_record.add("for the last 3 s at most " + std::to_string(mostUsed) + " of " + std::to_string(capacity) + " thousandths of a core were in use");
        return verdict(2 * mostUsed < capacity && !idle.empty(),
                       std::to_string(idle.size()) + " of " + std::to_string(accepted.size())
                           + " accepted jobs had nothing running for 3 s, 14 s after the end of the traffic");
    }

    Record m_record;
    std::filesystem::path m_work;
    Store m_store;
    Fleet m_fleet;
    Hosts m_hosts;
    bool m_hasTrouble;
    std::size_t m_nextHost = 0;
    std::atomic<int> m_refusals = 0;
};

auto jobId(std::size_t number) -> std::string
{
    char text[17];
    std::snprintf(text, sizeof text, "%016zx", std::size_t{0x9e3779b97f4a7c15} * (number + 1));
    return text;
}

auto step(std::size_t count, std::int64_t cpu, std::int64_t durationMs) -> StepPlan
{
    return {{{"count", count}, {"cpu", cpu}, {"mem_mb", 256}, {"estimate_ms", durationMs}}, Milliseconds(durationMs), false};
}

auto lastingStep(std::size_t count, std::int64_t cpu, std::int64_t startupMs) -> StepPlan
{
    auto lasting = step(count, cpu, startupMs);
    lasting.m_submitted["long_running"] = true;
    return lasting;
}

/// LOST: three of 60 lasting jobs can never be done; then finite jobs come to idle workers.
auto hopelessLastingJobs(Case &play) -> int
{
    for (int i = 0; i < 8; ++i) {
        play.m_fleet.add("i-7f3a91c" + std::to_string(i), "r1-" + std::to_string(i / 4), {"pool"});
    }
    if (!play.startDeployment(3)) {
        return couldNotRun;
    }
    constexpr std::size_t lastingJobs = 60;
    constexpr std::size_t finiteJobs = 6;
    for (std::size_t i = 0; i < lastingJobs; ++i) {
        auto lasting = i % 20 == 7 ? lastingStep(6, 400, 320) : lastingStep(1, 400, 320);
        lasting.m_submitted["max_per_server"] = 1;
        lasting.m_fails = play.m_hasTrouble && i % 20 == 7;
        if (!play.submit("watch", jobId(i), {lasting})) {
            return couldNotRun;
        }
    }
    Case::pause(6'000);
    std::vector<std::string> accepted;
    for (std::size_t i = 0; i < finiteJobs; ++i) {
        if (const auto job = jobId(1000 + i); play.submit("recon", job, {step(4, 1800, 1000)})) {
            accepted.push_back(job);
        }
    }
    play.m_record.add("end of the traffic");
    return play.judgeIdle("recon", accepted);
}

/// LOST: after all hosts have lost power, the progress of one scheduled job does not fit into a row of the store, and nothing is started any more.
auto scheduledJob(Case &play) -> int
{
    for (int i = 0; i < 16; ++i) {
        char id[16];
        std::snprintf(id, sizeof id, "i-7f3a91%02x", i);
        play.m_fleet.add(id, "r1-" + std::to_string(i / 8), {"pool"});
    }
    if (!play.startDeployment(3)) {
        return couldNotRun;
    }
    const auto scheduled = jobId(0);
    auto saving = step(1, 100, 60'000);
    saving.m_submitted["saves_progress"] = true;
    constexpr std::size_t occurrences = 1'000;
    const auto now = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    if (!play.submit("recon", scheduled, {saving}, Json{{"repeat_count", occurrences}, {"start_at_ms", now}, {"interval_ms", 5}}) || !Case::await(20'000, [&] {
            return play.m_fleet.runningOf(scheduled) == occurrences;
        })) {
        return couldNotRun;
    }
    play.m_record.add("all occurrences run");
    Case::pause(3'000);
    if (play.m_hasTrouble) {
        play.m_hosts.killAll();
        Case::pause(9'500);
        play.m_hosts.restartAll();
        if (!play.m_hosts.awaitReady()) {
            return couldNotRun;
        }
    }
    Case::pause(12'000);
    std::vector<std::string> accepted;
    for (std::size_t i = 0; i < 12; ++i) {
        if (const auto job = jobId(1000 + i); play.submit("plan", job, {step(2, 500, 800)})) {
            accepted.push_back(job);
        }
        Case::pause(250);
    }
    play.m_record.add("end of the traffic");
    return play.judgeIdle("plan", accepted);
}

/// LOST: lasting tasks that wait behind a burst of finite work of a higher priority, on the workers that both require.
auto burstBeforeLastingTasks(Case &play) -> int
{
    for (int i = 0; i < 8; ++i) {
        play.m_fleet.add("i-7f3a91c" + std::to_string(i), "r1-" + std::to_string(i / 4), {"pool", 16'000, 62'500, i < 2 ? "b" : "a"});
    }
    if (!play.startDeployment(3)) {
        return couldNotRun;
    }
    std::vector<std::string> accepted;
    const auto submitFinite = [&](std::int64_t gapMs, std::int64_t forMs) {
        const auto until = Clock::now() + Milliseconds(forMs);
        while (Clock::now() < until) {
            auto finite = step(8, 1800, 1'700);
            finite.m_submitted["requires"] = "b";
            if (const auto job = jobId(1000 + accepted.size()); play.submit("plan", job, {finite})) {
                accepted.push_back(job);
            }
            Case::pause(gapMs);
        }
    };
    // Without the burst, the finite work takes nine tenths of the two workers.
    constexpr std::int64_t usualGapMs = 940;
    constexpr std::int64_t burstGapMs = usualGapMs * 10 / 26;
    submitFinite(usualGapMs, 4'000);
    submitFinite(play.m_hasTrouble ? burstGapMs : usualGapMs, 4'000);
    Case::pause(1'000);
    auto lasting = lastingStep(6, 5100, 320);
    lasting.m_submitted["requires"] = "b";
    if (!play.submit("low", jobId(0), {lasting})) {
        return couldNotRun;
    }
    play.m_record.add("end of the traffic");
    const int code = play.judgeIdle("plan", accepted);
    play.m_record.add("the lasting job has " + std::to_string(play.m_fleet.runningOf(jobId(0))) + " of 6 tasks at work");
    return code;
}

/// LOST: a lasting task stays away while gangs fill the workers.
auto lastingTasksBesideGangs(Case &play) -> int
{
    for (int i = 0; i < 8; ++i) {
        play.m_fleet.add("i-7f3a91c" + std::to_string(i), "r1-" + std::to_string(i / 4), {"pool"});
    }
    if (!play.startDeployment(3)) {
        return couldNotRun;
    }
    const auto lasting = jobId(0);
    if (!play.submit("watch", lasting, {lastingStep(5, 3200, 320)}) || !Case::await(10'000, [&] {
            return play.m_fleet.runningOf(lasting) == 5;
        })) {
        return couldNotRun;
    }
    for (std::size_t i = 0; i < 7; ++i) {
        auto gang = step(5, 3200, 20'000);
        gang.m_submitted["gang"] = true;
        if (!play.submit("recon", jobId(100 + i), {gang})) {
            return couldNotRun;
        }
    }
    if (!Case::await(10'000, [&] {
            const auto [used, capacity] = play.m_fleet.use();
            return used == capacity;
        })) {
        return couldNotRun;
    }
    Case::pause(2'000);
    if (play.m_hasTrouble) {
        play.m_fleet.crash(play.m_fleet.workerOf(lasting));
    }
    const auto since = play.m_record.now();
    // Well after 6 s since the last run, and after 7 s without a disruption.
    Case::pause(13'000);
    std::size_t most = 0;
    const auto until = Clock::now() + Milliseconds(idleMs);
    while (Clock::now() < until) {
        most = std::max(most, play.m_fleet.runningOf(lasting));
        Case::pause(10);
    }
    play.m_record.add("at most " + std::to_string(most) + " of 5 lasting tasks were at work from 13 to 16 s after second " + std::to_string(since / 1000));
    return play.verdict(most < 5, std::to_string(5 - most) + " of 5 lasting tasks had no run for 3 s, 13 s after their last one");
}

/// ROUTE and LIMIT: a worker starts again under its id as another kind.
auto otherKind(Case &play) -> int
{
    const WorkerKind large{"pool", 16'000, 62'500, "b"};
    const WorkerKind small{"pool", 4'000, 16'000, "a"};
    for (int i = 0; i < 8; ++i) {
        play.m_fleet.add("i-7f3a91c" + std::to_string(i), "r1-" + std::to_string(i / 4), large);
    }
    if (!play.startDeployment(3)) {
        return couldNotRun;
    }
    for (std::size_t i = 0; i < 150; ++i) {
        auto needy = step(8, 3500, 1'000);
        needy.m_submitted["requires"] = "b";
        if (!play.submit("recon", jobId(i), {needy})) {
            return couldNotRun;
        }
    }
    Case::pause(3'000);
    for (int i = 0; i < 4; ++i) {
        const auto id = "i-7f3a91c" + std::to_string(i);
        if (play.m_hasTrouble) {
            play.m_fleet.crash(id);
            Case::pause(1'000);
            play.m_fleet.restart(id, small);
        }
        Case::pause(3'000);
    }
    const auto breaches = play.m_fleet.breaches();
    return play.verdict(!breaches.empty(), std::to_string(breaches.size()) + " starts on workers without the label or over their capacity");
}

/// BUDGET: the finite step of a job that also has a lasting step is started without a limit.
auto hopelessFirstStep(Case &play) -> int
{
    for (int i = 0; i < 8; ++i) {
        play.m_fleet.add("i-7f3a91c" + std::to_string(i), "r1-" + std::to_string(i / 4), {"pool"});
    }
    if (!play.startDeployment(3)) {
        return couldNotRun;
    }
    std::string hopeless;
    for (std::size_t i = 0; i < 20; ++i) {
        auto first = step(1, 500, 400);
        first.m_fails = play.m_hasTrouble && i == 7;
        auto lasting = lastingStep(2, 400, 320);
        lasting.m_submitted["after"] = {0};
        if (!play.submit("watch", jobId(i), {first, lasting})) {
            return couldNotRun;
        }
        hopeless = i == 7 ? jobId(i) : hopeless;
    }
    Case::pause(finishMs);
    const auto events = play.m_fleet.events();
    const auto task = hopeless + ".0.0.0";
    const auto failed = std::ranges::count_if(events, [&](const RunEvent &event) {
        return event.m_task == task && event.m_what == "failed";
    });
    const auto state = play.state("watch", hopeless);
    return play.verdict(failed > 2, std::to_string(failed) + " runs of a finite task failed, max_attempts is 2; the job is shown as " + state);
}

struct Entry {
    std::string_view m_name;
    int (*m_play)(Case &);
};

constexpr Entry entries[] = {
    {"hopeless-lasting-jobs", hopelessLastingJobs},
    {"scheduled-job", scheduledJob},
    {"burst-before-lasting-tasks", burstBeforeLastingTasks},
    {"lasting-tasks-beside-gangs", lastingTasksBesideGangs},
    {"other-kind", otherKind},
    {"hopeless-first-step", hopelessFirstStep},
};
}
}

auto main(int argc, char **argv) -> int
{
    using namespace Review;
    const auto *const trouble = std::getenv("TROUBLE");
    for (const auto &entry : entries) {
        if (argc == 3 && entry.m_name == argv[1]) {
            Case play(argv[2], trouble == nullptr || std::string_view(trouble) != "0");
            const int code = entry.m_play(play);
            if (play.m_hosts.endedCount() > 0) {
                play.m_record.add("a host has ended by itself");
            }
            play.clean();
            // Threads of connections may still use the stand-ins.
            std::_Exit(code);
        }
    }
    std::cerr << "usage: cases NAME FOLDER\n";
    return couldNotRun;
}
