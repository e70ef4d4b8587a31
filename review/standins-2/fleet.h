// Stand-ins for the platform's workers, and the record of everything that they were told and did.
#pragma once

#include "store.h"

#include <cstdio>
#include <fstream>
#include <memory>
#include <vector>

namespace Review
{
/// Writes lines with the time since the start of the case.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
    }

    [[nodiscard]] auto now() const -> std::int64_t
    {
        return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start).count();
    }

    auto add(const std::string &line) -> void
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", static_cast<double>(now()) / 1000);
        m_file << time << line << std::endl;
    }

private:
    std::ofstream m_file;
    std::mutex m_mutex;
    Clock::time_point m_start = Clock::now();
};

/// What the tasks of a step do, and what they ask for.
struct StepPlan {
    Json m_submitted; ///< the step as submitted
    Milliseconds m_duration{1'000}; ///< time until the end; of a lasting task that does not fail: its start-up time
    bool m_fails = false; ///< ends `failed` after the duration

    [[nodiscard]] auto lasts() const -> bool
    {
        return m_submitted.value("long_running", false);
    }

    [[nodiscard]] auto cpu() const -> std::int64_t
    {
        return m_submitted.value("fills", false) ? 0 : m_submitted.value("cpu", std::int64_t{0});
    }
};

/// What a worker is; a later life under the same id may be another kind.
struct WorkerKind {
    std::string m_service;
    std::int64_t m_cpu = 16'000;
    std::int64_t m_memory = 62'500;
    std::string m_label = "a";
};

/// A start or an end of a run, as the worker saw it.
struct RunEvent {
    std::int64_t m_at = 0;
    std::string m_worker;
    std::string m_task;
    std::uint64_t m_run = 0;
    std::string m_what; ///< `start`, or how the run ended; `lost` when its worker crashed
};

/// All workers of a case, in one process; each has a port and a life of its own.
class Fleet
{
public:
    static constexpr Milliseconds heartbeat{1'100};
    static constexpr std::int64_t maxHoldMs = 10'000;
    static constexpr Milliseconds gangTimeout{3'000};
    static constexpr Milliseconds checkpointInterval{2'000};
    static constexpr std::size_t endsPerAnswer = 500;

    Fleet(Store &store, Record &record)
        : m_store(store)
        , m_record(record)
        , m_ticker([this] {
            while (!m_isOver) {
                tick();
                std::this_thread::sleep_for(Milliseconds(5));
            }
        })
    {
    }

    ~Fleet()
    {
        end();
    }

    Fleet(const Fleet &) = delete;
    auto operator=(const Fleet &) -> Fleet & = delete;

    /// Ends all workers.
    auto end() -> void
    {
        if (m_isOver.exchange(true)) {
            return;
        }
        m_ticker.join();
        m_ended.notify_all();
        for (auto &worker : m_workers) {
            if (worker->m_server) {
                worker->m_server->stop();
            }
        }
    }

    /// Starts a worker and registers it.
    auto add(const std::string &id, const std::string &rack, const WorkerKind &kind) -> void
    {
        auto &worker = *m_workers.emplace_back(std::make_unique<Worker>());
        worker.m_id = id;
        worker.m_rack = rack;
        begin(worker, kind);
    }

    /// Crashes a worker: its connections are reset, it forgets everything, and it sends nothing any more.
    auto crash(const std::string &id) -> void
    {
        auto &worker = find(id);
        std::unique_ptr<HttpServer> server;
        {
            const std::lock_guard lock(m_mutex);
            worker.m_isUp = false;
            for (const auto &[task, run] : worker.m_runs) {
                addEvent(worker, task, run.m_run, "lost");
            }
            worker.m_runs.clear();
            server = std::move(worker.m_server);
            m_ended.notify_all();
        }
        m_record.add("worker " + id + " crashes");
        server->stop();
        const std::lock_guard lock(m_mutex);
        // Threads of connections may still leave the handler.
        m_stopped.push_back(std::move(server));
    }

    /// Starts a crashed worker again, under its id and at its address.
    auto restart(const std::string &id, const WorkerKind &kind) -> void
    {
        begin(find(id), kind);
    }

    /// Tells what the tasks of a job do; before the job is submitted.
    auto define(const std::string &job, const std::vector<StepPlan> &steps) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_jobs[job] = steps;
    }

    [[nodiscard]] auto events() -> std::vector<RunEvent>
    {
        const std::lock_guard lock(m_mutex);
        return m_events;
    }

    /// Number of tasks of a job that run now.
    [[nodiscard]] auto runningOf(const std::string &job) -> std::size_t
    {
        const std::lock_guard lock(m_mutex);
        std::size_t count = 0;
        for (const auto &worker : m_workers) {
            count += static_cast<std::size_t>(std::ranges::count_if(worker->m_runs, [&](const auto &run) {
                return run.first.starts_with(job + ".");
            }));
        }
        return count;
    }

    /// Processors that the tasks on all workers have asked for, and those that there are, in thousandths.
    [[nodiscard]] auto use() -> std::pair<std::int64_t, std::int64_t>
    {
        const std::lock_guard lock(m_mutex);
        std::int64_t used = 0;
        std::int64_t capacity = 0;
        for (const auto &worker : m_workers) {
            used += usedOf(*worker);
            capacity += worker->m_isUp ? worker->m_kind.m_cpu : 0;
        }
        return {used, capacity};
    }

    /// Name of the worker that runs a task of a job; empty if there is none.
    [[nodiscard]] auto workerOf(const std::string &job) -> std::string
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &worker : m_workers) {
            for (const auto &[task, run] : worker->m_runs) {
                if (task.starts_with(job + ".")) {
                    return worker->m_id;
                }
            }
        }
        return {};
    }

