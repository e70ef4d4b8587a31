#include "burdockspur/fleet/apiduty.hpp"

#include "burdockspur/fleet/fleetmetrics.hpp"
#include "burdockspur/link/clientguard.hpp"
#include "burdockspur/link/endpointtext.hpp"
#include "burdockspur/operations/adminserver.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/port/fleetcodec.hpp"
#include "burdockspur/port/fleetplatform.hpp"

#include <QObject>
#include <QTimer>

#include <algorithm>
#include <array>
#include <utility>

namespace Burdockspur
{
namespace
{
/// A configuration counts as fresh for the time to apply one minus this margin, which covers the latency of a request and of the
/// confirmation.
constexpr Milliseconds freshnessMargin{200};
/// Age of the last confirmation of the configuration above which the store counts as unreachable; it confirms every 0.8 s.
constexpr Milliseconds maxConfirmationAge{1'250};
/// Maximum age of the counts of waiting jobs (limit of the platform).
constexpr Milliseconds maxPendingAge{2'000};
/// Part of the time in which a job must become visible that is reserved for the latency of an answer.
constexpr Milliseconds visibilityMargin{500};
/// Time in which the load balancer stops sending connections: it checks once a second, and needs two refusals.
constexpr Milliseconds rotationExitTime{2'400};
/// Part of the grace period, before the platform kills the process, that is reserved for the last answers.
constexpr Milliseconds stopMargin{900};
/// Period between two checks, during a drain, whether all connections are closed.
constexpr Milliseconds drainCheck{20};

[[nodiscard]] auto kindOf(const ApiCall &call) noexcept -> std::string_view
{
    constexpr std::array<std::string_view, 4> kinds{"submit", "state", "cancel", "pending"};
    return kinds[call.index()];
}

[[nodiscard]] auto jobOf(const ApiCall &call) -> std::string
{
    if (const auto *const submit = std::get_if<SubmitCall>(&call)) {
        return submit->m_job.m_id;
    }
    if (const auto *const state = std::get_if<StateCall>(&call)) {
        return state->m_job;
    }
    const auto *const cancel = std::get_if<CancelCall>(&call);
    return cancel == nullptr ? std::string() : cancel->m_job;
}

[[nodiscard]] auto ageInMs(TimePoint now, TimePoint then) -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(now - then).count();
}
}

ApiDuty::ApiDuty(const FleetSettings &settings,
                 const FleetPlatform &platform,
                 FleetRings &rings,
                 Metrics &metrics,
                 FleetMetrics &fleetMetrics,
                 std::function<void()> drained)
    : EventLoopDuty("gate")
    , m_settings(settings)
    , m_platform(platform)
    , m_rings(rings)
    , m_metrics(metrics)
    , m_fleetMetrics(fleetMetrics)
    , m_drained(std::move(drained))
{
}

ApiDuty::~ApiDuty()
{
    stop();
}

auto ApiDuty::awaitPorts() -> Result<void>
{
    return m_ports.get_future().get();
}

auto ApiDuty::setUp() -> void
{
    m_codec = m_platform.makeCodec();
    m_timers = std::make_unique<QObject>();
    m_clients = std::make_shared<ClientGuard>(clientLimitsOf(m_settings));
    m_callerServer = std::make_unique<HttpServer>(
        callerLimitsOf(m_settings),
        [this](ExchangeId exchange, HttpRequest &&request) {
            serve(exchange, request);
        },
        m_clients);
    m_readyServer = std::make_unique<HttpServer>(
        readyLimitsOf(m_settings),
        [this](ExchangeId exchange, HttpRequest && /*request*/) {
            answerReadinessCheck(exchange);
        },
        m_clients);
    m_admin = std::make_unique<AdminServer>(
        m_metrics,
        [this] {
            return std::string(m_isDraining ? R"({"state":"draining"})" : R"({"state":"serving"})");
        },
        [] {
            return false;
        },
        m_clients,
        metricsConnectionsOf(m_settings));
    m_admin->beforeMetrics([this] {
        m_fleetMetrics.recordClients(m_clients->counts());
    });
    watch(m_rings.m_api.wakeDescriptor(), [this] {
        processInputs();
    });
    m_ports.set_value(listen());
}

auto ApiDuty::answerReadinessCheck(ExchangeId exchange) -> void
{
    const TimePoint now = Clock::now();
    const bool ready = isReady(now);
    if (ready != std::exchange(m_wasReady, ready)) {
        logEvent(LogLevel::Info, "ready_changed", {{"ready", ready}, {"configuration_age_ms", ageInMs(now, m_confirmedAt)}, {"draining", m_isDraining}});
    }
    m_readyServer->respond(exchange, jsonResponse(ready ? 200 : 503, "{}"));
}

auto ApiDuty::listen() -> Result<void>
{
    const auto open = [](auto &server, std::string_view text) -> Result<void> {
        const auto endpoint = parseEndpoint(text);
        if (!endpoint) {
            return std::unexpected(endpoint.error());
        }
        const auto port = server.listen(endpoint->m_address, endpoint->m_port);
        return port ? Result<void>() : std::unexpected(port.error());
    };
    if (auto opened = open(*m_callerServer, m_settings.m_callersEndpoint); !opened) {
        return opened;
    }
    if (auto opened = open(*m_readyServer, m_settings.m_readyEndpoint); !opened) {
        return opened;
    }
    return open(*m_admin, m_settings.m_metricsEndpoint);
}

auto ApiDuty::tearDown() -> void
{
    m_timers.reset();
    m_admin.reset();
    m_readyServer.reset();
    m_callerServer.reset();
    m_clients.reset();
}

auto ApiDuty::hasFreshConfiguration(TimePoint now) const -> bool
{
    return m_configuration && now - m_confirmedAt < m_settings.m_configApply - freshnessMargin;
}

auto ApiDuty::isReady(TimePoint now) const -> bool
{
    // A recent confirmation of the configuration also shows that the store accepts submissions of this host.
    return !m_isDraining && isStoreAnswering(now) && hasFreshConfiguration(now);
}

auto ApiDuty::isStoreAnswering(TimePoint now) const -> bool
{
    return m_store.m_condition == StoreCondition::Answering && now - m_confirmedAt <= maxConfirmationAge;
}

auto ApiDuty::processInputs() -> void
{
    m_inputs.clear();
    m_rings.m_api.drain(m_inputs);
    for (auto &input : m_inputs) {
        std::visit(
            [this](auto &content) {
                on(std::move(content));
            },
            input);
    }
}

auto ApiDuty::on(ConfigurationConfirmed &&input) -> void
{
    m_configuration = std::move(input.m_configuration);
    m_confirmedAt = std::max(m_confirmedAt, input.m_confirmedAt);
}

auto ApiDuty::on(PendingCounts &&input) -> void
{
    m_pending = std::move(input);
}

auto ApiDuty::on(StoreConditionChanged &&input) -> void
{
    const auto &report = input.m_report;
    if (report.m_condition == StoreCondition::Answering && m_store.m_condition != StoreCondition::Answering) {
        logEvent(LogLevel::Info,
                 "callers_refused",
                 {{"refused", m_retryAdvice.refused()}, {"outage_ms", std::chrono::duration_cast<Milliseconds>(report.m_lastOutage).count()}});
    }
    m_store = report;
    m_retryAdvice.observe(m_store);
    m_fleetMetrics.recordStore(report.m_condition == StoreCondition::Answering);
}

auto ApiDuty::serve(ExchangeId exchange, const HttpRequest &request) -> void
{
    const TimePoint now = Clock::now();
    const OpenCall invalid{exchange, "invalid", {}, now, std::string(request.path())};
    if (!hasFreshConfiguration(now)) {
        // With an older configuration, whether a queue exists cannot be decided either way.
        refuse(invalid, Error{ErrorCode::Unavailable, "the configuration is not confirmed"});
        return;
    }
    auto call = m_codec->decodeCall(request, *m_configuration);
    const auto *const submit = call ? std::get_if<SubmitCall>(&*call) : nullptr;
    if (!call) {
        refuse(invalid, call.error());
    } else if (submit != nullptr && submit->m_job.m_policy.m_needsAdvice) {
        // Every worker would refuse its starts, so the request is refused at once.
        refuse({exchange, "submit", submit->m_job.m_id, now, {}}, Error{ErrorCode::NoTarget, "queues with advice are not served yet"});
    } else if (const auto *const pending = std::get_if<PendingCall>(&*call)) {
        servePending(exchange, *pending, now);
    } else {
        forward(exchange, std::move(*call), now);
    }
}

auto ApiDuty::servePending(ExchangeId exchange, const PendingCall &call, TimePoint receivedAt) -> void
{
    const OpenCall open{exchange, "pending", {}, receivedAt, {}};
    const auto &waiting = m_pending.m_waiting;
    // A job may be missing from the counts until it must be visible, so the jobs that were counted may be older than the counts.
    if (!waiting || receivedAt - waiting->m_asOf > maxPendingAge + m_settings.m_jobVisible - visibilityMargin) {
        refuse(open, Error{ErrorCode::Unavailable, waiting ? "the counts of waiting jobs are too old" : "the owner has not counted the waiting jobs yet"});
        return;
    }
    const auto entry = waiting->m_byQueue.find(call.m_queue);
    const std::uint32_t count = entry == waiting->m_byQueue.end() ? 0 : entry->second;
    logEvent(LogLevel::Info,
             "pending_counted",
             {{"queue", call.m_queue},
              {"count", count},
              {"age_ms", ageInMs(receivedAt, waiting->m_asOf)},
              {"counted_by", m_pending.m_countedBy},
              {"epoch", m_pending.m_epoch}});
    answer(open, m_codec->pendingResponse(count), "counted");
}

auto ApiDuty::forward(ExchangeId exchange, ApiCall &&call, TimePoint receivedAt) -> void
{
    OpenCall open{exchange, kindOf(call), jobOf(call), receivedAt, {}};
    if (!isStoreAnswering(receivedAt)) {
        // Nothing was sent to the store, so the answer can state for certain that the request had no effect.
        refuse(open, Error{ErrorCode::Unavailable, "the store does not answer"});
        return;
    }
    const std::uint64_t ticket = ++m_lastTicket;
    if (!m_rings.m_store.tryPush(StoreRequest{ticket, std::move(call)})) {
        refuse(open, Error{ErrorCode::Overloaded, "too many calls wait for the store"});
        return;
    }
    m_open.emplace(ticket, std::move(open));
}

auto ApiDuty::on(StoreReply &&input) -> void
{
    const auto entry = m_open.find(input.m_ticket);
    if (entry == m_open.end()) {
        return;
    }
    const OpenCall call = std::move(entry->second);
    m_open.erase(entry);
    if (!input.m_result) {
        refuse(call, input.m_result.error());
    } else if (call.m_kind == "state") {
        answer(call, m_codec->stateResponse(*input.m_result), phaseName(*input.m_result));
    } else {
        answer(call, m_codec->acceptedResponse(), "stored");
    }
}

auto ApiDuty::refuse(const OpenCall &call, const Error &error) -> void
{
    const bool isRetryable = error.m_code == ErrorCode::Unavailable || error.m_code == ErrorCode::Overloaded;
    const int retryAfter = isRetryable ? m_retryAdvice.adviseRefused(call.m_job.empty() ? call.m_path : call.m_job, Clock::now()) : 0;
    if (isRetryable) {
        m_fleetMetrics.recordRetryAdvice(retryAfter);
    }
    answer(call, m_codec->errorResponse(error, retryAfter), error.m_message, retryAfter);
}

auto ApiDuty::answer(const OpenCall &call, HttpResponse &&response, std::string_view reason, int retryAfter) -> void
{
    const TimePoint now = Clock::now();
    const int status = response.m_status;
    m_fleetMetrics.recordCall(call.m_kind, status, now - call.m_receivedAt);
    logEvent(LogLevel::Info,
             "call_answered",
             {{"job", call.m_job},
              {"kind", call.m_kind},
              {"status", status},
              {"reason", reason},
              {"retry_after_s", retryAfter},
              {"took_ms", ageInMs(now, call.m_receivedAt)},
              {"config", m_configuration ? m_configuration->m_version : 0},
              {"config_age_ms", ageInMs(now, m_confirmedAt)}});
    if (!m_callerServer->respond(call.m_exchange, std::move(response))) {
        logEvent(LogLevel::Info, "caller_left", {{"job", call.m_job}, {"kind", call.m_kind}, {"status", status}});
    }
}

auto ApiDuty::on(DrainStarted && /*input*/) -> void
{
    m_isDraining = true;
    QTimer::singleShot(rotationExitTime, m_timers.get(), [this] {
        m_callerServer->beginDrain();
        endWhenDrained();
    });
    const auto grace = std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(m_settings.m_graceSeconds));
    QTimer::singleShot(std::max(rotationExitTime, grace - stopMargin), m_timers.get(), [this] {
        m_drained();
    });
}

auto ApiDuty::on(StoreDrained && /*input*/) -> void
{
    m_isStoreDrained = true;
}

auto ApiDuty::endWhenDrained() -> void
{
    // A caller may go on sending on a connection until the server closes it, so a moment without open requests is not the end.
    if (m_isStoreDrained && m_callerServer->openConnections() == 0) {
        m_drained();
        return;
    }
    QTimer::singleShot(drainCheck, m_timers.get(), [this] {
        endWhenDrained();
    });
}
}
