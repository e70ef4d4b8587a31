#include "burdockspur/core/invariant.hpp"
#include "burdockspur/host/requestrouter.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
auto RequestRouter::on(RequestArrived &&event, Turn &turn) -> void
{
    auto &request = event.m_request;
    const bool hasKey = !request.m_idempotencyKey.empty();
    if (hasKey) {
        request.m_id = requestIdOfKey(request);
    }
    if (const auto error = admissionError(request, turn.m_now); error) {
        refuse(event, *error, turn);
        return;
    }
    m_budget.noteRequest(request.m_caller, turn.m_now);
    if (hasKey) {
        admitByKey(std::move(event), turn);
    } else {
        admitNew(std::move(event), turn);
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
    // Exchanges whose callers have left still use memory and slots.
    if (std::max(m_exchanges.waiters(), m_exchanges.size()) >= m_limits.m_maxInFlight) {
        return ErrorCode::Overloaded;
    }
    return std::nullopt;
}

auto RequestRouter::admitByKey(RequestArrived &&event, Turn &turn) -> void
{
    using Handler = auto (RequestRouter::*)(RequestArrived &&, Turn &)->void;
    // In the order of KeyState.
    static constexpr std::array<Handler, 5> handlers{
        &RequestRouter::admitNew,
        &RequestRouter::admitSecond,
        &RequestRouter::admitAnswered,
        &RequestRouter::admitUnresolved,
        &RequestRouter::admitConflict,
    };
    const auto state = m_keys.lookUp(event.m_request.m_id, turn.m_now);
    (this->*handlers[static_cast<std::size_t>(state)])(std::move(event), turn);
}

auto RequestRouter::admitNew(RequestArrived &&event, Turn &turn) -> void
{
    if (Exchange *const exchange = openExchange(std::move(event), turn); exchange != nullptr) {
        place(*exchange, turn);
    }
}

auto RequestRouter::admitSecond(RequestArrived &&event, Turn & /*turn*/) -> void
{
    Exchange *const exchange = m_exchanges.find(m_keys.entry(event.m_request.m_id).m_exchange);
    if (exchange == nullptr) {
        requireInvariant(false, "key_in_progress_has_exchange", event.m_request.m_id);
        return;
    }
    m_exchanges.join(*exchange, {event.m_ticket, event.m_request.m_deadline + m_limits.m_settleGrace});
}

auto RequestRouter::admitAnswered(RequestArrived &&event, Turn &turn) -> void
{
    answer(event.m_ticket, RequestAnswer(m_keys.entry(event.m_request.m_id).m_answer), turn);
}

auto RequestRouter::admitUnresolved(RequestArrived &&event, Turn &turn) -> void
{
    const std::string worker = m_keys.entry(event.m_request.m_id).m_worker;
    const std::string incarnation = m_keys.entry(event.m_request.m_id).m_incarnation;
    Target *const target = m_targets.find(worker);
    if (target == nullptr) {
        // The worker is gone, and with it the knowledge whether the request ran.
        answer(event.m_ticket, {Outcome::Unknown, ErrorCode::OutcomeUnknown, event.m_request.m_id, worker, {}}, turn);
        return;
    }
    Exchange *const exchange = openExchange(std::move(event), turn);
    if (exchange == nullptr) {
        return;
    }
    exchange->m_mayHaveRun = true;
    exchange->m_lastWorker = worker;
    exchange->m_incarnation = incarnation;
    exchange->m_wireId = exchange->m_request.m_id;
    attach(*exchange, *target);
    settle(*exchange, turn);
}

auto RequestRouter::admitConflict(RequestArrived &&event, Turn &turn) -> void
{
    refuse(event, ErrorCode::IdempotencyConflict, turn);
}

auto RequestRouter::openExchange(RequestArrived &&event, Turn &turn) -> Exchange *
{
    auto &exchange = m_exchanges.create(std::move(event.m_request));
    const auto &request = exchange.m_request;
    if (!request.m_idempotencyKey.empty() && !m_keys.begin(request.m_id, exchange.m_number, turn.m_now)) {
        answer(event.m_ticket, {Outcome::Refused, ErrorCode::Overloaded, request.m_id, {}, {}}, turn);
        m_exchanges.erase(exchange);
        return nullptr;
    }
    // The timers of the exchange cover its first caller.
    m_exchanges.join(exchange, {event.m_ticket, TimePoint::max()});
    return &exchange;
}

auto RequestRouter::refuse(const RequestArrived &event, ErrorCode code, Turn &turn) -> void
{
    answer(event.m_ticket, {Outcome::Refused, code, event.m_request.m_id, {}, {}}, turn);
}
}
