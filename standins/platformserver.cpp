#include "standins/platformserver.hpp"

#include "standins/jsontext.hpp"
#include "standins/platformcodec.hpp"
#include "standins/routes.hpp"
#include "standins/standincodec.hpp"

#include <QTimer>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace Burdockspur::Standins
{
namespace
{
constexpr std::size_t defaultPage = 1'000;
constexpr std::size_t maxPage = 10'000;
constexpr int notModified = 304;
constexpr int notFound = 404;
constexpr int unavailable = 503;
constexpr int tooManyRequests = 429;

[[nodiscard]] auto limits() -> HttpLimits
{
    // Snapshots of large shards are objects of some megabytes.
    constexpr std::uint64_t maxObjectBytes = 64ULL * 1024 * 1024;
    HttpLimits limits;
    limits.m_maxBodyBytes = maxObjectBytes;
    return limits;
}

[[nodiscard]] auto milliseconds(const Fault &fault) -> Milliseconds
{
    return Milliseconds(static_cast<std::int64_t>(fault.m_value));
}

[[nodiscard]] auto pageSize(std::string_view text) -> std::size_t
{
    std::size_t limit = defaultPage;
    std::from_chars(text.data(), text.data() + text.size(), limit);
    return std::min(limit, maxPage);
}
}

/// @brief Faults of one service; a null member marks a fault that the service does not have.
struct PlatformServer::Service {
    Fault PlatformFaults::*m_outage;
    Fault PlatformFaults::*m_silent;
    Fault PlatformFaults::*m_slowMs;
};

struct PlatformServer::Route {
    std::string_view m_method;
    std::string_view m_pattern;
    const Service *m_service; ///< null for control calls, which faults do not affect
    auto (PlatformServer::*m_handler)(const Call &) -> Answer;
};

const std::span<const PlatformServer::Route> PlatformServer::routes = [] {
    static constexpr Service table{&PlatformFaults::m_tableOutage, &PlatformFaults::m_tableSilent, &PlatformFaults::m_tableSlowMs};
    static constexpr Service objects{&PlatformFaults::m_objectOutage, nullptr, &PlatformFaults::m_objectSlowMs};
    static constexpr Service hosts{&PlatformFaults::m_hostListOutage, nullptr, nullptr};
    static constexpr std::array<Route, 12> entries{{
        {"POST", "/v1/transactions", &table, &PlatformServer::commit},
        {"GET", "/v1/rows/*", &table, &PlatformServer::readRow},
        {"GET", "/v1/rows", &table, &PlatformServer::scanRows},
        {"PUT", "/v1/objects/*", &objects, &PlatformServer::putObject},
        {"GET", "/v1/objects/*", &objects, &PlatformServer::getObject},
        {"DELETE", "/v1/objects/*", &objects, &PlatformServer::removeObject},
        {"GET", "/v1/hosts", &hosts, &PlatformServer::readHosts},
        {"GET", "/standin/faults", nullptr, &PlatformServer::readFaults},
        {"PUT", "/standin/faults", nullptr, &PlatformServer::switchFault},
        {"GET", "/standin/counts", nullptr, &PlatformServer::readCounts},
        {"PUT", "/standin/hosts", nullptr, &PlatformServer::setHosts},
        {"PUT", "/standin/hosts/*", nullptr, &PlatformServer::setHostState},
    }};
    return std::span<const Route>(entries);
}();

PlatformServer::PlatformServer(PlatformFaults faults, std::uint64_t seed)
    : m_faults(std::move(faults))
    , m_random(seed)
    , m_context(std::make_unique<QObject>())
    , m_server(limits(), [this](ExchangeId exchange, const HttpRequest &request) {
        handleRequest(exchange, request);
    })
{
}

PlatformServer::~PlatformServer() = default;

auto PlatformServer::listen(std::string_view address, std::uint16_t port) -> Result<std::uint16_t>
{
    return m_server.listen(address, port);
}

auto PlatformServer::commit(const Call &call) -> Answer
{
    const auto transaction = decodeTransaction(call.m_request.m_body);
    if (!transaction) {
        return {badRequest(transaction.error().m_message)};
    }
    const auto writes = transaction->m_puts.size() + transaction->m_deletes.size();
    if (!takeWrites(call.m_now, std::max<std::size_t>(writes, 1))) {
        return rateLimited();
    }
    const auto result = m_table.commit(*transaction);
    Answer answer{encodeCommitResult(result)};
    if (result.m_status == CommitResult::Status::Committed) {
        ++m_counts.m_transactions;
        m_counts.m_writes += static_cast<std::int64_t>(writes);
        const auto subject = transaction->m_puts.empty() ? std::string_view{} : std::string_view(transaction->m_puts.front().m_key);
        answer.m_isLost = m_faults.m_loseWriteAnswers.triggers(m_random, subject);
    } else if (result.m_status == CommitResult::Status::Conflict) {
        ++m_counts.m_conflicts;
    }
    return answer;
}

auto PlatformServer::readRow(const Call &call) -> Answer
{
    if (!takeRead(call.m_now)) {
        return rateLimited();
    }
    const auto row = m_table.read(call.m_segments[0]);
    return {row ? encodeRow(*row) : codeResponse(notFound, "unknown_row")};
}

auto PlatformServer::scanRows(const Call &call) -> Answer
{
    if (!takeRead(call.m_now)) {
        return rateLimited();
    }
    const auto limit = pageSize(call.m_request.query("limit"));
    return {encodeRows(m_table.scan(call.m_request.query("prefix"), call.m_request.query("after"), limit))};
}

auto PlatformServer::putObject(const Call &call) -> Answer
{
    if (!takeWrites(call.m_now, 1)) {
        return rateLimited();
    }
    ++m_counts.m_writes;
    m_objects.put(call.m_segments[0], call.m_request.m_body);
    return {objectResponse(200, {})};
}

auto PlatformServer::getObject(const Call &call) -> Answer
{
    if (!takeRead(call.m_now)) {
        return rateLimited();
    }
    const auto *const bytes = m_objects.find(call.m_segments[0]);
    if (bytes == nullptr) {
        return {codeResponse(notFound, "unknown_object")};
    }
    HttpResponse response;
    response.m_fields.push_back({"Content-Type", "application/octet-stream"});
    response.m_body = *bytes;
    return {std::move(response)};
}

auto PlatformServer::removeObject(const Call &call) -> Answer
{
    if (!takeWrites(call.m_now, 1)) {
        return rateLimited();
    }
    if (!m_objects.remove(call.m_segments[0])) {
        return {codeResponse(notFound, "unknown_object")};
    }
    ++m_counts.m_writes;
    return {objectResponse(200, {})};
}

auto PlatformServer::readHosts(const Call &call) -> Answer
{
    ++m_counts.m_hostListReads;
    const HostListing &visible = m_hosts.visible(call.m_now);
    const std::string tag = "\"" + std::to_string(visible.m_generation) + "\"";
    if (call.m_request.field("If-None-Match") == tag) {
        return {HttpResponse{.m_status = notModified, .m_fields = {{"ETag", tag}}, .m_body = {}}};
    }
    HttpResponse response = encodeHosts(visible);
    response.m_fields.push_back({"ETag", tag});
    return {std::move(response)};
}

auto PlatformServer::readFaults(const Call &) -> Answer
{
    return {objectResponse(200, encodeFaults(std::span(platformFaultTable), m_faults))};
}

auto PlatformServer::switchFault(const Call &call) -> Answer
{
    const auto applied = applyFault(std::span(platformFaultTable), m_faults, call.m_request.m_body);
    return applied ? readFaults(call) : Answer{badRequest(applied.error().m_message)};
}

auto PlatformServer::readCounts(const Call &) -> Answer
{
    m_counts.m_rows = static_cast<std::int64_t>(m_table.size());
    m_counts.m_objects = static_cast<std::int64_t>(m_objects.size());
    return {objectResponse(200, encodeCounts(std::span(platformCountTable), m_counts))};
}

auto PlatformServer::setHosts(const Call &call) -> Answer
{
    auto hosts = decodeHosts(call.m_request.m_body);
    if (!hosts) {
        return {badRequest(hosts.error().m_message)};
    }
    m_hosts.set(call.m_now, std::move(*hosts), milliseconds(m_faults.m_hostListLagMs));
    return {objectResponse(200, {})};
}

auto PlatformServer::setHostState(const Call &call) -> Answer
{
    const auto state = decodeHostState(call.m_request.m_body);
    if (!state) {
        return {badRequest(state.error().m_message)};
    }
    if (!m_hosts.setState(call.m_now, call.m_segments[0], *state, milliseconds(m_faults.m_hostListLagMs))) {
        return {codeResponse(notFound, "unknown_host")};
    }
    return {objectResponse(200, {})};
}

auto PlatformServer::handleRequest(ExchangeId exchange, const HttpRequest &request) -> void
{
    const auto match = findRoute(routes, request);
    if (match.m_route == nullptr) {
        m_server.respond(exchange, codeResponse(notFound, "unknown_route"));
        return;
    }
    const Call call{request, match.m_segments, Clock::now()};
    const auto *const service = match.m_route->m_service;
    if (service == nullptr) {
        m_server.respond(exchange, (this->*match.m_route->m_handler)(call).m_response);
        return;
    }
    m_counts.m_bytesIn += static_cast<std::int64_t>(request.m_body.size());
    if (service->m_silent != nullptr && (m_faults.*service->m_silent).triggers(m_random, request.path())) {
        return;
    }
    if ((m_faults.*service->m_outage).triggers(m_random, request.path())) {
        ++m_counts.m_unavailable;
        m_server.respond(exchange, codeResponse(unavailable, "unavailable"));
        return;
    }
    auto answer = (this->*match.m_route->m_handler)(call);
    const auto delay = service->m_slowMs == nullptr ? Milliseconds{0} : milliseconds(m_faults.*service->m_slowMs);
    if (delay == Milliseconds{0}) {
        respond(exchange, std::move(answer));
        return;
    }
    QTimer::singleShot(delay, Qt::PreciseTimer, m_context.get(), [this, exchange, late = std::move(answer)]() mutable {
        respond(exchange, std::move(late));
    });
}

auto PlatformServer::respond(ExchangeId exchange, Answer &&answer) -> void
{
    if (answer.m_isLost) {
        ++m_counts.m_answersLost;
        m_server.abort(exchange);
        return;
    }
    m_counts.m_bytesOut += static_cast<std::int64_t>(answer.m_response.m_body.size());
    m_server.respond(exchange, std::move(answer.m_response));
}

auto PlatformServer::takeRead(TimePoint now) -> bool
{
    const bool taken = m_reads.take(now, m_faults.m_readsPerSecond.m_value, 1);
    m_counts.m_reads += taken ? 1 : 0;
    return taken;
}

auto PlatformServer::takeWrites(TimePoint now, std::size_t writes) -> bool
{
    return m_writes.take(now, m_faults.m_writesPerSecond.m_value, static_cast<double>(writes));
}

auto PlatformServer::rateLimited() -> Answer
{
    ++m_counts.m_rateLimited;
    return {codeResponse(tooManyRequests, "rate_limited")};
}
}
