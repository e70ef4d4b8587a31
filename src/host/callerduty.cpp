#include "burdockspur/host/callerduty.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/host/entrymetrics.hpp"
#include "burdockspur/host/entrystatus.hpp"
#include "burdockspur/impl/burncodec.hpp"
#include "burdockspur/impl/jsonreader.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/port/peercodec.hpp"

#include <QTimer>

#include <sys/eventfd.h>

#include <array>

namespace Burdockspur
{
namespace
{
constexpr int statusOk = 200;

/// Period between two checks, during a drain, whether all connections are closed.
constexpr Milliseconds drainCheck{20};

struct PathMatch {
    bool m_matches = false;
    std::string_view m_segment;
};

/// @brief Matches a path against a pattern with at most one `*`.
[[nodiscard]] auto matchPath(std::string_view pattern, std::string_view path) noexcept -> PathMatch
{
    const auto star = pattern.find('*');
    if (star == std::string_view::npos) {
        return {pattern == path, {}};
    }
    const auto head = pattern.substr(0, star);
    const auto tail = pattern.substr(star + 1);
    if (path.size() <= head.size() + tail.size() || !path.starts_with(head) || !path.ends_with(tail)) {
        return {};
    }
    const auto segment = path.substr(head.size(), path.size() - head.size() - tail.size());
    return {segment.find('/') == std::string_view::npos, segment};
}
}

auto CallerDuty::routes() -> std::span<const Route>
{
    static constexpr std::array<Route, 11> table{{
        {"POST", "/v1/services/*/requests", &CallerDuty::forwardRequest},
        {"POST", "/v1/requests/*/settle", &CallerDuty::settleRequest},
        {"POST", "/v1/jobs", &CallerDuty::submitJob},
        {"GET", "/v1/jobs", &CallerDuty::listJobs},
        {"GET", "/v1/jobs/*", &CallerDuty::showJob},
        {"DELETE", "/v1/jobs/*", &CallerDuty::cancelJob},
        {"GET", "/v1/config", &CallerDuty::showConfiguration},
        {"PUT", "/v1/config", &CallerDuty::replaceConfiguration},
        {"PUT", "/v1/config/preset", &CallerDuty::switchPreset},
        {"GET", "/v1/status", &CallerDuty::showStatus},
        {"GET", "/v1/burn", &CallerDuty::showBurn},
    }};
    return table;
}

CallerDuty::CallerDuty(CallerDutyOptions options, EntryRings &rings, EntryMetrics &metrics, EntryStatus &status)
    : EventLoopDuty("callers")
    , m_options(std::move(options))
    , m_rings(rings)
    , m_metrics(metrics)
    , m_status(status)
    , m_idPrefix(m_options.m_hostName + "-" + hexOf(m_options.m_bootNumber) + "-")
{
}

CallerDuty::~CallerDuty()
{
    stop();
}

auto CallerDuty::awaitPort() -> Result<std::uint16_t>
{
    return m_port.get_future().get();
}

auto CallerDuty::setUp() -> void
{
    m_server = std::make_unique<HttpServer>(m_options.m_httpLimits, [this](ExchangeId exchange, HttpRequest &&request) {
        handleRequest(exchange, std::move(request));
    });
    watch(m_rings.m_callers.wakeDescriptor(), [this] {
        drainMessages();
    });
    m_port.set_value(m_server->listen(m_options.m_address, m_options.m_port));
}

auto CallerDuty::tearDown() -> void
{
    m_drainTimer.reset();
    m_server.reset();
}

auto CallerDuty::handleRequest(ExchangeId exchange, HttpRequest &&request) -> void
{
    std::string methods;
    for (const auto &route : routes()) {
        const auto match = matchPath(route.m_pattern, request.path());
        if (match.m_matches && route.m_method == request.m_method) {
            Call call{exchange, request, percentDecoded(match.m_segment)};
            (this->*route.m_handler)(call);
            return;
        }
        if (match.m_matches) {
            methods.append(methods.empty() ? "" : ", ").append(route.m_method);
        }
    }
    answerUnmatched(exchange, request, methods);
}

auto CallerDuty::answerUnmatched(ExchangeId exchange, const HttpRequest &request, std::string_view methods) -> void
{
    if (methods.empty()) {
        refuse(exchange, {ErrorCode::UnknownRoute, "there is no " + std::string(request.path().substr(0, 256))});
        return;
    }
    auto response = encodeError({ErrorCode::MethodNotAllowed, "expected " + std::string(methods)}, Outcome::Refused);
    response.m_fields.push_back({"Allow", std::string(methods)});
    send(exchange, std::move(response));
}

auto CallerDuty::forwardRequest(Call &call) -> void
{
    const TimePoint now = Clock::now();
    auto request = decodeServiceRequest(call.m_request, call.m_segment, m_options.m_callerLimits, now);
    if (!request) {
        refuse(call.m_exchange, request.error());
        return;
    }
    const CallerTicket ticket = addPending(call.m_exchange, AnswerKind::Request);
    request->m_id = m_idPrefix + std::to_string(ticket);
    m_pending.at(ticket).m_service = request->m_service;
    if (!m_rings.m_router.tryPush(RequestArrived{ticket, std::move(*request)})) {
        m_metrics.countRingFull(RingName::Router);
        on(AnswerCaller{ticket, {Outcome::Refused, ErrorCode::Overloaded, m_idPrefix + std::to_string(ticket), {}, {}}});
    }
}

auto CallerDuty::settleRequest(Call &call) -> void
{
    const auto generation = decodePeerQuery(call.m_request.m_body);
    if (!generation) {
        refuse(call.m_exchange, generation.error());
        return;
    }
    const CallerTicket ticket = addPending(call.m_exchange, AnswerKind::Peer);
    if (!m_rings.m_router.tryPush(PeerQueryReceived{ticket, std::move(call.m_segment), *generation})) {
        m_metrics.countRingFull(RingName::Router);
        takePending(ticket);
        refuse(call.m_exchange, {ErrorCode::Overloaded, "this entry host has too many requests in progress"});
    }
}

auto CallerDuty::submitJob(Call &call) -> void
{
    sendJobCommand(call, AnswerKind::Submission, decodeSubmission(call.m_request));
}

auto CallerDuty::showJob(Call &call) -> void
{
    sendJobCommand(call, AnswerKind::Job, Result<QueryJob>(QueryJob{std::move(call.m_segment)}));
}

auto CallerDuty::listJobs(Call &call) -> void
{
    sendJobCommand(call, AnswerKind::JobList, decodeJobQuery(call.m_request));
}

auto CallerDuty::cancelJob(Call &call) -> void
{
    sendJobCommand(call, AnswerKind::Job, Result<CancelJob>(CancelJob{std::move(call.m_segment)}));
}

auto CallerDuty::showConfiguration(Call &call) -> void
{
    if (!m_configuration) {
        refuse(call.m_exchange, {ErrorCode::Unavailable, "no configuration has been read yet"});
        return;
    }
    send(call.m_exchange, encodeConfiguration(*m_configuration));
}

auto CallerDuty::switchPreset(Call &call) -> void
{
    changeConfiguration(call, decodePresetChange(call.m_request.m_body));
}

auto CallerDuty::replaceConfiguration(Call &call) -> void
{
    changeConfiguration(call, decodeConfigChange(call.m_request.m_body));
}

template<typename Command>
auto CallerDuty::changeConfiguration(const Call &call, Result<Command> &&command) -> void
{
    if (!command) {
        refuse(call.m_exchange, command.error());
        return;
    }
    const CallerTicket ticket = addPending(call.m_exchange, AnswerKind::ConfigChange);
    command->m_ticket = ticket;
    if (!m_rings.m_platform.tryPush(std::move(*command))) {
        m_metrics.countRingFull(RingName::Platform);
        takePending(ticket);
        refuse(call.m_exchange, {ErrorCode::Overloaded, "this entry host has too many configuration changes in progress"});
    }
}

auto CallerDuty::showStatus(Call &call) -> void
{
    send(call.m_exchange, jsonResponse(statusOk, m_status.text()));
}

auto CallerDuty::showBurn(Call &call) -> void
{
    const auto report = m_burn.report(Clock::now(), [this](std::string_view worker) {
        return m_status.zoneOf(worker);
    });
    send(call.m_exchange, jsonResponse(statusOk, jsonText(burnToJson(report))));
}

template<typename Command>
auto CallerDuty::sendJobCommand(const Call &call, AnswerKind kind, Result<Command> &&command) -> void
{
    if (!command) {
        refuse(call.m_exchange, command.error());
        return;
    }
    m_metrics.countJobCommand();
    if (m_draining) {
        refuse(call.m_exchange, {ErrorCode::Draining, "this entry host is shutting down; use another one"});
        return;
    }
    const CallerTicket ticket = addPending(call.m_exchange, kind);
    const TimePoint deadline = Clock::now() + m_options.m_callerLimits.m_jobDeadline;
    if (!m_rings.m_links.tryPush(JobCommand{ticket, deadline, std::move(*command)})) {
        m_metrics.countRingFull(RingName::Links);
        takePending(ticket);
        refuse(call.m_exchange, {ErrorCode::Overloaded, "this entry host has too many job commands in progress"});
    }
}

auto CallerDuty::addPending(ExchangeId exchange, AnswerKind kind) -> CallerTicket
{
    m_pending.emplace(++m_lastTicket, Pending{exchange, Clock::now(), kind, {}});
    return m_lastTicket;
}

auto CallerDuty::refuse(ExchangeId exchange, const Error &error) -> void
{
    send(exchange, encodeError(error, Outcome::Refused));
}

auto CallerDuty::drainMessages() -> void
{
    m_messages.clear();
    m_rings.m_callers.drain(m_messages);
    for (auto &message : m_messages) {
        std::visit(
            [this](auto &content) {
                on(std::move(content));
            },
            message);
    }
}

auto CallerDuty::on(AnswerCaller &&message) -> void
{
    const auto pending = takePending(message.m_ticket);
    if (!pending) {
        return;
    }
    auto &answer = message.m_answer;
    const TimePoint now = Clock::now();
    m_metrics.recordAnswer(answer.m_outcome, now - pending->m_arrived);
    m_burn.record(pending->m_service, answer, now - pending->m_arrived, now);
    if (answer.m_outcome != Outcome::Answered) {
        logEvent(
            LogLevel::Warning,
            "request_not_answered",
            {{"request", answer.m_requestId}, {"outcome", outcomeName(answer.m_outcome)}, {"code", errorName(answer.m_code)}, {"worker", answer.m_worker}});
    } else {
        logEvent(LogLevel::Info, "request_answered", {{"request", answer.m_requestId}, {"worker", answer.m_worker}});
    }
    send(pending->m_exchange, encodeAnswer(std::move(answer)));
}

auto CallerDuty::on(AnswerJob &&message) -> void
{
    const auto pending = takePending(message.m_ticket);
    if (!pending) {
        return;
    }
    if (!message.m_result) {
        const auto outcome = message.m_mayHaveTakenEffect ? Outcome::Unknown : Outcome::Refused;
        send(pending->m_exchange, encodeError(message.m_result.error(), outcome));
    } else if (pending->m_kind == AnswerKind::Submission) {
        logEvent(LogLevel::Info, "job_submitted", {{"job", message.m_result->m_id}, {"state", jobStateName(message.m_result->m_state)}});
        send(pending->m_exchange, encodeAcceptedJob(*message.m_result));
    } else {
        send(pending->m_exchange, encodeJob(*message.m_result));
    }
}

auto CallerDuty::on(AnswerJobList &&message) -> void
{
    if (const auto pending = takePending(message.m_ticket); pending) {
        send(pending->m_exchange, message.m_result ? encodeJobs(*message.m_result) : encodeError(message.m_result.error(), Outcome::Refused));
    }
}

auto CallerDuty::on(AnswerConfigChange &&message) -> void
{
    const auto pending = takePending(message.m_ticket);
    if (!pending) {
        return;
    }
    if (message.m_result) {
        send(pending->m_exchange, encodeConfigVersion(*message.m_result));
        return;
    }
    const auto &error = message.m_result.error();
    send(pending->m_exchange, encodeError(error, error.m_code == ErrorCode::OutcomeUnknown ? Outcome::Unknown : Outcome::Refused));
}

auto CallerDuty::on(AnswerPeer &&message) -> void
{
    if (const auto pending = takePending(message.m_ticket); pending) {
        send(pending->m_exchange, encodePeerReply(message.m_reply));
    }
}

auto CallerDuty::on(ConfigurationChanged &&message) -> void
{
    m_burn.setConfiguration(message.m_configuration);
    m_configuration = std::move(message.m_configuration);
}

auto CallerDuty::on(DrainRequested && /*message*/) -> void
{
    if (m_draining) {
        return;
    }
    m_draining = true;
    m_server->beginDrain();
    m_drainTimer = std::make_unique<QTimer>();
    QObject::connect(m_drainTimer.get(), &QTimer::timeout, m_drainTimer.get(), [this] {
        signalWhenDrained();
    });
    m_drainTimer->start(drainCheck);
}

auto CallerDuty::takePending(CallerTicket ticket) -> std::optional<Pending>
{
    const auto found = m_pending.find(ticket);
    if (found == m_pending.end()) {
        return std::nullopt;
    }
    Pending pending = std::move(found->second);
    m_pending.erase(found);
    return pending;
}

auto CallerDuty::send(ExchangeId exchange, HttpResponse &&response) -> void
{
    if (!m_server->respond(exchange, std::move(response))) {
        m_metrics.countDiscardedAnswer();
    }
}

auto CallerDuty::signalWhenDrained() -> void
{
    if (m_server->openExchanges() == 0 && m_server->openConnections() == 0) {
        m_drainTimer->stop();
        // The write fails only if the counter is full, and then the descriptor is readable already.
        [[maybe_unused]] const int result = ::eventfd_write(m_options.m_drainedDescriptor, 1);
    }
}
}
