#include "standins/workerrequests.hpp"

#include "standins/workeraudit.hpp"
#include "standins/workerspec.hpp"

#include "burdockspur/core/identifiers.hpp"

#include <algorithm>
#include <iterator>

namespace Burdockspur::Standins
{
WorkerRequests::WorkerRequests(const WorkerSpec &spec, WorkerAudit &audit)
    : m_spec(spec)
    , m_audit(audit)
{
}

auto WorkerRequests::advance(TimePoint now) -> void
{
    std::vector<std::pair<TimePoint, ExecutionId>> due;
    for (const auto id : m_running) {
        if (const auto end = m_executions.at(id).m_end; end <= now) {
            due.emplace_back(end, id);
        }
    }
    std::ranges::sort(due);
    for (const auto &[time, id] : due) {
        finish(id, time);
    }
    while (!m_answersByEnd.empty() && m_answersByEnd.front().first + m_spec.m_answerRetention <= now) {
        const auto position = m_executions.find(m_answersByEnd.front().second);
        for (const auto &id : position->second.m_ids) {
            m_requests.erase(id);
        }
        m_keys.erase(position->second.m_key);
        m_executions.erase(position);
        m_answersByEnd.pop_front();
    }
    while (!m_tombstonesByTime.empty() && m_tombstonesByTime.front().first + m_spec.m_answerRetention <= now) {
        m_requests.erase(m_tombstonesByTime.front().second);
        m_tombstonesByTime.pop_front();
    }
}

auto WorkerRequests::nextEvent() const -> std::optional<TimePoint>
{
    std::optional<TimePoint> next;
    for (const auto id : m_running) {
        const auto end = m_executions.at(id).m_end;
        if (!next || end < *next) {
            next = end;
        }
    }
    return next;
}

auto WorkerRequests::start(TimePoint now, const WorkerRequest &request) -> RequestStatus
{
    const std::string id(request.m_id);
    const std::string key(request.m_key);
    if (const auto known = m_requests.find(id); known != m_requests.end()) {
        return statusOf(known->second);
    }
    if (const auto known = m_keys.find(key); !key.empty() && known != m_keys.end()) {
        m_requests.emplace(id, known->second);
        m_executions.at(known->second).m_ids.push_back(id);
        return statusOf(known->second);
    }
    if (request.m_leaving) {
        return {RequestState::Leaving, 0};
    }
    if (m_running.size() >= m_spec.m_slots) {
        return {RequestState::SlotsExhausted, 0};
    }
    const auto execution = ++m_last;
    Execution entry;
    entry.m_ids.push_back(id);
    entry.m_key = key;
    entry.m_fails = request.m_fails;
    entry.m_end = now + request.m_serviceTime;
    entry.m_body.append(request.m_service).append(":").append(hexOf(hashOf(request.m_body))).append(":").append(request.m_body);
    m_executions.emplace(execution, std::move(entry));
    m_requests.emplace(id, execution);
    if (!key.empty()) {
        m_keys.emplace(key, execution);
    }
    m_running.push_back(execution);
    m_audit.requestStarted(now, id, key, request.m_leaving);
    m_audit.updatePeaks({}, m_running.size());
    if (request.m_serviceTime <= Duration{0}) {
        finish(execution, now);
    }
    return statusOf(execution);
}

auto WorkerRequests::admits(const WorkerRequest &request) const -> bool
{
    const bool known = m_requests.contains(std::string(request.m_id)) || (!request.m_key.empty() && m_keys.contains(std::string(request.m_key)));
    return !known && !request.m_leaving && m_running.size() < m_spec.m_slots;
}

auto WorkerRequests::settle(TimePoint now, std::string_view id) -> RequestStatus
{
    const auto [position, isNew] = m_requests.try_emplace(std::string(id), 0);
    if (isNew) {
        m_tombstonesByTime.emplace_back(now, id);
        m_audit.requestTombstoned(now, id);
    }
    return statusOf(position->second);
}

auto WorkerRequests::body(ExecutionId execution) const -> std::string_view
{
    const auto position = m_executions.find(execution);
    return position == m_executions.end() ? std::string_view{} : std::string_view(position->second.m_body);
}

auto WorkerRequests::takeEnded() -> std::vector<RequestStatus>
{
    return std::exchange(m_ended, {});
}

auto WorkerRequests::postpone(Duration pause) -> void
{
    for (const auto id : m_running) {
        m_executions.at(id).m_end += pause;
    }
}

auto WorkerRequests::crash(TimePoint now) -> void
{
    for (const auto id : m_running) {
        const auto &execution = m_executions.at(id);
        m_audit.requestEnded(now, execution.m_ids.front(), execution.m_key, "crashed");
    }
    m_executions.clear();
    m_requests.clear();
    m_keys.clear();
    m_running.clear();
    m_ended.clear();
    m_answersByEnd.clear();
    m_tombstonesByTime.clear();
}

auto WorkerRequests::finish(ExecutionId id, TimePoint time) -> void
{
    auto &execution = m_executions.at(id);
    execution.m_state = execution.m_fails ? RequestState::Failed : RequestState::Answered;
    std::erase(m_running, id);
    m_ended.push_back({execution.m_state, id});
    m_answersByEnd.emplace_back(time, id);
    m_audit.requestEnded(time, execution.m_ids.front(), execution.m_key, execution.m_fails ? "failed" : "answered");
}

auto WorkerRequests::statusOf(ExecutionId id) const -> RequestStatus
{
    if (id == 0) {
        return {RequestState::NeverStarted, 0};
    }
    return {m_executions.at(id).m_state, id};
}
}
