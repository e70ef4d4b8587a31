#pragma once

#include "standins/fault.hpp"

#include <array>

namespace Burdockspur::Standins
{
/// @brief Faults of one worker.
struct WorkerFaults {
    Fault m_pause; ///< nothing is answered and the worker's clock stops until the fault is switched off
    Fault m_pauseKeepsClock; ///< at the end of a pause its length is added to the worker's clock
    Fault m_silenceConnections; ///< connections that have carried a request are never answered again
    Fault m_crash; ///< drops all connections and all state; the value is the time until the restart in ms
    Fault m_failAllTasks; ///< tasks fail as soon as they start
    Fault m_failRequests; ///< share of requests that run and fail
    Fault m_slow; ///< ms added to the service time of requests and to the delay of all other answers
    Fault m_refuseConnections; ///< the port is closed; state is kept and tasks continue
    Fault m_loseAnswers; ///< share of calls that take effect but are not answered; matches a substring of the path
    Fault m_usageLagMs; ///< age in ms of the usage figures in lease answers
    Fault m_usageFactor; ///< actual usage of a task relative to its declared size
    Fault m_durationFactor; ///< actual run time of a task relative to the declared one
    Fault m_leaving; ///< new tasks and requests are refused
    Fault m_noise; ///< factor on the service time of requests while a batch task of the matching class runs
};

/// @brief Names of the faults of a worker.
inline constexpr std::array<FaultEntry<WorkerFaults>, 14> workerFaultTable{{
    {"pause", &WorkerFaults::m_pause},
    {"pause_keeps_clock", &WorkerFaults::m_pauseKeepsClock},
    {"silence_connections", &WorkerFaults::m_silenceConnections},
    {"crash", &WorkerFaults::m_crash},
    {"fail_all_tasks", &WorkerFaults::m_failAllTasks},
    {"fail_requests", &WorkerFaults::m_failRequests},
    {"slow", &WorkerFaults::m_slow},
    {"refuse_connections", &WorkerFaults::m_refuseConnections},
    {"lose_answers", &WorkerFaults::m_loseAnswers},
    {"usage_lag_ms", &WorkerFaults::m_usageLagMs},
    {"usage_factor", &WorkerFaults::m_usageFactor},
    {"duration_factor", &WorkerFaults::m_durationFactor},
    {"leaving", &WorkerFaults::m_leaving},
    {"noise", &WorkerFaults::m_noise},
}};
}