    /// Breaches of ROUTE and LIMIT that a worker has seen at a start.
    [[nodiscard]] auto breaches() -> std::vector<std::string>
    {
        const std::lock_guard lock(m_mutex);
        return m_breaches;
    }

private:
    struct Run {
        std::uint64_t m_run = 0;
        Clock::time_point m_since;
        const StepPlan *m_plan = nullptr;
        std::string m_saved;
        Milliseconds m_before{0}; ///< work that the checkpoint of the start contains
        Milliseconds m_savedWork{0}; ///< work that m_saved contains
    };
    struct End {
        std::uint64_t m_number = 0;
        std::string m_task;
        std::uint64_t m_run = 0;
        std::string m_how;
        std::string m_saved;
    };
    struct Worker {
        std::string m_id;
        std::string m_rack;
        WorkerKind m_kind;
        std::uint16_t m_port = 0;
        std::unique_ptr<HttpServer> m_server;
        bool m_isUp = false;
        bool m_isListed = false;
        std::int64_t m_born = 0;
        Clock::time_point m_startedAt;
        Clock::time_point m_nextBeat;
        Clock::time_point m_lastBeat;
        std::uint64_t m_seq = 0;
        std::uint64_t m_fence = 0;
        std::int64_t m_deadline = 0;
        std::uint64_t m_lastEnd = 0;
        std::map<std::string, Run> m_runs;
        std::map<std::string, std::uint64_t> m_over; ///< highest run of a task that was stopped or has ended here
        std::vector<End> m_finished;

        [[nodiscard]] auto clock() const -> std::int64_t
        {
            return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startedAt).count();
        }
    };

    auto find(const std::string &id) -> Worker &
    {
        return **std::ranges::find(m_workers, id, [](const auto &worker) {
            return worker->m_id;
        });
    }

    static auto usedOf(const Worker &worker) -> std::int64_t
    {
        std::int64_t used = 0;
        for (const auto &[task, run] : worker.m_runs) {
            used += run.m_plan->cpu();
        }
        return used;
    }

