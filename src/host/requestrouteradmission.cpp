#include "burdockspur/core/invariant.hpp"
#include "burdockspur/host/requestrouter.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
auto RequestRouter::on(RequestArrived &&event, EventContext &context) -> void
{
    auto &request = event.m_request;
    const bool hasKey = !request.m_idempotencyKey.empty();
    if (hasKey) {
        request.m_id = requestIdOfKey(request);
    }
    if (const auto error = admissionError(request, context.m_now); error) {
        refuse(event, *error, context);
        return;
    }
    m_budget.recordRequest(request.m_caller, context.m_now);
    if (hasKey) {
        admitByKey(std::move(event), context);
    } else {
        admitNew(std::move(event), context);
    }
}

auto RequestRouter::admissionError(const ServiceRequest &request, TimePoint now) const -> std::optional<ErrorCode>
{
    if (m_draining) {
        return ErrorCode::Draining;
    }
    if (!m_services.empty() && !m_services.contains(request.m_service)) {
        return ErrorCode::UnknownService;
    }
    if (request.m_deadline <= now) {
        return ErrorCode::DeadlineExceeded;
    }
    // Exchanges whose callers have disconnected still use memory and slots.
    if (std::max(m_exchanges.waiterCount(), m_exchanges.size()) >= m_limits.m_maxInFlight) {
        return ErrorCode::Overloaded;
    }
    return std::nullopt;
}

auto RequestRouter::admitByKey(RequestArrived &&event, EventContext &context) -> void
{
    using Handler = auto (RequestRouter::*)(RequestArrived &&, EventContext &)->void;
    // In the order of KeyState.
    static constexpr std::array<Handler, 5> handlers{
        &RequestRouter::admitNew,
        &RequestRouter::admitDuplicate,
        &RequestRouter::admitAnswered,
        &RequestRouter::admitUnresolved,
        &RequestRouter::admitConflict,
    };
    const auto state = m_keys.lookUp(event.m_request.m_id, context.m_now);
    (this->*handlers[static_cast<std::size_t>(state)])(std::move(event), context);
}

auto RequestRouter::admitNew(RequestArrived &&event, EventContext &context) -> void
{
    if (Exchange *const exchange = openExchange(std::move(event), context); exchange != nullptr) {
        place(*exchange, context);
    }
}

auto RequestRouter::admitDuplicate(RequestArrived &&event, EventContext & /*context*/) -> void
{
    Exchange *const exchange = m_exchanges.find(m_keys.entry(event.m_request.m_id).m_exchange);
    if (exchange == nullptr) {
        requireInvariant(false, "key_in_progress_has_exchange", event.m_request.m_id);
        return;
    }
    m_exchanges.addWaiter(*exchange, {event.m_ticket, event.m_request.m_deadline + m_limits.m_settleGrace});
}

auto RequestRouter::admitAnswered(RequestArrived &&event, EventContext &context) -> void
{
    answer(event.m_ticket, RequestAnswer(m_keys.entry(event.m_request.m_id).m_answer), context);
}

auto RequestRouter::admitUnresolved(RequestArrived &&event, EventContext &context) -> void
{
    const std::string worker = m_keys.entry(event.m_request.m_id).m_worker;
    const std::string incarnation = m_keys.entry(event.m_request.m_id).m_incarnation;
    Target *const target = m_targets.find(worker);
    if (target == nullptr) {
        // The worker has left the host list, so it cannot be queried for the outcome of the request.
        answer(event.m_ticket, {Outcome::Unknown, ErrorCode::OutcomeUnknown, event.m_request.m_id, worker, {}}, context);
        return;
    }
    Exchange *const exchange = openExchange(std::move(event), context);
    if (exchange == nullptr) {
        return;
    }
    exchange->m_mayHaveRun = true;
    exchange->m_lastWorker = worker;
    exchange->m_incarnation = incarnation;
    exchange->m_wireId = exchange->m_request.m_id;
    attach(*exchange, *target);
    settle(*exchange, context);
}

auto RequestRouter::admitConflict(RequestArrived &&event, EventContext &context) -> void
{
    refuse(event, ErrorCode::IdempotencyConflict, context);
}

auto RequestRouter::openExchange(RequestArrived &&event, EventContext &context) -> Exchange *
{
    auto &exchange = m_exchanges.create(std::move(event.m_request));
    const auto &request = exchange.m_request;
    if (!request.m_idempotencyKey.empty() && !m_keys.markInProgress(request.m_id, exchange.m_number, context.m_now)) {
        answer(event.m_ticket, {Outcome::Refused, ErrorCode::Overloaded, request.m_id, {}, {}}, context);
        m_exchanges.erase(exchange);
        return nullptr;
    }
    // The first caller needs no expiry of its own: the timeouts of the exchange follow its deadline.
    m_exchanges.addWaiter(exchange, {event.m_ticket, TimePoint::max()});
    return &exchange;
}

auto RequestRouter::refuse(const RequestArrived &event, ErrorCode code, EventContext &context) -> void
{
    answer(event.m_ticket, {Outcome::Refused, code, event.m_request.m_id, {}, {}}, context);
}
}
