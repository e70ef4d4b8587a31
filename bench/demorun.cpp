#include "demorun.hpp"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>
#include <filesystem>
#include <iostream>

namespace Burdockspur::Bench
{
namespace
{
constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
// Added to the deadline for the timeout of a call, because an entry daemon may answer as late as the deadline.
constexpr auto replyMargin = Milliseconds(5'000);
constexpr auto pollPeriod = Milliseconds(200);
// Limits the number of requests, because a worker's journal keeps 20,000 entries only.
constexpr auto roundPause = Milliseconds(250);

[[nodiscard]] auto parseObject(std::string_view json) -> QJsonObject
{
    return QJsonDocument::fromJson(QByteArray(json.data(), static_cast<qsizetype>(json.size()))).object();
}

[[nodiscard]] auto textOf(const QJsonObject &object, QLatin1StringView key) -> std::string
{
    return object.value(key).toString().toStdString();
}

[[nodiscard]] auto describe(const HttpReply &reply) -> std::string
{
    if (!reply) {
        return reply.error().m_error.m_message;
    }
    return "status " + std::to_string(reply->m_status) + ": " + reply->m_body;
}
}

DemoRun::DemoRun(const DemoPlan &plan)
    : m_plan(plan)
    , m_random(plan.m_seed)
    , m_session(plan.m_deadline + replyMargin)
{
}

auto DemoRun::entry(std::size_t index) const -> const HttpEndpoint &
{
    return m_plan.m_entries[index % m_plan.m_entries.size()];
}

auto DemoRun::requestCall(std::size_t entryIndex, std::string_view service, std::string_view key, std::string_view body) const -> PendingCall
{
    PendingCall call{.m_server = entry(entryIndex), .m_request = {}};
    call.m_request.m_method = "POST";
    call.m_request.m_target = "/v1/services/" + std::string(service) + "/requests";
    call.m_request.m_fields = {{"Burdockspur-Caller", "demo"},
                               {"Burdockspur-Deadline-Ms", std::to_string(m_plan.m_deadline.count())},
                               {"Burdockspur-Idempotent", key.empty() ? "true" : "false"},
                               {"Burdockspur-Service-Time-Us", "2000"}};
    if (!key.empty()) {
        call.m_request.m_fields.push_back({"Idempotency-Key", std::string(key)});
    }
    call.m_request.m_body = body;
    return call;
}

auto DemoRun::submitCall(std::size_t entryIndex, std::string_view kind, std::string_view key, std::string_view payload) const -> PendingCall
{
    const bool isBatch = kind == "batch";
    const QJsonObject job{{QStringLiteral("kind"), QString::fromUtf8(kind.data(), static_cast<qsizetype>(kind.size()))},
                          {QStringLiteral("class"), isBatch ? QStringLiteral("reconciliation") : QStringLiteral("tracking")},
                          {QStringLiteral("team"), QStringLiteral("dispatch")},
                          {QStringLiteral("cpu_millis"), isBatch ? 1000 : 200},
                          {QStringLiteral("memory_mb"), 512},
                          {QStringLiteral("accelerators"), 0},
                          {QStringLiteral("duration_ms"), isBatch ? static_cast<qint64>(m_plan.m_batchDuration.count()) : 0},
                          {QStringLiteral("urgent"), false},
                          {QStringLiteral("payload"), QString::fromUtf8(payload.data(), static_cast<qsizetype>(payload.size()))}};
    PendingCall call{.m_server = entry(entryIndex), .m_request = {}};
    call.m_request.m_method = "POST";
    call.m_request.m_target = "/v1/jobs";
    call.m_request.m_fields = {{"Burdockspur-Caller", "demo"}, {"Idempotency-Key", std::string(key)}, {"Content-Type", "application/json"}};
    call.m_request.m_body = QJsonDocument(job).toJson(QJsonDocument::Compact).toStdString();
    return call;
}

auto DemoRun::callWithRetries(std::span<const PendingCall> calls, int wantedStatus) -> std::vector<HttpReply>
{
    const TimePoint deadline = Clock::now() + m_plan.m_waitTimeout;
    const auto isUnanswered = [wantedStatus](const HttpReply &reply) {
        return !reply || reply->m_status != wantedStatus;
    };
    std::vector<PendingCall> copies(calls.begin(), calls.end());
    std::vector<HttpReply> replies = m_session.callAll(copies);
    const auto report = [&isUnanswered](const HttpReply &reply) {
        if (isUnanswered(reply)) {
            std::cerr << "unanswered: " << describe(reply) << std::endl;
        }
    };
    std::ranges::for_each(replies, report);
    for (std::size_t entryOffset = 1; m_plan.m_repeatUnanswered && std::ranges::any_of(replies, isUnanswered) && Clock::now() < deadline; ++entryOffset) {
        CallerSession::wait(pollPeriod);
        std::vector<std::size_t> indices;
        std::vector<PendingCall> retries;
        for (std::size_t i = 0; i < calls.size(); ++i) {
            if (isUnanswered(replies[i])) {
                const auto first = std::ranges::find(m_plan.m_entries, calls[i].m_server);
                indices.push_back(i);
                retries.push_back(calls[i]);
                retries.back().m_server = entry(static_cast<std::size_t>(first - m_plan.m_entries.begin()) + entryOffset);
            }
        }
        std::vector<HttpReply> retryReplies = m_session.callAll(retries);
        std::ranges::for_each(retryReplies, report);
        for (std::size_t i = 0; i < indices.size(); ++i) {
            replies[indices[i]] = std::move(retryReplies[i]);
        }
    }
    return replies;
}

auto DemoRun::isLastRound() const -> bool
{
    std::error_code error;
    return m_plan.m_stopFile.empty() || std::filesystem::exists(m_plan.m_stopFile, error);
}

auto DemoRun::sendRounds(WorkRow &checks, WorkRow &holds) -> Result<void>
{
    for (std::size_t round = 1;; ++round) {
        checks.add(sendRequests("check", m_plan.m_checks, 1));
        if (round == 1) {
            if (const auto marked = markWorkerLeaving(); !marked) {
                return marked;
            }
        }
        holds.add(sendRequests("hold", m_plan.m_holds, 2));
        if (isLastRound()) {
            return {};
        }
        // Test scripts read these lines to wait until whole rounds have passed during a fault.
        std::cout << "round=" << round << " answered=" << checks.m_answered + holds.m_answered << " lost=" << checks.m_lost + holds.m_lost << std::endl;
        CallerSession::wait(roundPause);
    }
}

auto DemoRun::sendRequests(std::string_view service, std::size_t count, std::size_t copies) -> WorkRow
{
    std::vector<SentRequest> sentRequests;
    std::vector<PendingCall> calls;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string body = hexOf(m_random.next64()) + " " + std::to_string(i);
        // Only requests that are sent through two entry hosts need an idempotency key.
        const std::string key = copies > 1 ? std::string(service) + "-" + hexOf(m_random.next64()) : std::string();
        sentRequests.push_back({.m_requestId = {}, .m_expected = std::string(service) + ":" + hexOf(hashOf(body)) + ":" + body});
        for (std::size_t copy = 0; copy < copies; ++copy) {
            calls.push_back(requestCall(i + copy, service, key, body));
        }
    }
    const std::vector<HttpReply> replies = callWithRetries(calls, statusOk);
    WorkRow row{.m_kind = "requests: " + std::string(service), .m_submitted = count};
    for (std::size_t i = 0; i < count; ++i) {
        const auto copiesOfRequest = std::span(replies).subspan(i * copies, copies);
        const auto isAnswered = [](const HttpReply &reply) {
            return reply && reply->m_status == statusOk;
        };
        const bool answered = std::ranges::all_of(copiesOfRequest, isAnswered);
        // All requests with the same key get the same request id, which the workers receive as the key.
        sentRequests[i].m_requestId = answered ? copiesOfRequest.front()->field("Burdockspur-Request-Id") : std::string_view();
        row.m_answered += answered ? 1 : 0;
        row.m_lost += answered ? 0 : 1;
        row.m_different += static_cast<std::uint64_t>(std::ranges::count_if(copiesOfRequest, [&](const HttpReply &reply) {
            return isAnswered(reply) && (reply->m_body != sentRequests[i].m_expected || reply->field("Burdockspur-Request-Id") != sentRequests[i].m_requestId);
        }));
    }
    if (copies > 1) {
        m_keyedRequests.insert(m_keyedRequests.end(), sentRequests.begin(), sentRequests.end());
    }
    return row;
}

auto DemoRun::submitJobs(std::string_view kind, std::size_t count) -> Result<std::vector<SubmittedJob>>
{
    constexpr std::size_t copies = 2;
    std::vector<PendingCall> calls;
    std::vector<SubmittedJob> jobs;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string payload = hexOf(m_random.next64());
        const std::string key = std::string(kind) + "-" + payload;
        jobs.push_back({.m_id = jobIdOf("demo", key), .m_expectedResult = hexOf(hashOf(payload)), .m_state = {}, .m_result = {}});
        for (std::size_t copy = 0; copy < copies; ++copy) {
            calls.push_back(submitCall(i + copy, kind, key, payload));
        }
    }
    const std::vector<HttpReply> replies = callWithRetries(calls, statusAccepted);
    for (std::size_t i = 0; i < replies.size(); ++i) {
        const HttpReply &reply = replies[i];
        if (!reply || reply->m_status != statusAccepted) {
            return failure(ErrorCode::Unavailable, "submission of a " + std::string(kind) + " job failed: " + describe(reply));
        }
        if (textOf(parseObject(reply->m_body), QLatin1StringView("job_id")) != jobs[i / copies].m_id) {
            return failure(ErrorCode::AnswerCorrupt, "the answer to a submission names another job: " + reply->m_body);
        }
    }
    return jobs;
}

