#include "standins/workerserver.hpp"

#include "standins/jsontext.hpp"
#include "standins/routes.hpp"
#include "standins/standincodec.hpp"
#include "standins/workercodec.hpp"

#include "burdockspur/operations/log.hpp"

#include <QTimer>
#include <QUuid>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <utility>

namespace Burdockspur::Standins
{
namespace
{
/// Requests with a shorter service time are answered at once, so that load programs measure only the added latency.
constexpr Duration minServiceTime = std::chrono::milliseconds(1);

/// Delay before the next attempt to reopen the port when another process holds it.
constexpr std::chrono::milliseconds reopenRetry{100};

[[nodiscard]] auto wallMilliseconds() -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// @brief Returns a random unique id for one start of a worker.
[[nodiscard]] auto newIncarnation() -> std::string
{
    return QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
}

[[nodiscard]] auto numberOr(std::string_view text, std::uint64_t fallback) -> std::uint64_t
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() ? number : fallback;
}

[[nodiscard]] auto httpLimits(const WorkerSpec &spec) -> HttpLimits
{
    HttpLimits limits;
    limits.m_maxConnections = spec.m_connections;
    return limits;
}
}

struct WorkerServer::Route {
    std::string_view m_method;
    std::string_view m_pattern;
    auto (WorkerServer::*m_handler)(const Call &) -> std::optional<HttpResponse>;
};

struct WorkerServer::StandinRoute {
    std::string_view m_method;
    std::string_view m_pattern;
    auto (WorkerServer::*m_handler)(const HttpRequest &) -> HttpResponse;
};

/// @brief Handler that applies a switched fault of the network or process.
struct WorkerServer::Transition {
    Fault WorkerFaults::*m_fault;
    auto (WorkerServer::*m_apply)() -> void;
};

const std::span<const WorkerServer::Route> WorkerServer::routes = [] {
    static constexpr std::array<Route, 7> table{{
        {"POST", "/v1/services/*/requests", &WorkerServer::answerRequest},
        {"POST", "/v1/requests/*/settle", &WorkerServer::answerSettle},
        {"PUT", "/v1/leases/*", &WorkerServer::answerLease},
        {"PUT", "/v1/tasks/*/attempts/*", &WorkerServer::answerStart},
        {"DELETE", "/v1/tasks/*/attempts/*", &WorkerServer::answerStop},
        {"POST", "/v1/tasks/*/attempts/*/checkpoint", &WorkerServer::answerCheckpoint},
        {"POST", "/v1/tasks/*/attempts/*/throttle", &WorkerServer::answerThrottle},
    }};
    return std::span<const Route>(table);
}();

const std::span<const WorkerServer::StandinRoute> WorkerServer::standinRoutes = [] {
    static constexpr std::array<StandinRoute, 4> table{{
        {"GET", "/standin/faults", &WorkerServer::readFaults},
        {"PUT", "/standin/faults", &WorkerServer::switchFault},
        {"GET", "/standin/counts", &WorkerServer::readCounts},
        {"GET", "/standin/journal", &WorkerServer::readJournal},
    }};
    return std::span<const StandinRoute>(table);
}();

const std::span<const WorkerServer::Transition> WorkerServer::transitions = [] {
    static constexpr std::array<Transition, 4> table{{
        {&WorkerFaults::m_pause, &WorkerServer::applyPause},
        {&WorkerFaults::m_silenceConnections, &WorkerServer::applySilence},
        {&WorkerFaults::m_crash, &WorkerServer::applyCrash},
        {&WorkerFaults::m_refuseConnections, &WorkerServer::applyConnectionRefusal},
    }};
    return std::span<const Transition>(table);
}();

WorkerServer::WorkerServer(WorkerSpec spec, std::uint64_t seed)
    : m_spec(std::move(spec))
    , m_audit(m_spec)
    , m_random(seed)
    , m_model(m_spec, m_faults, m_audit, m_random)
    , m_timer([this] {
        advance();
        armTimer();
    })
    , m_incarnation(newIncarnation())
    , m_lifetime(std::make_unique<QObject>())
    , m_delayedAnswers(std::make_unique<QObject>())
{
    m_model.tasks().setIncarnation(m_incarnation);
}

