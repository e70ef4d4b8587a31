#include "loadduty.hpp"

#include "burdockspur/core/identifiers.hpp"

#include <QTimer>

#include <cmath>

namespace Burdockspur::Bench
{
namespace
{
constexpr auto callTimeout = std::chrono::seconds(5);

[[nodiscard]] auto clientLimits() -> HttpClientLimits
{
    HttpClientLimits limits;
    limits.m_maxConnectionsPerEndpoint = 4;
    return limits;
}
}

struct LoadDuty::Caller {
    explicit Caller(const HttpEndpoint &server)
        : m_client(clientLimits())
        , m_server(server)
    {
    }

    HttpClient m_client;
    HttpEndpoint m_server;
    TimePoint m_nextSendAt;
};

LoadDuty::LoadDuty(const LoadPlan &plan, BoundedRing<LoadResult> &results)
    : EventLoopDuty("load")
    , m_plan(plan)
    , m_results(results)
    , m_random(plan.m_seed)
{
}

LoadDuty::~LoadDuty()
{
    stop();
}

auto LoadDuty::setUp() -> void
{
    const TimePoint now = Clock::now();
    m_end = now + m_plan.m_duration;
    for (std::size_t i = 0; i < m_plan.m_callers; ++i) {
        auto caller = std::make_unique<Caller>(m_plan.m_servers[i % m_plan.m_servers.size()]);
        caller->m_nextSendAt = now + nextInterval();
        m_callers.push_back(std::move(caller));
    }
    m_timer = std::make_unique<QTimer>();
    m_timer->setTimerType(Qt::PreciseTimer);
    QObject::connect(m_timer.get(), &QTimer::timeout, m_timer.get(), [this] {
        sendDueRequests();
    });
    m_timer->start(1);
}

auto LoadDuty::tearDown() -> void
{
    m_timer.reset();
    m_callers.clear();
}

auto LoadDuty::nextInterval() -> Duration
{
    const double meanSeconds = static_cast<double>(m_plan.m_callers) / m_plan.m_requestsPerSecond;
    const double seconds = -std::log(1.0 - m_random.unit()) * meanSeconds;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

auto LoadDuty::sendDueRequests() -> void
{
    const TimePoint now = Clock::now();
    if (now >= m_end) {
        reportWhenDone();
        return;
    }
    for (const auto &caller : m_callers) {
        while (caller->m_nextSendAt <= now) {
            m_result.m_sendDelay.record(now - caller->m_nextSendAt);
            caller->m_nextSendAt += nextInterval();
            sendRequest(*caller);
        }
    }
}

auto LoadDuty::sendRequest(Caller &caller) -> void
{
    const std::string id = hexOf(m_random.next64());
    std::string body = id;
    body.resize(std::max(m_plan.m_bodyBytes, id.size()), '.');
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/v1/services/" + m_plan.m_service + "/requests";
    request.m_fields = {{"Burdockspur-Request-Id", id}, {"Burdockspur-Caller", "load"}, {"Burdockspur-Deadline-Ms", "5000"}};
    std::string expected = m_plan.m_service + ":" + hexOf(hashOf(body)) + ":" + body;
    request.m_body = std::move(body);
    ++m_result.m_sent;
    ++m_inFlight;
    const TimePoint sentAt = Clock::now();
    caller.m_client.call(caller.m_server, std::move(request), callTimeout, [this, sentAt, expected = std::move(expected)](HttpReply &&reply) {
        handleReply(expected, sentAt, reply);
    });
}

auto LoadDuty::handleReply(std::string_view expected, TimePoint sentAt, const HttpReply &reply) -> void
{
    constexpr int statusOk = 200;
    --m_inFlight;
    if (!reply) {
        ++m_result.m_lost;
    } else if (reply->m_status != statusOk) {
        ++m_result.m_refused;
    } else if (reply->m_body != expected) {
        ++m_result.m_different;
    } else {
        ++m_result.m_answered;
        m_result.m_latency.record(Clock::now() - sentAt);
    }
}

auto LoadDuty::reportWhenDone() -> void
{
    if (m_inFlight > 0 || m_isReported) {
        return;
    }
    m_timer->stop();
    // Cannot fail: the ring has capacity for the one result of the phase.
    m_isReported = m_results.tryPush(std::move(m_result));
}
}
