#pragma once

#include "standins/fault.hpp"

#include <array>

namespace Burdockspur::Standins
{
/// @brief Faults of one worker.
struct WorkerFaults {
    Fault m_pause; ///< nothing is answered and the worker's clock stands still until it is switched off
    Fault m_pauseKeepsClock; ///< at the end of a pause its length is added to the worker's clock
    Fault m_silenceConnections; ///< connections that have carried a request never answer again
    Fault m_crash; ///< drops connections and forgets all state; the value is the time until the restart in ms
    Fault m_failAllTasks; ///< tasks fail as soon as they start
    Fault m_failRequests; ///< share of requests that run and fail
    Fault m_slow; ///< ms added to each request and each answer
    Fault m_refuseConnections; ///< the port is closed; state and tasks stay
    Fault m_loseAnswers; ///< share of calls that take effect without an answer; matches a part of the path
    Fault m_usageLagMs; ///< delay of usage in lease answers
    Fault m_usageFactor; ///< actual usage of a task relative to its declared size
    Fault m_durationFactor; ///< actual run time of a task relative to the declared one
    Fault m_leaving; ///< no new tasks and requests
    Fault m_noise; ///< factor on request service times while a task of the matching class runs
};

/// @brief Every fault of a worker by its name.
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