WorkerServer::~WorkerServer() = default;

auto WorkerServer::listen(std::string_view address, std::uint16_t port) -> Result<std::uint16_t>
{
    m_address = address;
    m_port = port;
    return open();
}

auto WorkerServer::answerStandin(const HttpRequest &request) -> HttpResponse
{
    const auto match = findRoute(standinRoutes, request);
    return match.m_route == nullptr ? codeResponse(404, "unknown_route") : (this->*match.m_route->m_handler)(request);
}

auto WorkerServer::answerLease(const Call &call) -> std::optional<HttpResponse>
{
    const auto renewal = decodeRenewal(call.m_segments, call.m_request.m_body);
    return renewal ? encodeRenewalAnswer(m_model.tasks().renewLease(call.m_now, *renewal)) : badRequest(renewal.error().m_message);
}

auto WorkerServer::answerStart(const Call &call) -> std::optional<HttpResponse>
{
    const auto order = decodeStart(call.m_segments, call.m_request.m_body);
    return order ? encodeStartAnswer(m_model.tasks().start(call.m_now, *order)) : badRequest(order.error().m_message);
}

auto WorkerServer::answerStop(const Call &call) -> std::optional<HttpResponse>
{
    const auto order = decodeOrderQuery(call.m_segments, call.m_request);
    return order ? encodeStopAnswer(m_model.tasks().stop(call.m_now, *order)) : badRequest(order.error().m_message);
}

auto WorkerServer::answerCheckpoint(const Call &call) -> std::optional<HttpResponse>
{
    const auto order = decodeOrder(call.m_segments, call.m_request.m_body);
    return order ? encodeCheckpointAnswer(m_model.tasks().checkpoint(call.m_now, *order)) : badRequest(order.error().m_message);
}

auto WorkerServer::answerThrottle(const Call &call) -> std::optional<HttpResponse>
{
    const auto order = decodeOrder(call.m_segments, call.m_request.m_body);
    if (!order) {
        return badRequest(order.error().m_message);
    }
    return encodeOrderAnswer(m_model.tasks().throttle(call.m_now, *order, decodeShare(call.m_request.m_body)));
}

auto WorkerServer::answerRequest(const Call &call) -> std::optional<HttpResponse>
{
    WorkerRequest request;
    request.m_id = call.m_request.field("Burdockspur-Request-Id");
    request.m_key = call.m_request.field("Idempotency-Key");
    request.m_service = call.m_segments[0];
    request.m_body = call.m_request.m_body;
    if (request.m_id.empty()) {
        return badRequest("the header Burdockspur-Request-Id is missing");
    }
    const auto expected = call.m_request.field("Burdockspur-Expected-Incarnation");
    if (!expected.empty() && expected != m_incarnation) {
        auto response = codeResponse(503, "other_incarnation");
        response.m_fields.push_back({"Burdockspur-Request-Id", std::string(request.m_id)});
        return response;
    }
    const auto defaultTime = std::chrono::duration_cast<std::chrono::microseconds>(m_spec.m_serviceTime).count();
    const auto serviceTime = numberOr(call.m_request.field("Burdockspur-Service-Time-Us"), static_cast<std::uint64_t>(defaultTime));
    request.m_serviceTime = std::chrono::microseconds(serviceTime);
    if (request.m_serviceTime < minServiceTime) {
        request.m_serviceTime = Duration{0};
    }
    const auto status = m_model.startRequest(call.m_now, request);
    if (status.m_state == RequestState::Running) {
        m_waiting[status.m_execution].push_back({call.m_exchange, std::string(request.m_id), std::string(call.m_request.path())});
        return std::nullopt;
    }
    return encodeRequestAnswer(status.m_state, request.m_id, m_model.requests().body(status.m_execution));
}

auto WorkerServer::answerSettle(const Call &call) -> std::optional<HttpResponse>
{
    const auto status = m_model.requests().settle(call.m_now, call.m_segments[0]);
    return encodeSettleAnswer(status.m_state, m_model.requests().body(status.m_execution));
}

auto WorkerServer::readFaults(const HttpRequest &) -> HttpResponse
{
    return objectResponse(200, encodeFaults(std::span(workerFaultTable), m_faults));
}

