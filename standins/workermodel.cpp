#include "standins/workermodel.hpp"

#include "standins/workerfaults.hpp"

#include <algorithm>

namespace Burdockspur::Standins
{
WorkerModel::WorkerModel(const WorkerSpec &spec, WorkerFaults &faults, WorkerAudit &audit, RandomSource &random)
    : m_faults(faults)
    , m_random(random)
    , m_tasks(spec, faults, audit)
    , m_requests(spec, audit)
{
}

auto WorkerModel::advance(TimePoint now) -> void
{
    m_tasks.advance(now);
    m_requests.advance(now);
}

auto WorkerModel::nextEvent() const -> std::optional<TimePoint>
{
    const auto task = m_tasks.nextEvent();
    const auto request = m_requests.nextEvent();
    return task && request ? std::min(*task, *request) : std::max(task, request);
}

auto WorkerModel::startRequest(TimePoint now, WorkerRequest request) -> RequestStatus
{
    const auto &noise = m_faults.m_noise;
    const auto factor = noise.isOn() && m_tasks.runsBatchOf(noise.m_match) ? noise.m_value : 1.0;
    const std::chrono::duration<double, std::milli> delay(m_faults.m_slow.m_value);
    request.m_serviceTime = std::chrono::duration_cast<Duration>(request.m_serviceTime * factor + delay);
    request.m_leaving = m_faults.m_leaving.isOn();
    request.m_fails = m_requests.admits(request) && m_faults.m_failRequests.triggers(m_random, request.m_service);
    return m_requests.start(now, request);
}

auto WorkerModel::postpone(Duration pause) -> void
{
    m_tasks.postpone(pause);
    m_requests.postpone(pause);
}

auto WorkerModel::crash(TimePoint now) -> void
{
    m_tasks.crash(now);
    m_requests.crash(now);
}
}
