#pragma once

#include "standins/countentry.hpp"

#include <array>
#include <cstdint>

namespace Burdockspur::Standins
{
/// @brief Counts of what happened on a worker since its process started.
struct WorkerCounts {
    std::int64_t m_starts = 0;
    std::int64_t m_completions = 0;
    std::int64_t m_failures = 0;
    std::int64_t m_stops = 0; ///< tasks stopped by an order
    std::int64_t m_lapses = 0; ///< tasks stopped because their lease expired
    std::int64_t m_tasksCrashed = 0;
    std::int64_t m_crashes = 0; ///< crashes of the whole worker
    std::int64_t m_requests = 0; ///< executions of requests
    std::int64_t m_requestsRepeated = 0; ///< executions of a request id after its first one
    std::int64_t m_keysRepeated = 0; ///< executions of an idempotency key after its first one
    std::int64_t m_attemptsRepeated = 0; ///< starts of an attempt after its first one
    std::int64_t m_startsAfterTombstone = 0;
    std::int64_t m_startsWhileLeaving = 0;
    std::int64_t m_requestsWhileLeaving = 0;
    std::int64_t m_answersLost = 0;
    std::int64_t m_peakCpuMillis = 0;
    std::int64_t m_peakMemoryMb = 0;
    std::int64_t m_peakAccelerators = 0;
    std::int64_t m_peakSlots = 0;
    std::int64_t m_peakConnections = 0;
    std::int64_t m_capacityCpuMillis = 0;
    std::int64_t m_capacityMemoryMb = 0;
    std::int64_t m_capacityAccelerators = 0;
    std::int64_t m_capacitySlots = 0;
    std::int64_t m_capacityConnections = 0;
};

/// @brief Names of the counts of a worker.
inline constexpr std::array<CountEntry<WorkerCounts>, 25> workerCountTable{{
    {"starts", &WorkerCounts::m_starts},
    {"completions", &WorkerCounts::m_completions},
    {"failures", &WorkerCounts::m_failures},
    {"stops", &WorkerCounts::m_stops},
    {"lapses", &WorkerCounts::m_lapses},
    {"tasks_crashed", &WorkerCounts::m_tasksCrashed},
    {"crashes", &WorkerCounts::m_crashes},
    {"requests", &WorkerCounts::m_requests},
    {"requests_repeated", &WorkerCounts::m_requestsRepeated},
    {"keys_repeated", &WorkerCounts::m_keysRepeated},
    {"attempts_repeated", &WorkerCounts::m_attemptsRepeated},
    {"starts_after_tombstone", &WorkerCounts::m_startsAfterTombstone},
    {"starts_while_leaving", &WorkerCounts::m_startsWhileLeaving},
    {"requests_while_leaving", &WorkerCounts::m_requestsWhileLeaving},
    {"answers_lost", &WorkerCounts::m_answersLost},
    {"peak_cpu_millis", &WorkerCounts::m_peakCpuMillis},
    {"peak_memory_mb", &WorkerCounts::m_peakMemoryMb},
    {"peak_accelerators", &WorkerCounts::m_peakAccelerators},
    {"peak_slots", &WorkerCounts::m_peakSlots},
    {"peak_connections", &WorkerCounts::m_peakConnections},
    {"capacity_cpu_millis", &WorkerCounts::m_capacityCpuMillis},
    {"capacity_memory_mb", &WorkerCounts::m_capacityMemoryMb},
    {"capacity_accelerators", &WorkerCounts::m_capacityAccelerators},
    {"capacity_slots", &WorkerCounts::m_capacitySlots},
    {"capacity_connections", &WorkerCounts::m_capacityConnections},
}};
}