auto WorkerServer::switchFault(const HttpRequest &request) -> HttpResponse
{
    if (const auto applied = applyFault(std::span(workerFaultTable), m_faults, request.m_body); !applied) {
        return badRequest(applied.error().m_message);
    }
    advance();
    for (const auto &transition : transitions) {
        (this->*transition.m_apply)();
    }
    return readFaults(request);
}

auto WorkerServer::readCounts(const HttpRequest &) -> HttpResponse
{
    advance();
    return objectResponse(200, encodeCounts(std::span(workerCountTable), m_audit.counts()));
}

auto WorkerServer::readJournal(const HttpRequest &request) -> HttpResponse
{
    advance();
    const auto limit = numberOr(request.query("limit"), m_spec.m_journalCapacity);
    return objectResponse(200, encodeJournal(m_audit.journal(), numberOr(request.query("after"), 0), limit));
}

auto WorkerServer::applyPause() -> void
{
    if (m_faults.m_pause.isOn() == m_pausedSince.has_value()) {
        return;
    }
    if (m_faults.m_pause.isOn()) {
        m_audit.workerEvent(now(), "paused");
        m_pausedSince = Clock::now();
        m_timer.arm(std::nullopt);
        return;
    }
    const auto pause = Clock::now() - *m_pausedSince;
    m_pausedSince.reset();
    if (m_faults.m_pauseKeepsClock.isOn()) {
        m_model.postpone(pause);
    } else {
        m_timePaused += pause;
    }
    m_audit.setTime(now(), wallMilliseconds());
    m_audit.workerEvent(now(), "resumed");
    advance();
    for (auto &held : std::exchange(m_heldAnswers, {})) {
        deliver(held.m_exchange, std::move(held.m_response));
    }
    for (const auto &held : std::exchange(m_heldCalls, {})) {
        serve(held.m_exchange, held.m_request);
    }
    armTimer();
}

auto WorkerServer::applySilence() -> void
{
    if (m_faults.m_silenceConnections.isOn()) {
        // Silenced connections are never answered again, so the fault has no off state.
        m_silencedConnections = m_lastConnection;
        m_faults.m_silenceConnections = {};
    }
}

auto WorkerServer::applyCrash() -> void
{
    if (!m_faults.m_crash.isOn()) {
        return;
    }
    const std::chrono::duration<double, std::milli> downTime(std::exchange(m_faults.m_crash, {}).m_value);
    m_isClosing = true;
    m_isRestarting = true;
    ++m_audit.counts().m_crashes;
    m_model.crash(now());
    m_incarnation = newIncarnation();
    m_model.tasks().setIncarnation(m_incarnation);
    m_audit.workerEvent(now(), "crashed");
    m_timer.arm(std::nullopt);
    // Deferred, so that the call that switched the fault is answered first.
    QTimer::singleShot(0, m_lifetime.get(), [this, downTime] {
        close();
        QTimer::singleShot(std::chrono::duration_cast<Milliseconds>(downTime), m_lifetime.get(), [this] {
            m_isRestarting = false;
            reopen();
        });
    });
}

auto WorkerServer::applyConnectionRefusal() -> void
{
    if (m_faults.m_refuseConnections.isOn() && m_server) {
        m_isClosing = true;
        QTimer::singleShot(0, m_lifetime.get(), [this] {
            close();
            reopen();
        });
    } else if (!m_faults.m_refuseConnections.isOn() && !m_server) {
        reopen();
    }
}

auto WorkerServer::now() const -> TimePoint
{
    return m_pausedSince.value_or(Clock::now()) - m_timePaused;
}

auto WorkerServer::advance() -> TimePoint
{
    const auto time = now();
    if (!m_pausedSince) {
        m_audit.setTime(time, wallMilliseconds());
        m_model.advance(time);
        answerEnded();
    }
    return time;
}

auto WorkerServer::handleRequest(ExchangeId exchange, HttpRequest &&request) -> void
{
    auto &peak = m_audit.counts().m_peakConnections;
    peak = std::max(peak, static_cast<std::int64_t>(m_server->openConnections()));
    m_lastConnection = std::max(m_lastConnection, exchange.m_connection);
    if (request.path().starts_with("/standin/")) {
        m_server->respond(exchange, answerStandin(request));
    } else if (m_pausedSince) {
        m_heldCalls.push_back({exchange, std::move(request)});
    } else if (!m_isClosing && exchange.m_connection > m_silencedConnections) {
        serve(exchange, request);
    }
}