auto DemoRun::refreshStates(std::span<SubmittedJob> jobs) -> void
{
    std::vector<PendingCall> calls;
    calls.reserve(jobs.size());
    ++m_refreshCount;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        calls.push_back(
            {.m_server = entry(i + m_refreshCount), .m_request = {.m_method = "GET", .m_target = "/v1/jobs/" + jobs[i].m_id, .m_fields = {}, .m_body = {}}});
    }
    const std::vector<HttpReply> replies = m_session.callAll(calls);
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        if (replies[i] && replies[i]->m_status == statusOk) {
            const QJsonObject job = parseObject(replies[i]->m_body);
            jobs[i].m_state = textOf(job, QLatin1StringView("state"));
            jobs[i].m_result = textOf(job, QLatin1StringView("result"));
        }
    }
}

auto DemoRun::waitForState(std::span<SubmittedJob> jobs, std::string_view state) -> bool
{
    const TimePoint deadline = Clock::now() + m_plan.m_waitTimeout;
    while (true) {
        refreshStates(jobs);
        const bool reached = std::ranges::all_of(jobs, [state](const SubmittedJob &job) {
            return job.m_state == state;
        });
        if (reached || Clock::now() >= deadline) {
            return reached;
        }
        CallerSession::wait(pollPeriod);
    }
}