    auto begin(Worker &worker, const WorkerKind &kind) -> void
    {
        const std::lock_guard lock(m_mutex);
        worker.m_kind = kind;
        worker.m_born = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        worker.m_startedAt = Clock::now();
        worker.m_nextBeat = Clock::now();
        worker.m_seq = 0;
        worker.m_fence = 0;
        worker.m_deadline = 0;
        worker.m_lastEnd = 0;
        worker.m_over.clear();
        worker.m_finished.clear();
        worker.m_isUp = true;
        // Registered before it takes calls, so that its entry is in the store as early as can be.
        beat(worker);
        worker.m_server = std::make_unique<HttpServer>(worker.m_port, [this, &worker, born = worker.m_born](const Request &request) {
            return serve(worker, born, request);
        });
        if (worker.m_port == 0) {
            worker.m_port = worker.m_server->port();
            beat(worker);
        }
        m_record.add("worker " + worker.m_id + " starts: service " + kind.m_service + ", cpu " + std::to_string(kind.m_cpu) + ", label " + kind.m_label);
    }

    auto beat(Worker &worker) -> void
    {
        worker.m_nextBeat = Clock::now() + heartbeat;
        worker.m_lastBeat = Clock::now();
        if (worker.m_port == 0) {
            return;
        }
        worker.m_isListed = true;
        m_store.put("servers",
                    worker.m_id,
                    Json{{"service", worker.m_kind.m_service},
                         {"address", "127.0.0.1:" + std::to_string(worker.m_port)},
                         {"zone", "zone-a"},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", "ready"},
                         {"cold_remaining_ms", 0},
                         {"capacity", {{"cpu", worker.m_kind.m_cpu}, {"mem_mb", worker.m_kind.m_memory}, {"gpu", 0}}},
                         {"labels", {worker.m_kind.m_label, worker.m_rack}},
                         {"clock_ms", worker.clock()},
                         {"born", worker.m_born},
                         {"seq", ++worker.m_seq}});
    }

    auto addEvent(const Worker &worker, const std::string &task, std::uint64_t run, const std::string &what) -> void
    {
        m_events.push_back({m_record.now(), worker.m_id, task, run, what});
        m_record.add(worker.m_id + " " + task + " run " + std::to_string(run) + " " + what);
    }

    auto finish(Worker &worker, const std::string &task, const std::string &how) -> void
    {
        const auto run = worker.m_runs.at(task);
        worker.m_runs.erase(task);
        worker.m_over[task] = std::max(worker.m_over[task], run.m_run);
        worker.m_finished.push_back({++worker.m_lastEnd, task, run.m_run, how, run.m_saved});
        addEvent(worker, task, run.m_run, how);
        m_ended.notify_all();
    }

    /// Name of the gang that a run belongs to; empty for other runs.
    static auto gangOf(const std::string &task, const Run &run) -> std::string
    {
        return run.m_plan->m_submitted.value("gang", false) ? task.substr(0, task.rfind('.')) + "/" + std::to_string(run.m_run) : std::string();
    }

    /// Makes a new checkpoint when enough work has been done since the last one.
    auto save(Run &run, Clock::time_point now) -> void
    {
        const auto work = run.m_before + std::chrono::duration_cast<Milliseconds>(now - run.m_since);
        if (run.m_plan->m_submitted.value("saves_progress", false) && work - run.m_savedWork >= checkpointInterval) {
            char text[17];
            std::snprintf(text, sizeof text, "%016zx", ++m_checkpoint);
            run.m_saved = text;
            run.m_savedWork = work;
            m_savedWork[run.m_saved] = work;
        }
    }

