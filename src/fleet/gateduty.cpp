#include "burdockspur/fleet/gateduty.hpp"

#include "burdockspur/fleet/fleetmetrics.hpp"
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
/// A configuration counts as fresh for the time to apply one, less the travel of a request and of its confirmation.
constexpr Milliseconds freshReserve{200};
/// The store confirms the configuration every 0.8 s; when that is this late, it does not answer.
constexpr Milliseconds storeOverdue{1'250};
/// Counts of waiting jobs may be 2 s old (platform's bound).
constexpr Milliseconds pendingFresh{2'000};
/// Of the time in which a job becomes visible, kept for the travel of an answer.
constexpr Milliseconds visibleReserve{500};
/// The balancer needs two refused questions, one a second, to send no more connections.
constexpr Milliseconds leaveRotation{2'400};
/// Time before the platform's kill that is kept for the last answers.
constexpr Milliseconds stopReserve{900};
/// Time for the kernel to take the last answers.
constexpr Milliseconds flushTime{150};
/// A host that cannot serve now is likely to, or another does, a second later.
constexpr int retryAfterSeconds = 1;

[[nodiscard]] auto kindOf(const GateCall &call) noexcept -> std::string_view
{
    constexpr std::array<std::string_view, 4> kinds{"submit", "state", "cancel", "pending"};
    return kinds[call.index()];
}

[[nodiscard]] auto jobOf(const GateCall &call) -> std::string
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

GateDuty::GateDuty(const FleetSettings &settings,
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

GateDuty::~GateDuty()
{
    stop();
}

auto GateDuty::awaitPorts() -> Result<void>
{
    return m_ports.get_future().get();
}

auto GateDuty::setUp() -> void
{
    m_codec = m_platform.makeCodec();
    m_timers = std::make_unique<QObject>();
    HttpLimits limits;
    limits.m_maxBodyBytes = FleetConfiguration{}.m_maxBodyBytes;
    limits.m_maxHeaderBytes = FleetConfiguration{}.m_maxHeaderBytes;
    limits.m_requestTimeout = FleetConfiguration{}.m_headerTimeout;
    limits.m_idleTimeout = FleetConfiguration{}.m_idleTimeout;
    m_callers = std::make_unique<HttpServer>(limits, [this](ExchangeId exchange, HttpRequest &&request) {
        serve(exchange, request);
    });
    m_ready = std::make_unique<HttpServer>(limits, [this](ExchangeId exchange, HttpRequest && /*request*/) {
        const TimePoint now = Clock::now();
        const bool ready = isReady(now);
        if (ready != std::exchange(m_wasReady, ready)) {
            logEvent(LogLevel::Info, "ready_changed", {{"ready", ready}, {"configuration_age_ms", ageInMs(now, m_confirmedAt)}, {"draining", m_isDraining}});
        }
        m_ready->respond(exchange, jsonResponse(ready ? 200 : 503, "{}"));
    });
    m_admin = std::make_unique<AdminServer>(
        m_metrics,
        [this] {
            return std::string(m_isDraining ? R"({"state":"draining"})" : R"({"state":"serving"})");
        },
        [] {
            return false;
        });
    watch(m_rings.m_gate.wakeDescriptor(), [this] {
        takeInputs();
    });
    m_ports.set_value(listen());
}

auto GateDuty::listen() -> Result<void>
{
    const auto open = [](auto &server, std::string_view text) -> Result<void> {
        const auto endpoint = parseEndpoint(text);
        if (!endpoint) {
            return std::unexpected(endpoint.error());
        }
        const auto port = server.listen(endpoint->m_address, endpoint->m_port);
        return port ? Result<void>() : std::unexpected(port.error());
    };
    if (auto opened = open(*m_callers, m_settings.m_callersEndpoint); !opened) {
        return opened;
    }
    if (auto opened = open(*m_ready, m_settings.m_readyEndpoint); !opened) {
        return opened;
    }
    return open(*m_admin, m_settings.m_metricsEndpoint);
}

auto GateDuty::tearDown() -> void
{
    m_timers.reset();
    m_admin.reset();
    m_ready.reset();
    m_callers.reset();
}

auto GateDuty::hasFreshConfiguration(TimePoint now) const -> bool
{
    return m_configuration && now - m_confirmedAt < m_settings.m_configApply - freshReserve;
}

auto GateDuty::isReady(TimePoint now) const -> bool
{
    // A configuration that the store has confirmed just now also shows that the store takes submissions of this host.
    return !m_isDraining && now - m_confirmedAt <= storeOverdue && hasFreshConfiguration(now);
}

auto GateDuty::takeInputs() -> void
{
    m_inputs.clear();
    m_rings.m_gate.drain(m_inputs);
    for (auto &input : m_inputs) {
        std::visit(
            [this](auto &content) {
                on(std::move(content));
            },
            input);
    }
}

auto GateDuty::on(ConfigurationConfirmed &&input) -> void
{
    m_configuration = std::move(input.m_configuration);
    m_confirmedAt = std::max(m_confirmedAt, input.m_confirmedAt);
}

auto GateDuty::on(PendingCounts &&input) -> void
{
    m_pending = std::move(input);
}

auto GateDuty::serve(ExchangeId exchange, const HttpRequest &request) -> void
{
    const TimePoint now = Clock::now();
    const OpenCall invalid{exchange, "invalid", {}, now};
    if (!hasFreshConfiguration(now)) {
        // An older configuration must not decide, neither that a queue exists nor that it does not.
        refuse(invalid, Error{ErrorCode::Unavailable, "the configuration is not confirmed"});
        return;
    }
    auto call = m_codec->decodeCall(request, *m_configuration);
    const auto *const submit = call ? std::get_if<SubmitCall>(&*call) : nullptr;
    if (!call) {
        refuse(invalid, call.error());
    } else if (submit != nullptr && submit->m_job.m_policy.m_needsAdvice) {
        // Its starts would be refused by every worker, so the caller is told at once.
        refuse({exchange, "submit", submit->m_job.m_id, now}, Error{ErrorCode::NoTarget, "queues with advice are not served yet"});
    } else if (const auto *const pending = std::get_if<PendingCall>(&*call)) {
        servePending(exchange, *pending, now);
    } else {
        forward(exchange, std::move(*call), now);
    }
}

auto GateDuty::servePending(ExchangeId exchange, const PendingCall &call, TimePoint receivedAt) -> void
{
    const OpenCall open{exchange, "pending", {}, receivedAt};
    const auto &waiting = m_pending.m_waiting;
    // A job may stay out of the counts until it is visible, so the view that was counted may be older than the counts.
    if (!waiting || receivedAt - waiting->m_asOf > pendingFresh + m_settings.m_jobVisible - visibleReserve) {
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

auto GateDuty::forward(ExchangeId exchange, GateCall &&call, TimePoint receivedAt) -> void
{
    OpenCall open{exchange, kindOf(call), jobOf(call), receivedAt};
    if (receivedAt - m_confirmedAt > storeOverdue) {
        // Nothing was sent to the store, so the caller can be told for certain that its request has had no effect.
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

auto GateDuty::on(StoreReply &&input) -> void
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
    closeWhenIdle();
}

auto GateDuty::refuse(const OpenCall &call, const Error &error) -> void
{
    const bool mayReturn = error.m_code == ErrorCode::Unavailable || error.m_code == ErrorCode::Overloaded;
    answer(call, m_codec->errorResponse(error, mayReturn ? retryAfterSeconds : 0), error.m_message);
}

auto GateDuty::answer(const OpenCall &call, HttpResponse &&response, std::string_view reason) -> void
{
    const TimePoint now = Clock::now();
    const int status = response.m_status;
    m_fleetMetrics.noteCall(call.m_kind, status, now - call.m_receivedAt);
    logEvent(LogLevel::Info,
             "call_answered",
             {{"job", call.m_job},
              {"kind", call.m_kind},
              {"status", status},
              {"reason", reason},
              {"took_ms", ageInMs(now, call.m_receivedAt)},
              {"config", m_configuration ? m_configuration->m_version : 0},
              {"config_age_ms", ageInMs(now, m_confirmedAt)}});
    if (!m_callers->respond(call.m_exchange, std::move(response))) {
        logEvent(LogLevel::Info, "caller_left", {{"job", call.m_job}, {"kind", call.m_kind}, {"status", status}});
    }
}

auto GateDuty::on(DrainBegun && /*input*/) -> void
{
    m_isDraining = true;
    QTimer::singleShot(leaveRotation, m_timers.get(), [this] {
        m_callers->beginDrain();
        m_isClosed = true;
        closeWhenIdle();
    });
    const auto grace = std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(m_settings.m_graceSeconds));
    QTimer::singleShot(std::max(leaveRotation, grace - stopReserve), m_timers.get(), [this] {
        m_drained();
    });
}

auto GateDuty::on(StoreDrained && /*input*/) -> void
{
    m_isStoreDrained = true;
    closeWhenIdle();
}

auto GateDuty::closeWhenIdle() -> void
{
    if (m_isClosed && m_isStoreDrained && m_callers->openExchanges() == 0) {
        QTimer::singleShot(flushTime, m_timers.get(), [this] {
            m_drained();
        });
    }
}
}