auto WorkerServer::serve(ExchangeId exchange, const HttpRequest &request) -> void
{
    const auto time = advance();
    const auto match = findRoute(routes, request);
    if (match.m_route == nullptr) {
        send(exchange, request.path(), codeResponse(404, "unknown_route"), false);
        return;
    }
    auto response = (this->*match.m_route->m_handler)({exchange, request, match.m_segments, time});
    if (response) {
        // The service time of a request already includes the delay of the `slow` fault.
        const bool isDelayed = match.m_route->m_handler != &WorkerServer::answerRequest;
        send(exchange, request.path(), std::move(*response), isDelayed);
    }
    answerEnded();
    armTimer();
}

auto WorkerServer::answerEnded() -> void
{
    for (const auto &ended : m_model.requests().takeEnded()) {
        const auto waiting = m_waiting.extract(ended.m_execution);
        if (waiting.empty()) {
            continue;
        }
        for (const auto &caller : waiting.mapped()) {
            auto response = encodeRequestAnswer(ended.m_state, caller.m_requestId, m_model.requests().body(ended.m_execution));
            send(caller.m_exchange, caller.m_path, std::move(response), false);
        }
    }
}

auto WorkerServer::armTimer() -> void
{
    auto next = m_pausedSince ? std::nullopt : m_model.nextEvent();
    if (next) {
        *next += m_timePaused;
    }
    m_timer.arm(next);
}

auto WorkerServer::send(ExchangeId exchange, std::string_view path, HttpResponse &&response, bool isDelayed) -> void
{
    if (!m_server || m_isClosing) {
        return;
    }
    response.m_fields.push_back({"Burdockspur-Incarnation", m_incarnation});
    if (m_faults.m_loseAnswers.triggers(m_random, path)) {
        ++m_audit.counts().m_answersLost;
        m_server->abort(exchange);
        return;
    }
    if (!isDelayed || !m_faults.m_slow.isOn()) {
        deliver(exchange, std::move(response));
        return;
    }
    const std::chrono::duration<double, std::milli> delay(m_faults.m_slow.m_value);
    QTimer::singleShot(
        std::chrono::duration_cast<Milliseconds>(delay), Qt::PreciseTimer, m_delayedAnswers.get(), [this, exchange, answer = std::move(response)]() mutable {
            deliver(exchange, std::move(answer));
        });
}

auto WorkerServer::deliver(ExchangeId exchange, HttpResponse &&response) -> void
{
    if (m_pausedSince) {
        m_heldAnswers.push_back({exchange, std::move(response)});
    } else if (m_server && exchange.m_connection > m_silencedConnections) {
        m_server->respond(exchange, std::move(response));
    }
}

auto WorkerServer::open() -> Result<std::uint16_t>
{
    auto server = std::make_unique<HttpServer>(httpLimits(m_spec), [this](ExchangeId exchange, HttpRequest &&request) {
        handleRequest(exchange, std::move(request));
    });
    const auto port = server->listen(m_address, m_port);
    if (port) {
        m_port = *port;
        m_server = std::move(server);
    }
    return port;
}

auto WorkerServer::reopen() -> void
{
    if (m_server || m_isRestarting || m_faults.m_refuseConnections.isOn()) {
        return;
    }
    if (const auto port = open(); !port) {
        logEvent(LogLevel::Warning, "port_not_reopened", {{"worker", m_spec.m_name}, {"reason", port.error().m_message}});
        QTimer::singleShot(reopenRetry, m_lifetime.get(), [this] {
            reopen();
        });
    }
}

auto WorkerServer::close() -> void
{
    m_delayedAnswers = std::make_unique<QObject>();
    m_server.reset();
    m_waiting.clear();
    m_heldCalls.clear();
    m_heldAnswers.clear();
    // A new server numbers its connections from the start.
    m_lastConnection = 0;
    m_silencedConnections = 0;
    m_isClosing = false;
}
}