auto DemoRun::cancel(std::span<SubmittedJob> jobs) -> bool
{
    const TimePoint deadline = Clock::now() + m_plan.m_waitTimeout;
    for (std::size_t entryOffset = 0;; ++entryOffset) {
        std::vector<PendingCall> calls;
        calls.reserve(jobs.size());
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            calls.push_back({.m_server = entry(i + entryOffset),
                             .m_request = {.m_method = "DELETE", .m_target = "/v1/jobs/" + jobs[i].m_id, .m_fields = {}, .m_body = {}}});
        }
        // The replies are not checked; the states of the jobs show whether the cancellations took effect.
        [[maybe_unused]] const std::vector<HttpReply> replies = m_session.callAll(calls);
        CallerSession::wait(pollPeriod);
        refreshStates(jobs);
        const bool ended = std::ranges::all_of(jobs, [](const SubmittedJob &job) {
            return job.m_state == "cancelled";
        });
        if (ended || Clock::now() >= deadline) {
            return ended;
        }
    }
}

auto DemoRun::markWorkerLeaving() -> Result<void>
{
    if (m_plan.m_leavingWorker.empty() || m_plan.m_platform.empty()) {
        return {};
    }
    const HttpReply reply = m_session.call(m_plan.m_platform.front(), "PUT", "/standin/hosts/" + m_plan.m_leavingWorker, R"({"state":"leaving"})");
    if (!reply || reply->m_status != statusOk) {
        return failure(ErrorCode::Unavailable, "cannot set the worker to leaving: " + describe(reply));
    }
    return {};
}