    auto tick() -> void
    {
        const std::lock_guard lock(m_mutex);
        const auto now = Clock::now();
        std::map<std::string, std::size_t> present;
        for (auto &worker : m_workers) {
            for (const auto &[task, run] : worker->m_runs) {
                if (const auto gang = gangOf(task, run); !gang.empty()) {
                    ++present[gang];
                }
            }
        }
        for (auto &worker : m_workers) {
            if (!worker->m_isUp) {
                if (worker->m_isListed && now - worker->m_lastBeat >= 3 * heartbeat) {
                    worker->m_isListed = false;
                    m_store.remove("servers", worker->m_id);
                }
                continue;
            }
            if (now >= worker->m_nextBeat) {
                beat(*worker);
            }
            std::vector<std::pair<std::string, std::string>> ends;
            for (auto &[task, run] : worker->m_runs) {
                save(run, now);
                const auto gang = gangOf(task, run);
                if (!gang.empty() && !m_complete.contains(gang) && present[gang] >= run.m_plan->m_submitted.value("count", std::size_t{1})) {
                    m_complete[gang] = now;
                }
                const auto began = gang.empty() ? run.m_since : m_complete.contains(gang) ? m_complete[gang] : Clock::time_point::max();
                if (worker->clock() >= worker->m_deadline) {
                    ends.emplace_back(task, "lapsed");
                } else if (!gang.empty() && m_complete.contains(gang) && present[gang] < run.m_plan->m_submitted.value("count", std::size_t{1})
                           && !m_done.contains(gang)) {
                    ends.emplace_back(task, "broken");
                } else if (began == Clock::time_point::max()) {
                    if (now - run.m_since >= gangTimeout) {
                        ends.emplace_back(task, "alone");
                    }
                } else if (now - began + run.m_before >= run.m_plan->m_duration && (run.m_plan->m_fails || !run.m_plan->lasts())) {
                    ends.emplace_back(task, run.m_plan->m_fails ? "failed" : "done");
                    if (!gang.empty()) {
                        m_done.insert(gang);
                    }
                }
            }
            for (const auto &[task, how] : ends) {
                finish(*worker, task, how);
            }
        }
    }

    auto serve(Worker &worker, std::int64_t born, const Request &request) -> Response
    {
        const auto call = Json::parse(request.m_body, nullptr, false);
        std::unique_lock lock(m_mutex);
        if (!worker.m_isUp || worker.m_born != born) {
            return {0};
        }
        const auto answer = [&](int status, const std::string &reason = {}) {
            Json body{{"clock_ms", worker.clock()}};
            if (!reason.empty()) {
                body["reason"] = reason;
            }
            return Response{status, body.dump()};
        };
        if (request.m_path == "/health") {
            return answer(200);
        }
        if (!call.is_object()) {
            return answer(400);
        }
        const auto instance = request.m_fields.find("target-instance");
        if (instance != request.m_fields.end() && instance->second != worker.m_id) {
            return answer(421);
        }
        const auto fence = call.value("fencing_token", std::uint64_t{0});
        if (fence < worker.m_fence) {
            return answer(409, "fence");
        }
        worker.m_fence = fence;
        if (call.contains("deadline_ms")) {
            const auto deadline = std::min(call["deadline_ms"].get<std::int64_t>(), worker.clock() + maxHoldMs);
            worker.m_deadline = std::max(worker.m_deadline, deadline);
        }
        if (request.m_path == "/hold") {
            return hold(worker, born, call, lock);
        }
        const auto task = call.value("task", "");
        const auto run = call.value("run", std::uint64_t{0});
        const auto running = worker.m_runs.find(task);
        if (request.m_path == "/run-start") {
            if (running != worker.m_runs.end() && running->second.m_run == run) {
                return answer(200);
            }
            if (running != worker.m_runs.end() || run <= worker.m_over[task]) {
                return answer(409, "old");
            }
            if (call.value("deadline_ms", std::int64_t{0}) <= worker.clock()) {
                return answer(409, "late");
            }
            return start(worker, task, run, call.value("checkpoint", "")) ? answer(200) : answer(400);
        }
        if (request.m_path == "/run-stop") {
            if (running != worker.m_runs.end() && running->second.m_run == run) {
                finish(worker, task, "stopped");
            }
            worker.m_over[task] = std::max(worker.m_over[task], run);
        }
        return answer(200);
    }

