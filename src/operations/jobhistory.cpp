#include "burdockspur/operations/jobhistory.hpp"

#include <QDateTime>
#include <QString>

#include <algorithm>
#include <array>
#include <initializer_list>
#include <limits>
#include <optional>
#include <set>

namespace Burdockspur
{
namespace
{
/// Events that name no job but may delay any job.
constexpr std::array<std::string_view, 16> contextEvents{"started",
                                                         "drain_begun",
                                                         "ended",
                                                         "ownership_claim",
                                                         "ownership_taken",
                                                         "ownership_begun",
                                                         "ownership_released",
                                                         "ownership_fenced",
                                                         "ownership_lost",
                                                         "ownership_unusable",
                                                         "table_unreachable",
                                                         "table_reachable",
                                                         "commit_refused",
                                                         "commit_unsettled",
                                                         "ring_full",
                                                         "log_suppressed"};

constexpr std::size_t durationColumnWidth = 8;

[[nodiscard]] auto timeOf(const LogLine &line) -> std::int64_t
{
    const auto time = line.time();
    return QDateTime::fromString(QString::fromUtf8(time.data(), static_cast<qsizetype>(time.size())), Qt::ISODateWithMs).toMSecsSinceEpoch();
}

[[nodiscard]] auto joined(std::initializer_list<std::string_view> parts) -> std::string
{
    std::string text;
    for (const auto part : parts) {
        text.append(part);
    }
    return text;
}

[[nodiscard]] auto sorted(std::vector<const LogLine *> lines) -> std::vector<const LogLine *>
{
    std::ranges::stable_sort(lines, {}, &LogLine::time);
    return lines;
}
}

/// @brief One run of a task; times in Unix milliseconds.
struct JobHistory::Run {
    std::string_view m_task;
    std::string_view m_number;
    std::string_view m_worker;
    std::string_view m_endReason; ///< how it ended, or why it was lost
    std::int64_t m_assigned = 0;
    std::optional<std::int64_t> m_started;
    std::optional<std::int64_t> m_ended;
};

JobHistory::JobHistory(std::string_view job)
    : m_job(job)
{
}

auto JobHistory::read(std::istream &logs) -> void
{
    std::string text;
    while (std::getline(logs, text)) {
        auto line = LogLine::parse(text);
        if (!line) {
            continue;
        }
        if (line->value("job") == m_job || line->value("request") == m_job) {
            m_lines.push_back(std::move(*line));
        } else if (line->value("job").empty() && (!line->value("worker").empty() || std::ranges::find(contextEvents, line->event()) != contextEvents.end())) {
            m_contextLines.push_back(std::move(*line));
        }
    }
}

auto JobHistory::linesOfJob() const -> std::vector<const LogLine *>
{
    std::vector<const LogLine *> lines;
    lines.reserve(m_lines.size());
    for (const auto &line : m_lines) {
        lines.push_back(&line);
    }
    return sorted(std::move(lines));
}

auto JobHistory::lines() const -> std::vector<const LogLine *>
{
    auto lines = linesOfJob();
    if (lines.empty()) {
        return lines;
    }
    std::set<std::string_view> workers;
    for (const auto *const line : lines) {
        workers.insert(line->value("worker"));
    }
    const auto first = lines.front()->time();
    const auto last = lines.back()->time();
    for (const auto &line : m_contextLines) {
        const auto worker = line.value("worker");
        const bool isRelevant = worker.empty() || workers.contains(worker);
        if (isRelevant && line.time() >= first && line.time() <= last) {
            lines.push_back(&line);
        }
    }
    return sorted(std::move(lines));
}

auto JobHistory::runs() const -> std::vector<Run>
{
    std::vector<Run> runs;
    const auto openRun = [&runs](const LogLine &line) -> Run * {
        const auto run = std::ranges::find_if(runs, [&line](const Run &other) {
            return other.m_task == line.value("task") && other.m_number == line.value("run");
        });
        return run == runs.end() || run->m_ended ? nullptr : &*run;
    };
    for (const auto *const line : linesOfJob()) {
        const auto event = line->event();
        if (event == "task_assigned") {
            runs.push_back({line->value("task"), line->value("run"), line->value("worker"), {}, timeOf(*line), {}, {}});
        } else if (auto *const run = openRun(*line); run == nullptr) {
            continue;
        } else if (event == "start_answered" && line->value("outcome") == "accepted") {
            run->m_started = timeOf(*line);
        } else if (event == "run_ended") {
            run->m_ended = timeOf(*line);
            run->m_endReason = line->value("how");
        } else if (event == "run_lost" || event == "run_returned") {
            run->m_ended = timeOf(*line);
            run->m_endReason = line->value("reason");
        }
    }
    return runs;
}

auto JobHistory::criticalPath() const -> std::vector<Segment>
{
    const auto all = runs();
    const auto lastEndedBefore = [&all](std::int64_t time, std::string_view task) -> const Run * {
        const Run *latest = nullptr;
        for (const auto &run : all) {
            const bool isEarlier = run.m_ended && *run.m_ended <= time && (task.empty() || run.m_task == task);
            if (isEarlier && (latest == nullptr || *run.m_ended >= *latest->m_ended)) {
                latest = &run;
            }
        }
        return latest;
    };
    const auto lines = linesOfJob();
    const auto firstSeen = std::ranges::find(lines, "job_seen", &LogLine::event);
    const auto waitBetween = [&lines](std::int64_t since, std::int64_t until) -> std::string {
        std::string activity = "wait for a worker";
        for (const auto *const line : lines) {
            const auto time = timeOf(*line);
            if (line->event() == "task_held_back" && time >= since && time <= until) {
                activity = joined({"wait for a worker, held back by ", line->value("guard")});
                if (const auto worker = line->value("reserved_worker"); !worker.empty()) {
                    activity += joined({", room on ", worker, " expected ", line->value("reserved_in_ms"), " ms later"});
                }
            }
        }
        return activity;
    };
    std::vector<Segment> path;
    std::set<const Run *> visited;
    const Run *run = lastEndedBefore(std::numeric_limits<std::int64_t>::max(), {});
    while (run != nullptr && visited.insert(run).second) {
        const auto started = run->m_started.value_or(run->m_assigned);
        path.push_back({std::string(run->m_task),
                        joined({"run ", run->m_number, " on ", run->m_worker, " ended ", run->m_endReason}),
                        Milliseconds(*run->m_ended - started)});
        path.push_back({std::string(run->m_task), joined({"order of run ", run->m_number, " to ", run->m_worker}), Milliseconds(started - run->m_assigned)});
        // A task that ran before has waited since the end of that run; any other, since the last end of any run of the job.
        const Run *previous = lastEndedBefore(run->m_assigned, run->m_task);
        previous = previous == nullptr ? lastEndedBefore(run->m_assigned, {}) : previous;
        if (previous != nullptr || firstSeen != lines.end()) {
            const auto since = previous != nullptr ? *previous->m_ended : timeOf(**firstSeen);
            path.push_back({std::string(run->m_task), waitBetween(since, run->m_assigned), Milliseconds(run->m_assigned - since)});
        }
        run = previous;
    }
    std::ranges::reverse(path);
    return path;
}

auto JobHistory::report() const -> std::string
{
    std::string text;
    for (const auto *const line : lines()) {
        text.append(line->text()).append("\n");
    }
    const auto path = criticalPath();
    if (path.empty()) {
        return text + "no run of the job has ended\n";
    }
    text.append("where the time went:\n");
    for (const auto &segment : path) {
        const auto duration = std::to_string(segment.m_duration.count());
        text.append(durationColumnWidth - std::min(durationColumnWidth, duration.size()), ' ');
        text.append(duration).append(" ms  ").append(segment.m_task).append("  ").append(segment.m_activity).append("\n");
    }
    return text;
}
}