auto DemoRun::readJournals() -> Result<void>
{
    for (const NamedWorker &worker : m_plan.m_workers) {
        const HttpReply reply = m_session.get(worker.m_endpoint, "/standin/journal");
        if (!reply || reply->m_status != statusOk) {
            return failure(ErrorCode::Unavailable, "cannot read the journal of " + worker.m_name + ": " + describe(reply));
        }
        if (!m_history.addJournal(worker.m_name, reply->m_body)) {
            return failure(ErrorCode::AnswerCorrupt, "the journal of " + worker.m_name + " is incomplete");
        }
    }
    return {};
}

auto DemoRun::makeJobRow(std::string_view kind, std::span<const SubmittedJob> jobs, std::string_view state) const -> WorkRow
{
    WorkRow row{.m_kind = std::string(kind), .m_submitted = jobs.size()};
    for (const SubmittedJob &job : jobs) {
        const bool reached = job.m_state == state;
        const bool completes = state == "completed";
        row.m_answered += reached ? 1 : 0;
        row.m_lost += reached ? 0 : 1;
        row.m_executed += m_history.startsOf(job.m_id) > 0 ? 1 : 0;
        row.m_resumed += m_history.startsOf(job.m_id) > 1 ? 1 : 0;
        row.m_duplicated += m_history.overlapsOf(job.m_id) > 0 || m_history.completionsOf(job.m_id) > 1 ? 1 : 0;
        row.m_different += reached && completes && job.m_result != job.m_expectedResult ? 1 : 0;
    }
    return row;
}

auto DemoRun::duplicateExecutions(std::span<const SentRequest> sentRequests) const -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::ranges::count_if(sentRequests, [this](const SentRequest &request) {
        return m_history.executionsOfKey(request.m_requestId) > 1;
    }));
}

auto DemoRun::execute() -> Result<std::vector<WorkRow>>
{
    auto watchers = submitJobs("watcher", m_plan.m_watchers);
    if (!watchers) {
        return std::unexpected(watchers.error());
    }
    auto batch = submitJobs("batch", m_plan.m_batchJobs);
    if (!batch) {
        return std::unexpected(batch.error());
    }
    const bool watchersRan = waitForState(*watchers, "running");
    if (!m_plan.m_stopFile.empty()) {
        std::cout << "phase=working" << std::endl;
    }
    WorkRow checks{.m_kind = "requests: check"};
    WorkRow holds{.m_kind = "requests: hold"};
    if (const auto sent = sendRounds(checks, holds); !sent) {
        return std::unexpected(sent.error());
    }
    // Jobs that have not completed are counted as lost in their row.
    [[maybe_unused]] const bool completed = waitForState(*batch, "completed");
    const bool watchersEnded = cancel(*watchers);
    if (const auto journalsRead = readJournals(); !journalsRead) {
        return std::unexpected(journalsRead.error());
    }
    WorkRow watcherRow = makeJobRow("watchers", *watchers, "cancelled");
    watcherRow.m_lost = watchersRan && watchersEnded ? watcherRow.m_lost : watcherRow.m_submitted;
    checks.m_duplicated = m_history.repeatedRequestCount();
    holds.m_duplicated = duplicateExecutions(m_keyedRequests);
    checks.m_executed = m_history.executedRequestCount() > m_keyedRequests.size() ? m_history.executedRequestCount() - m_keyedRequests.size() : 0;
    holds.m_executed = static_cast<std::uint64_t>(std::ranges::count_if(m_keyedRequests, [this](const SentRequest &request) {
        return m_history.executionsOfKey(request.m_requestId) > 0;
    }));
    std::vector<WorkRow> rows{checks, holds, makeJobRow("batch jobs", *batch, "completed"), watcherRow};
    const std::array<std::size_t, 4> planned{m_plan.m_checks, m_plan.m_holds, m_plan.m_batchJobs, m_plan.m_watchers};
    for (std::size_t kind = planned.size(); kind-- > 0;) {
        // Kinds of work without planned items get no row, since an empty row counts as failed.
        if (planned[kind] == 0) {
            rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(kind));
        }
    }
    return rows;
}
}