    auto start(Worker &worker, const std::string &task, std::uint64_t run, const std::string &checkpoint) -> bool
    {
        const auto job = m_jobs.find(task.substr(0, task.find('.')));
        const auto step = task.find('.', task.find('.') + 1) + 1;
        const auto number = std::stoul(task.substr(step));
        if (job == m_jobs.end() || number >= job->second.size()) {
            m_record.add("unknown task " + task);
            return false;
        }
        const auto &plan = job->second[number];
        const auto saved = checkpoint.empty() ? Milliseconds{0} : m_savedWork[checkpoint];
        worker.m_runs[task] = {run, Clock::now(), &plan, checkpoint, saved, saved};
        addEvent(worker, task, run, "start");
        const auto needed = plan.m_submitted.value("requires", "");
        if (!needed.empty() && needed != worker.m_kind.m_label && needed != worker.m_rack) {
            breach("ROUTE: " + worker.m_id + " has no label " + needed + ", and was told to start " + task + " run " + std::to_string(run));
        }
        if (const auto used = usedOf(worker); used > worker.m_kind.m_cpu) {
            breach("LIMIT: " + worker.m_id + " has " + std::to_string(worker.m_kind.m_cpu) + ", and uses " + std::to_string(used) + " with " + task + " run "
                   + std::to_string(run));
        }
        return true;
    }

    auto breach(const std::string &text) -> void
    {
        m_breaches.push_back(text);
        m_record.add("BREACH " + text);
    }

    auto hold(Worker &worker, std::int64_t born, const Json &call, std::unique_lock<std::mutex> &lock) -> Response
    {
        const auto acked = call.value("ack_cursor", std::uint64_t{0});
        std::erase_if(worker.m_finished, [acked](const End &end) {
            return end.m_number <= acked;
        });
        m_ended.wait_until(lock, Clock::now() + Milliseconds(call.value("wait_ms", 0)), [&] {
            return m_isOver || !worker.m_isUp || worker.m_born != born || !worker.m_finished.empty();
        });
        if (!worker.m_isUp || worker.m_born != born) {
            return {0};
        }
        Json running = Json::array();
        for (const auto &[task, run] : worker.m_runs) {
            const auto share = 100.0 * std::chrono::duration<double>(Clock::now() - run.m_since).count()
                / std::max(0.001, std::chrono::duration<double>(run.m_plan->m_duration).count());
            const auto percent = static_cast<int>(std::min(run.m_plan->lasts() ? 100.0 : 99.0, share));
            running.push_back({task, run.m_run, run.m_saved, percent, run.m_plan->lasts() ? 5 : run.m_plan->m_submitted.value("cpu", 0)});
        }
        Json finished = Json::array();
        for (std::size_t i = 0; i < std::min(endsPerAnswer, worker.m_finished.size()); ++i) {
            const auto &end = worker.m_finished[i];
            finished.push_back({end.m_number, end.m_task, end.m_run, end.m_how, end.m_saved});
        }
        return {200, Json{{"clock_ms", worker.clock()}, {"born", worker.m_born}, {"running", running}, {"finished", finished}}.dump()};
    }

    Store &m_store;
    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::unique_ptr<HttpServer>> m_stopped;
    std::map<std::string, std::vector<StepPlan>> m_jobs;
    std::map<std::string, Clock::time_point> m_complete; ///< gangs whose members were all present, and since when
    std::set<std::string> m_done;
    std::size_t m_checkpoint = 0;
    std::map<std::string, Milliseconds> m_savedWork; ///< work that a checkpoint contains
    std::vector<RunEvent> m_events;
    std::vector<std::string> m_breaches;
    std::atomic<bool> m_isOver = false;
    std::thread m_ticker;
};
}
